package sidecar

import (
	"context"
	"sync"
	"time"

	"comfreyworks"
	"comfreyworks/internal/protocol/upstream"
)

// drainPoll is how often a drain looks whether calls are left.
const drainPoll = 20 * time.Millisecond

// calls makes calls to a plain service and says truly whether they ran.
type calls struct {
	service comfreyworks.Service
	mu      sync.Mutex
	open    int
	leaving bool
}

func newCalls(service comfreyworks.Service) *calls {
	return &calls{service: service}
}

func (c *calls) do(ctx context.Context, work comfreyworks.ServiceWork) comfreyworks.ServiceOutcome {
	if !c.enter() {
		return comfreyworks.ServiceOutcome{
			Run:     comfreyworks.NotRun,
			Refusal: &comfreyworks.Refusal{Reason: comfreyworks.RefusedLeaving},
		}
	}
	defer c.leave()
	answer, err := c.service.Do(ctx, work.Call)
	switch {
	case err == nil:
		return comfreyworks.ServiceOutcome{Run: comfreyworks.Ran, Answer: answer}
	case upstream.IsKind(err, upstream.KindNotSent):
		return comfreyworks.ServiceOutcome{
			Run:     comfreyworks.NotRun,
			Refusal: &comfreyworks.Refusal{Reason: comfreyworks.RefusedDown},
			Detail:  err.Error(),
		}
	default:
		return comfreyworks.ServiceOutcome{Run: comfreyworks.RunUnknown, Detail: err.Error()}
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

// drain refuses new calls and waits for the open ones until ctx ends.
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
	return nil
}
