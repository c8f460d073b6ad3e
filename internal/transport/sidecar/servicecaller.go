package sidecar

import (
	"context"
	"errors"
	"sync"
	"time"

	"comfreyworks"
	"comfreyworks/internal/coordination/claim"
)

// drainPollInterval is how often drain checks for open calls.
const drainPollInterval = 20 * time.Millisecond

// serviceCaller makes calls to a plain service and reports whether they ran.
type serviceCaller struct {
	service  comfreyworks.Service
	executor *claim.Executor
	mu       sync.Mutex
	// open is the number of calls in progress.
	open     int
	draining bool
}

func newServiceCaller(service comfreyworks.Service, executor *claim.Executor) *serviceCaller {
	return &serviceCaller{service: service, executor: executor}
}

// call makes one call. A call with an idempotency key that may run only once is
// made under a claim. Any other call is sent once, and the sender decides whether
// to retry it.
func (c *serviceCaller) call(ctx context.Context, attempt comfreyworks.ServiceAttempt) comfreyworks.ServiceOutcome {
	if !c.begin() {
		return refusedOutcome(comfreyworks.RefusedLeaving, "")
	}
	defer c.end()
	if !attempt.Repeatable && attempt.Call.IdempotencyKey != "" {
		return c.executor.Do(ctx, attempt)
	}
	answer, err := c.service.Do(ctx, attempt.Call)
	switch {
	case err == nil:
		return comfreyworks.ServiceOutcome{Run: comfreyworks.RunStateRan, Answer: answer}
	case errors.Is(err, comfreyworks.ErrNotSent):
		return refusedOutcome(comfreyworks.RefusedUpstreamDown, err.Error())
	default:
		return comfreyworks.ServiceOutcome{Run: comfreyworks.RunStateUnknown, Detail: err.Error()}
	}
}

func refusedOutcome(reason comfreyworks.RefusalReason, detail string) comfreyworks.ServiceOutcome {
	return comfreyworks.ServiceOutcome{
		Run:     comfreyworks.RunStateNotRun,
		Refusal: &comfreyworks.Refusal{Reason: reason},
		Detail:  detail,
	}
}

// begin counts a call as open. It returns false if drain has been called.
func (c *serviceCaller) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining {
		return false
	}
	c.open++
	return true
}

func (c *serviceCaller) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
}

func (c *serviceCaller) openCalls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// drain refuses new calls and waits until the open ones have ended and their
// outcomes have been appended to the log, or until ctx ends.
func (c *serviceCaller) drain(ctx context.Context) error {
	c.mu.Lock()
	c.draining = true
	c.mu.Unlock()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for c.openCalls() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return c.executor.Drain(ctx)
}
