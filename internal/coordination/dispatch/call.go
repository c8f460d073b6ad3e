package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"

	"comfreyworks"
	"comfreyworks/internal/state/settings"
)

// Call sends a call to a plain service and retries it at other instances. A
// call that is not repeatable and has no idempotency key is retried only while
// it is certain that it has not run. With a key it may always be retried: the
// claim on the key prevents a second run, and another sidecar may know the
// outcome.
func (d *Dispatcher) Call(ctx context.Context, pool *settings.Pool, attempt comfreyworks.ServiceAttempt) comfreyworks.ServiceOutcome {
	outcome := comfreyworks.ServiceOutcome{
		Run:     comfreyworks.RunStateNotRun,
		Refusal: &comfreyworks.Refusal{Reason: comfreyworks.RefusedUpstreamDown, RetryAfter: defaultRetryAfter},
	}
	safeToRepeat := attempt.Repeatable || attempt.Call.IdempotencyKey != ""
	mayHaveRun := false
	var excluded []comfreyworks.InstanceID
	budgetKey := retryBudgetKey{workspace: attempt.Workspace, pool: pool.Name}
	d.budgets.deposit(budgetKey)
	delays := d.newBackoff()
	sent := false
	for range maxAttempts {
		if sent && !d.budgets.withdraw(budgetKey) {
			return outcome
		}
		instance, ok := d.pickInstance(pool.Name, excluded)
		if !ok {
			if !d.waitBackoff(ctx, delays) {
				return outcome
			}
			excluded = nil
			continue
		}
		outcome, sent = d.callOnce(ctx, instance, attempt)
		mayHaveRun = mayHaveRun || outcome.Run == comfreyworks.RunStateUnknown
		if outcome.Run == comfreyworks.RunStateNotRun && mayHaveRun {
			// This attempt did not run the call, but an earlier one may have.
			outcome = comfreyworks.ServiceOutcome{Run: comfreyworks.RunStateUnknown, Detail: outcome.Detail}
		}
		retry := outcome.Run != comfreyworks.RunStateRan && (safeToRepeat || !mayHaveRun)
		if !retry || outcome.Conflict || ctx.Err() != nil || isLogDown(outcome) {
			return outcome
		}
		excluded = append(excluded, instance.ID)
	}
	return outcome
}

// isLogDown reports whether a call was refused because the log did not answer
// the sidecar. The log would not answer another sidecar either.
func isLogDown(outcome comfreyworks.ServiceOutcome) bool {
	return outcome.Refusal != nil && outcome.Refusal.Reason == comfreyworks.RefusedLogDown
}

// pickInstance returns a random usable instance that is not excluded.
func (d *Dispatcher) pickInstance(pool comfreyworks.Pool, excluded []comfreyworks.InstanceID) (comfreyworks.Instance, bool) {
	usable := slices.DeleteFunc(slices.Clone(d.options.View.Usable(pool)), func(i comfreyworks.Instance) bool {
		return slices.Contains(excluded, i.ID)
	})
	if len(usable) == 0 {
		return comfreyworks.Instance{}, false
	}
	return usable[rand.IntN(len(usable))], true
}

// callOnce sends a call to one instance and returns the outcome and whether the
// call may have been sent. Another attempt at one that was not adds no load to the
// pool and needs no retry from the budget.
func (d *Dispatcher) callOnce(ctx context.Context, instance comfreyworks.Instance, attempt comfreyworks.ServiceAttempt) (outcome comfreyworks.ServiceOutcome, sent bool) {
	outcome, err := d.options.Sidecars.Sidecar(instance).Call(ctx, attempt)
	if err == nil {
		d.updateView(instance, outcome)
		return outcome, true
	}
	if ctx.Err() == nil {
		d.options.View.RecordFailure(instance.ID)
	}
	if errors.Is(err, comfreyworks.ErrNotSent) {
		refusal := &comfreyworks.Refusal{Reason: comfreyworks.RefusedUpstreamDown, RetryAfter: defaultRetryAfter}
		return comfreyworks.ServiceOutcome{Run: comfreyworks.RunStateNotRun, Refusal: refusal, Detail: err.Error()}, false
	}
	return comfreyworks.ServiceOutcome{Run: comfreyworks.RunStateUnknown, Detail: err.Error()}, true
}

func (d *Dispatcher) updateView(instance comfreyworks.Instance, outcome comfreyworks.ServiceOutcome) {
	switch {
	case outcome.Refusal == nil:
		d.options.View.RecordSuccess(instance.ID)
	case outcome.Refusal.Reason == comfreyworks.RefusedLeaving:
		d.options.View.RecordLeaving(instance.ID)
	case outcome.Refusal.Reason == comfreyworks.RefusedUpstreamDown, outcome.Refusal.Reason == comfreyworks.RefusedStarting:
		d.options.View.RecordFailure(instance.ID)
	}
}
