package trouble

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"comfreyworks/cmd/soak/internal/fleet"
	"comfreyworks/internal/standin/replica"
)

const (
	// harmStream selects the random numbers of Harm.
	harmStream = 4
	// harmDuration is how long callers of the first source send requests that harm replicas.
	// All engines together crash about once in 5 s unless such requests are under quarantine.
	harmDuration = 22 * time.Second
	// harmDelay is the time between the earliest starts of two sources, so that most other
	// faults have ended before the later ones.
	harmDelay = 6 * time.Second
)

// harmful lists what may harm replicas, by source. Every plan contains one of each source.
var harmful = [fleet.HarmSources][]fleet.Harmful{
	{
		{Name: "part of prompts", Method: http.MethodPost, Targets: []string{"/note/+", "/brief/+"}, Body: "body of +", Prompt: "guide:500,*:200,+:200", Harm: replica.FaultCrash},
	},
	{
		{Name: "request to run once", Method: http.MethodPost, Targets: []string{"/book/*"}, Body: "body of *", Harm: replica.FaultEarlyCrash},
		{Name: "request without a body", Method: http.MethodGet, Targets: []string{"/read/*"}, Harm: replica.FaultEarlyCrash},
		{Name: "request with a body", Method: http.MethodPost, Targets: []string{"/read/*"}, Body: "body of *", Harm: replica.FaultEarlyCrash},
		{Name: "prompt of one part", Method: http.MethodPost, Targets: []string{"/note/*"}, Body: "body of *", Prompt: "*:900", Harm: replica.FaultEarlyCrash},
		{Name: "prompt with parts", Method: http.MethodPost, Targets: []string{"/brief/*"}, Body: "body of *", Prompt: "guide:700,*:200", Harm: replica.FaultCrash},
	},
}

// HarmfulRequest returns a request that the seed draws, with an ID that no plan uses.
func HarmfulRequest(seed uint64) *fleet.Harmful {
	requests := harmful[fleet.HarmSources-1]
	h := requests[seed/2%uint64(len(requests))]
	h.ID = fmt.Sprintf("harm-at-end-%016x", seed)
	return &h
}

// addHarm adds an event for each source in which callers send requests that harm replicas.
// They are drawn apart from the others, and go on for some time after most of them.
func (p *Plan) addHarm(seed uint64, length time.Duration) {
	rng := rand.New(rand.NewPCG(seed, harmStream))
	for source := range harmful {
		event := Event{Kind: Harm, Duration: harmDuration - time.Duration(source)*harmDelay, Source: source}
		event.Start, event.Seed = length/2+time.Duration(rng.Int64N(int64(length/2)))+time.Duration(source)*harmDelay, rng.Uint64()
		event.Harmful = harmful[source][event.Seed%uint64(len(harmful[source]))]
		event.Harmful.ID = fmt.Sprintf("harm-%016x", event.Seed)
		p.Events = append(p.Events, event)
	}
}
