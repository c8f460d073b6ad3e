package sidecar

import (
	"context"
	"errors"
	"sync"
	"time"

	"comfreyworks"
	"comfreyworks/internal/coordination/claim"
)

// drainPoll is how often a drain looks whether calls are left.
const drainPoll = 20 * time.Millisecond

// calls makes calls to a plain service and says truly whether they ran.
type calls struct {
	service  comfreyworks.Service
	executor *claim.Executor
	mu       sync.Mutex
	open     int
	leaving  bool
}

func newCalls(service comfreyworks.Service, executor *claim.Executor) *calls {
	return &calls{service: service, executor: executor}
}

// do makes one call. Calls with a key that may not be repeated go through a
// claim; the others are sent once, and whoever asked decides about a retry.
func (c *calls) do(ctx context.Context, work comfreyworks.ServiceAttempt) comfreyworks.ServiceOutcome {
	if !c.enter() {
		return refused(comfreyworks.RefusedLeaving, "")
	}
	defer c.leave()
	if !work.Repeatable && work.Call.IdempotencyKey != "" {
		return c.executor.Do(ctx, work)
	}
	answer, err := c.service.Do(ctx, work.Call)
	switch {
	case err == nil:
		return comfreyworks.ServiceOutcome{Run: comfreyworks.RunStateRan, Answer: answer}
	case errors.Is(err, comfreyworks.ErrNotSent):
		return refused(comfreyworks.RefusedUpstreamDown, err.Error())
	default:
		return comfreyworks.ServiceOutcome{Run: comfreyworks.RunStateUnknown, Detail: err.Error()}
	}
}

func refused(reason comfreyworks.RefusalReason, detail string) comfreyworks.ServiceOutcome {
	return comfreyworks.ServiceOutcome{
		Run:     comfreyworks.RunStateNotRun,
		Refusal: &comfreyworks.Refusal{Reason: reason},
		Detail:  detail,
	}
}

func (c *calls) enter() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving {
		return false
	}
	c.open++
	return true
}

func (c *calls) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
}

func (c *calls) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// drain refuses new calls, waits for the open ones and then for their records
// to be on the log, until ctx ends.
func (c *calls) drain(ctx context.Context) error {
	c.mu.Lock()
	c.leaving = true
	c.mu.Unlock()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for c.count() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return c.executor.Drain(ctx)
}
