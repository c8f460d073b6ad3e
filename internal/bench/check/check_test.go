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

func TestFindViolations(t *testing.T) {
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
		expected []Guarantee
	}{
		{"ran once", booking, load.OutcomeComplete, 1, nil},
		{"reported as not run and not run", booking, load.OutcomeRefused, 0, nil},
		{"reported as unknown, ran", booking, load.OutcomeUnknown, 1, nil},
		{"reported as unknown, not run", booking, load.OutcomeUnknown, 0, nil},
		{"idempotent call that ran twice", reading, load.OutcomeComplete, 2, nil},
		{"non-idempotent call that ran twice", booking, load.OutcomeComplete, 2, []Guarantee{GuaranteeAtMostOnce}},
		{"reported as not run, but ran", booking, load.OutcomeRefused, 1, []Guarantee{GuaranteeNotRun}},
		{"reported as run, but not run", booking, load.OutcomeComplete, 0, []Guarantee{GuaranteeRan}},
		{"wrong answer", stream, load.OutcomeWrong, 0, []Guarantee{GuaranteeCorrectAnswer}},
		{"incomplete stream", stream, load.OutcomeIncomplete, 0, []Guarantee{GuaranteeCompleteStream}},
		{"no answer", stream, load.OutcomeFailed, 0, []Guarantee{GuaranteeKnownResult}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sample := load.Sample{Line: test.line, Outcome: test.outcome}
			if test.line.Method != "" {
				sample.Key = "k"
			}
			runs := func(comfreyworks.Pool) map[service.Call]int {
				return map[service.Call]int{serviceCall(sample): test.runs}
			}
			var violated []Guarantee
			for _, violation := range FindViolations([]load.Sample{sample}, runs, deployment) {
				violated = append(violated, violation.Guarantee)
			}
			assert.DeepEqual(t, violated, test.expected)
		})
	}
}
