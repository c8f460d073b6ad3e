package forward

import (
	"math"
	"sync"
	"time"

	"comfreyworks/internal/coordination/balance"
)

const (
	// admittedShare is the part of a route's objective that a prompt may wait at
	// its engine; the rest is for the time to read it.
	admittedShare = 0.7
	// returnedShare is the part of a route's time from which on a caller that has
	// less left counts as one that was refused and came back, and returnedWait
	// the part of what it has left that it may wait.
	returnedShare = 0.9
	returnedWait  = 0.5
	// overloadShare is the share of refusals from which on nobody is let in
	// beyond the objective: what is let in late makes others late.
	// Fewer than overloadLeast are chance.
	overloadShare = 0.1
	overloadLeast = 2
	// overloadHalfLife is how fast past refusals lose their weight: about the time
	// in which the waiting prompts of an engine are read and answered.
	overloadHalfLife = 2 * time.Second
	// leastRetryAfter lets the work that waits at an engine end, and drainFactor
	// stretches the expected wait for what others send meanwhile.
	leastRetryAfter = 600 * time.Millisecond
	drainFactor     = 2
)

// admission refuses prompts at once that would begin too late. An engine that
// has more to read than it can read in time also writes slowly, so that prompts
// stay longer and their cached parts are lost: what is let in beyond its pace
// costs more than its own lateness. It is safe for concurrent use.
type admission struct {
	mu             sync.Mutex
	asked, refused float64
	at             time.Time
}

// admit decides on a prompt with an expected wait and the longest that is worth
// it; late is the longest for a caller that comes back.
func (a *admission) admit(now time.Time, wait, worth, late time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	fade := math.Exp2(-float64(now.Sub(a.at)) / float64(overloadHalfLife))
	a.asked, a.refused, a.at = a.asked*fade+1, a.refused*fade, now
	limit := worth
	if a.refused < overloadShare*a.asked+overloadLeast {
		limit = max(worth, late)
	}
	if wait <= limit {
		return true
	}
	a.refused++
	return false
}

// overloaded reports whether a prompt is refused because its engine is too busy.
func (j *journey) overloaded(pick *balance.Pick) bool {
	route := j.request.Route
	if j.sends > 0 || j.lastEvent != "" || j.request.Prompt.Model == "" || route.Objective == 0 {
		return false
	}
	left := j.options.Clock.Until(j.request.Deadline)
	var late time.Duration
	if float64(left) < returnedShare*float64(route.Timeout) {
		late = time.Duration(returnedWait * float64(left))
	}
	worth := time.Duration(admittedShare * float64(route.Objective))
	return !j.admission.admit(j.options.Clock.Now(), pick.Wait, worth, late)
}
