package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"

	"comfreyworks"
	"comfreyworks/internal/state/settings"
)

// Call carries one call to a plain service. A call that may not be repeated is
// sent on only while it is certain that nothing ran, or if it has a key: the
// key's claim keeps it from running twice, and another sidecar may know how it
// ended.
func (d *Dispatcher) Call(ctx context.Context, pool *settings.Pool, work comfreyworks.ServiceAttempt) comfreyworks.ServiceOutcome {
	outcome := comfreyworks.ServiceOutcome{
		Run:     comfreyworks.RunStateNotRun,
		Refusal: &comfreyworks.Refusal{Reason: comfreyworks.RefusedUpstreamDown, RetryAfter: defaultRetryAfter},
	}
	harmless := work.Repeatable || work.Call.IdempotencyKey != ""
	mayHaveRun := false
	var excluded []comfreyworks.InstanceID
	budget := budgetKey{workspace: work.Workspace, pool: pool.Name}
	d.budgets.earn(budget)
	pauses := d.newPauses()
	for attempt := range maxAttempts {
		if attempt > 0 && !d.budgets.spend(budget) {
			return outcome
		}
		instance, ok := d.chooseService(pool.Name, excluded)
		if !ok {
			if !d.pause(ctx, pauses) {
				return outcome
			}
			excluded = nil
			continue
		}
		outcome = d.callOnce(ctx, instance, work)
		mayHaveRun = mayHaveRun || outcome.Run == comfreyworks.RunStateUnknown
		if outcome.Run == comfreyworks.RunStateNotRun && mayHaveRun {
			// True of this attempt, but not of the ones before it.
			outcome = comfreyworks.ServiceOutcome{Run: comfreyworks.RunStateUnknown, Detail: outcome.Detail}
		}
		again := outcome.Run != comfreyworks.RunStateRan && (harmless || !mayHaveRun)
		if !again || outcome.Conflict || ctx.Err() != nil || isLogDown(outcome) {
			return outcome
		}
		excluded = append(excluded, instance.ID)
	}
	return outcome
}

// isLogDown reports whether a call was not run because the log did not answer.
// It would not answer another sidecar either.
func isLogDown(outcome comfreyworks.ServiceOutcome) bool {
	return outcome.Refusal != nil && outcome.Refusal.Reason == comfreyworks.RefusedLogDown
}

func (d *Dispatcher) chooseService(pool comfreyworks.Pool, excluded []comfreyworks.InstanceID) (comfreyworks.Instance, bool) {
	usable := slices.DeleteFunc(slices.Clone(d.options.View.Usable(pool)), func(i comfreyworks.Instance) bool {
		return slices.Contains(excluded, i.ID)
	})
	if len(usable) == 0 {
		return comfreyworks.Instance{}, false
	}
	return usable[rand.IntN(len(usable))], true
}

func (d *Dispatcher) callOnce(ctx context.Context, instance comfreyworks.Instance, work comfreyworks.ServiceAttempt) comfreyworks.ServiceOutcome {
	outcome, err := d.options.Gates.Sidecar(instance).Call(ctx, work)
	if err == nil {
		d.noteCall(instance, outcome)
		return outcome
	}
	if ctx.Err() == nil {
		d.options.View.Failed(instance.ID)
	}
	if errors.Is(err, comfreyworks.ErrNotSent) {
		refusal := &comfreyworks.Refusal{Reason: comfreyworks.RefusedUpstreamDown, RetryAfter: defaultRetryAfter}
		return comfreyworks.ServiceOutcome{Run: comfreyworks.RunStateNotRun, Refusal: refusal, Detail: err.Error()}
	}
	return comfreyworks.ServiceOutcome{Run: comfreyworks.RunStateUnknown, Detail: err.Error()}
}

func (d *Dispatcher) noteCall(instance comfreyworks.Instance, outcome comfreyworks.ServiceOutcome) {
	switch {
	case outcome.Refusal == nil:
		d.options.View.Worked(instance.ID)
	case outcome.Refusal.Reason == comfreyworks.RefusedLeaving:
		d.options.View.Leaving(instance.ID)
	case outcome.Refusal.Reason == comfreyworks.RefusedUpstreamDown, outcome.Refusal.Reason == comfreyworks.RefusedStarting:
		d.options.View.Failed(instance.ID)
	}
}
