package trouble

import (
	"math/rand/v2"
	"time"
)

const (
	// scopeStream selects the random numbers of Isolate and TopicDown.
	scopeStream = 11
	// isolations is the number of times that a workspace is isolated.
	isolations = 3
	// minScopeTime and maxScopeTime bound the duration of these events: from less than the
	// time in which a change is in force to more than a new release takes to settle.
	minScopeTime, maxScopeTime = time.Second, 9 * time.Second
)

// addScopes adds events in which one workspace is isolated for a time, and one in which only
// the topic with the record of releases is down. They are drawn apart from the others.
func (p *Plan) addScopes(seed uint64, length time.Duration) {
	rng := rand.New(rand.NewPCG(seed, scopeStream))
	for i := range isolations + 1 {
		event := Event{Kind: Isolate, Start: time.Duration(rng.Int64N(int64(length))), Duration: minScopeTime + time.Duration(rng.Int64N(int64(maxScopeTime-minScopeTime)))}
		if i == isolations {
			event.Kind = TopicDown
		}
		p.Events = append(p.Events, event)
	}
}
