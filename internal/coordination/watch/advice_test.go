package watch

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/state/holdings"
)

// advisingEngine answers each poll with advice and an error or no changes.
type advisingEngine struct {
	advice comfreyworks.UpstreamAdvice
	err    error
	polled chan struct{}
}

// CacheChanges implements comfreyworks.CacheSource.
func (e *advisingEngine) CacheChanges(ctx context.Context, _ netip.AddrPort, _ uint64, _ time.Duration) (comfreyworks.CacheChanges, error) {
	comfreyworks.ReportAdvice(ctx, e.advice)
	select {
	case e.polled <- struct{}{}:
	case <-ctx.Done():
	}
	return comfreyworks.CacheChanges{}, e.err
}

// TestAdvice checks that the advice of a target is passed on with each answer, also
// if the poll fails.
func TestAdvice(t *testing.T) {
	for name, err := range map[string]error{"success": nil, "failure": context.DeadlineExceeded} {
		t.Run(name, func(t *testing.T) {
			engine := &advisingEngine{advice: comfreyworks.UpstreamAdvice{Leaving: true}, err: err, polled: make(chan struct{})}
			var received comfreyworks.UpstreamAdvice
			w := New(Options{
				Source: engine, Index: holdings.New(), ReaderCount: oneReader, Clock: clockwork.NewFakeClock(), Logger: zap.NewNop(),
				Advise: func(target Target) func(comfreyworks.UpstreamAdvice) {
					assert.Equal(t, target.ID, comfreyworks.InstanceID("e0"))
					return func(advice comfreyworks.UpstreamAdvice) { received = advice }
				},
			})
			ctx, stop := context.WithCancel(context.Background())
			var group errgroup.Group
			group.Go(func() error {
				w.poll(ctx, Target{ID: "e0"})
				return nil
			})
			<-engine.polled
			stop()
			assert.NilError(t, group.Wait())
			assert.Equal(t, received, engine.advice)
		})
	}
}
