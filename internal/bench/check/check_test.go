package check

import (
	"testing"

	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/examples"
	"comfreyworks/internal/bench/load"
	"comfreyworks/internal/bench/trace"
	"comfreyworks/internal/standin/service"
	"comfreyworks/internal/state/settings"
)

func TestRun(t *testing.T) {
	deployment, err := settings.ReadDeployment("piedmont.jsonc", examples.Piedmont)
	assert.NilError(t, err)
	booking := trace.Line{Pool: "dispatch", Method: "POST", Path: "/bookings"}
	reading := trace.Line{Pool: "dispatch", Method: "GET", Path: "/jobs"}
	stream := trace.Line{Pool: "lm-pool"}
	tests := []struct {
		name     string
		line     trace.Line
		outcome  load.Outcome
		runs     int
		expected []Promise
	}{
		{"ran once", booking, load.OutcomeComplete, 1, nil},
		{"refused and not run", booking, load.OutcomeRefused, 0, nil},
		{"unknown and run", booking, load.OutcomeUnknown, 1, nil},
		{"unknown and not run", booking, load.OutcomeUnknown, 0, nil},
		{"a reading that was repeated", reading, load.OutcomeComplete, 2, nil},
		{"ran twice", booking, load.OutcomeComplete, 2, []Promise{PromiseOnce}},
		{"refused and run", booking, load.OutcomeRefused, 1, []Promise{PromiseRefusal}},
		{"told that it ran, and it did not", booking, load.OutcomeComplete, 0, []Promise{PromiseRan}},
		{"another one's answer", stream, load.OutcomeWrong, 0, []Promise{PromiseOwn}},
		{"a stream that broke off", stream, load.OutcomeIncomplete, 0, []Promise{PromiseComplete}},
		{"silence", stream, load.OutcomeFailed, 0, []Promise{PromiseAnswer}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sample := load.Sample{Line: test.line, Outcome: test.outcome}
			if test.line.Method != "" {
				sample.Key = "k"
			}
			runs := func(comfreyworks.Pool) map[service.Call]int {
				return map[service.Call]int{call(sample): test.runs}
			}
			var broken []Promise
			for _, violation := range Run([]load.Sample{sample}, runs, deployment) {
				broken = append(broken, violation.Promise)
			}
			assert.DeepEqual(t, broken, test.expected)
		})
	}
}
