// Package check holds what callers were told against what really happened.
//
// A run records every request and its answer; the stand-ins of the services
// count what they ran. From both follows whether the promises were kept:
// nothing that may not be repeated ran twice, a refusal that says "not run" is
// true, an answer belongs to its request and is complete, and nobody was left
// without an answer that says what happened.
//
// # Usage
//
//	violations := check.Run(samples, rig.Runs, deployment)
//
// An empty list means that every promise was kept.
package check

import (
	"fmt"
	"time"

	"comfreyworks"
	"comfreyworks/internal/bench/load"
	"comfreyworks/internal/standin/service"
	"comfreyworks/internal/state/settings"
)

// Promise names a promise.
type Promise string

// Promises.
const (
	PromiseOnce     Promise = "a call that may not be repeated runs at most once"
	PromiseRefusal  Promise = "a refusal that says not run is true"
	PromiseRan      Promise = "an answer that says ran is true"
	PromiseOwn      Promise = "a caller gets the whole answer to its own request"
	PromiseComplete Promise = "every stream is complete"
	PromiseAnswer   Promise = "every caller learns what happened"
)

// Violation is one broken promise.
type Violation struct {
	Promise Promise
	Detail  string
}

// String formats the violation on one line.
func (v Violation) String() string { return string(v.Promise) + ": " + v.Detail }

// call identifies the effect of a sample that is a call with a key.
func call(sample load.Sample) service.Call {
	return service.Call{Method: sample.Line.Method, Path: sample.Line.Path, Key: sample.Key}
}

// Run checks one run. runs returns what the services of a pool ran.
func Run(samples []load.Sample, runs func(comfreyworks.Pool) map[service.Call]int, deployment *settings.Deployment) []Violation {
	byPool := make(map[comfreyworks.Pool]map[service.Call]int)
	for _, pool := range deployment.Pools {
		byPool[pool.Name] = runs(pool.Name)
	}
	var violations []Violation
	for _, sample := range samples {
		violations = append(violations, answerOf(sample)...)
		if sample.Key != "" && !repeatable(sample, deployment) {
			violations = append(violations, effectOf(sample, byPool[sample.Line.Pool][call(sample)])...)
		}
	}
	return violations
}

func repeatable(sample load.Sample, deployment *settings.Deployment) bool {
	pool := deployment.Pool(sample.Line.Pool)
	return pool != nil && pool.Repeatable(sample.Line.Method, sample.Line.Path)
}

// answerOf checks a request by its answer alone.
func answerOf(sample load.Sample) []Violation {
	broken := map[load.Outcome]Promise{
		load.OutcomeWrong:      PromiseOwn,
		load.OutcomeIncomplete: PromiseComplete,
		load.OutcomeFailed:     PromiseAnswer,
	}
	promise, ok := broken[sample.Outcome]
	if !ok {
		return nil
	}
	return []Violation{{Promise: promise, Detail: describe(sample)}}
}

// effectOf holds a call's answer against how often it ran.
func effectOf(sample load.Sample, runs int) []Violation {
	var violations []Violation
	if runs > 1 {
		violations = append(violations, Violation{Promise: PromiseOnce, Detail: fmt.Sprintf("%s: ran %d times", describe(sample), runs)})
	}
	switch {
	case sample.Outcome == load.OutcomeRefused && runs > 0:
		violations = append(violations, Violation{Promise: PromiseRefusal, Detail: describe(sample)})
	case sample.Outcome == load.OutcomeComplete && runs == 0:
		violations = append(violations, Violation{Promise: PromiseRan, Detail: describe(sample)})
	}
	return violations
}

func describe(sample load.Sample) string {
	return fmt.Sprintf("%s of %s at %s: %s %s", sample.Line.Class, sample.Line.Workspace,
		sample.Start.Round(time.Millisecond), sample.Outcome, sample.Detail)
}
