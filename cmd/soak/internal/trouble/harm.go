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
	// harmDuration is how long callers send requests that harm replicas. All engines
	// together crash about once in 5 s unless such requests are under quarantine.
	harmDuration = 16 * time.Second
)

// harmful lists what may harm replicas, by source. Every plan contains one of each source.
var harmful = [fleet.HarmSources][]fleet.Harmful{
	{
		{Name: "part of prompts", Method: http.MethodPost, Targets: []string{"/note/+", "/brief/+"}, Body: "body of +", Prompt: "guide:500,*:200,+:200", Harm: replica.FaultCrash},
	},
}

// addHarm adds an event for each source in which callers send requests that harm replicas.
// They are drawn apart from the others, and go on for some time after most of them.
func (p *Plan) addHarm(seed uint64, length time.Duration) {
	rng := rand.New(rand.NewPCG(seed, harmStream))
	for source := range harmful {
		event := Event{Kind: Harm, Start: length/2 + time.Duration(rng.Int64N(int64(length/2))), Duration: harmDuration, Seed: rng.Uint64(), Source: source}
		event.Harmful = harmful[source][event.Seed%uint64(len(harmful[source]))]
		event.Harmful.ID = fmt.Sprintf("harm-%016x", event.Seed)
		p.Events = append(p.Events, event)
	}
}
