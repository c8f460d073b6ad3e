// Package check compares what callers were told with what the services ran.
//
// The samples of a run hold every request and its answer, and the test doubles of
// the services count the calls that they ran. From both, the package determines
// whether the guarantees hold: a call that may not be repeated runs at most once,
// a call that is reported as not run has not run, an answer is complete and
// belongs to its request, and every caller learns what happened.
//
// # Usage
//
//	violations := check.FindViolations(samples, rig.Runs, deployment)
//
// An empty list means that every guarantee holds.
package check

import (
	"fmt"
	"time"

	"comfreyworks"
	"comfreyworks/internal/bench/load"
	"comfreyworks/internal/standin/service"
	"comfreyworks/internal/state/settings"
)

// Guarantee describes one guarantee in a sentence.
type Guarantee string

// Guarantees.
const (
	GuaranteeAtMostOnce     Guarantee = "a call that may not be repeated runs at most once"
	GuaranteeNotRun         Guarantee = "a refusal that says not run is true"
	GuaranteeRan            Guarantee = "an answer that says ran is true"
	GuaranteeCorrectAnswer  Guarantee = "a caller gets the whole answer to its own request"
	GuaranteeCompleteStream Guarantee = "every stream is complete"
	GuaranteeKnownResult    Guarantee = "every caller learns what happened"
)

// Violation is one violation of a guarantee.
type Violation struct {
	Guarantee Guarantee `json:"Promise"`
	Detail    string
}

// String formats the violation on one line.
func (v Violation) String() string { return string(v.Guarantee) + ": " + v.Detail }

// serviceCall returns the call that a service counts for a sample with a key.
func serviceCall(sample load.Sample) service.Call {
	return service.Call{Method: sample.Line.Method, Path: sample.Line.Path, Key: sample.Key}
}

// FindViolations checks the samples of one run. runs returns how many times the
// services of a pool ran each call.
func FindViolations(samples []load.Sample, runs func(comfreyworks.Pool) map[service.Call]int, deployment *settings.Deployment) []Violation {
	byPool := make(map[comfreyworks.Pool]map[service.Call]int)
	for _, pool := range deployment.Pools {
		byPool[pool.Name] = runs(pool.Name)
	}
	var violations []Violation
	for _, sample := range samples {
		violations = append(violations, checkOutcome(sample)...)
		if sample.Key != "" && !repeatable(sample, deployment) {
			violations = append(violations, checkRunCount(sample, byPool[sample.Line.Pool][serviceCall(sample)])...)
		}
	}
	return violations
}

func repeatable(sample load.Sample, deployment *settings.Deployment) bool {
	pool := deployment.Pool(sample.Line.Pool)
	return pool != nil && pool.Repeatable(sample.Line.Method, sample.Line.Path)
}

// checkOutcome checks the outcome that a caller saw.
func checkOutcome(sample load.Sample) []Violation {
	violated := map[load.Outcome]Guarantee{
		load.OutcomeWrong:      GuaranteeCorrectAnswer,
		load.OutcomeIncomplete: GuaranteeCompleteStream,
		load.OutcomeFailed:     GuaranteeKnownResult,
	}
	guarantee, ok := violated[sample.Outcome]
	if !ok {
		return nil
	}
	return []Violation{{Guarantee: guarantee, Detail: describe(sample)}}
}

// checkRunCount compares the outcome of a call with the number of times it ran.
func checkRunCount(sample load.Sample, runs int) []Violation {
	var violations []Violation
	if runs > 1 {
		violations = append(violations, Violation{Guarantee: GuaranteeAtMostOnce, Detail: fmt.Sprintf("%s: ran %d times", describe(sample), runs)})
	}
	switch {
	case sample.Outcome == load.OutcomeRefused && runs > 0:
		violations = append(violations, Violation{Guarantee: GuaranteeNotRun, Detail: describe(sample)})
	case sample.Outcome == load.OutcomeComplete && runs == 0:
		violations = append(violations, Violation{Guarantee: GuaranteeRan, Detail: describe(sample)})
	}
	return violations
}

func describe(sample load.Sample) string {
	return fmt.Sprintf("%s of %s at %s: %s %s", sample.Line.Class, sample.Line.Workspace,
		sample.Start.Round(time.Millisecond), sample.Outcome, sample.Detail)
}
