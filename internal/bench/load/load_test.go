package load_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/examples"
	"comfreyworks/internal/bench/load"
	"comfreyworks/internal/bench/report"
	"comfreyworks/internal/bench/rig"
	"comfreyworks/internal/bench/trace"
	"comfreyworks/internal/standin/engine"
	"comfreyworks/internal/state/settings"
)

// fastRates returns rates of engines that are fast enough for tests.
func fastRates(comfreyworks.InstanceID) engine.Rates {
	rates := engine.DefaultRates()
	rates.PrefillTime = time.Microsecond
	rates.DecodeTime = time.Microsecond
	rates.StepTime = time.Millisecond
	rates.MaxBatch = 256
	return rates
}

type fixture struct {
	rig        *rig.Rig
	deployment *settings.Deployment
}

func newFixture(t *testing.T) fixture {
	t.Helper()
	deployment, err := settings.ReadDeployment("piedmont.jsonc", examples.Piedmont)
	assert.NilError(t, err)
	for i := range deployment.Pools {
		deployment.Pools[i].Replicas = 4
	}
	for i := range deployment.Classes {
		deployment.Classes[i].QueueBound = 1000
	}
	r, err := rig.Start(context.Background(), rig.Options{
		Deployment: deployment,
		Entries:    2,
		Clock:      clockwork.NewRealClock(),
		Rates:      fastRates,
		Seed:       1,
	})
	assert.NilError(t, err)
	t.Cleanup(r.Stop)
	return fixture{rig: r, deployment: deployment}
}

func (f fixture) run(t trace.Trace) []load.Sample {
	return load.Run(context.Background(), load.Options{
		Rig:   f.rig,
		Trace: t,
		Texts: trace.NewTextCache(),
		Clock: clockwork.NewRealClock(),
		Key:   examples.Key,
	})
}

// assertAllComplete checks that every request got its own complete answer and that
// no call ran more than once.
func (f fixture) assertAllComplete(t *testing.T, samples []load.Sample) {
	t.Helper()
	for _, sample := range samples {
		assert.Equal(t, sample.Outcome, load.OutcomeComplete, "%s at %s: %s", sample.Line.Class, sample.Start, sample.Detail)
	}
	assert.Equal(t, report.CountSideEffects(f.rig, f.deployment).DoubledCalls, 0)
}

// request returns one of many requests that share seven guides.
func request(i int) trace.Line {
	return trace.Line{
		Workspace: "office", Class: "note", Model: "oak-12b", Pool: "lm-pool",
		Prefix:     []trace.Level{{Name: "preamble", Tokens: 200}, {Name: fmt.Sprintf("guide-%d", i%7), Tokens: 1500}},
		TailTokens: 10 + i%50, OutputTokens: 5 + i%20,
	}
}

// TestThousandStreams checks that 1000 streams that start at the same time all
// complete.
func TestThousandStreams(t *testing.T) {
	f := newFixture(t)
	var many trace.Trace
	for i := range 1000 {
		many = append(many, request(i))
	}
	samples := f.run(many)
	assert.Equal(t, len(samples), 1000)
	f.assertAllComplete(t, samples)
}

// TestFaults checks for each kind of fault that all callers get complete answers
// although the fault happens in the middle of the traffic.
func TestFaults(t *testing.T) {
	faults := []trace.Line{
		{Fault: trace.FaultEngineCrash, Target: "lm-pool/0", For: trace.Duration(300 * time.Millisecond)},
		{Fault: trace.FaultSidecarRestart, Target: "lm-pool/1"},
		{Fault: trace.FaultEngineSlow, Target: "lm-pool/2", For: trace.Duration(300 * time.Millisecond)},
		{Fault: trace.FaultEventsLost, For: trace.Duration(300 * time.Millisecond)},
		{Fault: trace.FaultPartition, Target: "lm-pool/3", For: trace.Duration(500 * time.Millisecond)},
		{Fault: trace.FaultHotShift},
		{Fault: trace.FaultLogDown, For: trace.Duration(300 * time.Millisecond)},
		{Fault: trace.FaultEntryRestart, Target: "entry/0"},
		{Fault: trace.FaultListLag, For: trace.Duration(300 * time.Millisecond)},
	}
	for _, fault := range faults {
		t.Run(string(fault.Fault), func(t *testing.T) {
			f := newFixture(t)
			fault.At = trace.Duration(300 * time.Millisecond)
			faulty := trace.Trace{fault}
			for i := range 150 {
				line := request(i)
				line.At = trace.Duration(time.Duration(i) * 5 * time.Millisecond)
				line.OutputTokens = 100
				faulty = append(faulty, line)
			}
			faulty.Sort()
			f.assertAllComplete(t, f.run(faulty))
		})
	}
}
