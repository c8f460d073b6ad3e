package claim

import (
	"context"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"comfreyworks"
	"comfreyworks/internal/standin/logservice"
)

// instantService answers every call at once.
type instantService struct{}

func (instantService) Do(context.Context, comfreyworks.ServiceCall) (comfreyworks.ServiceAnswer, error) {
	return comfreyworks.ServiceAnswer{Status: 200, Body: []byte("done")}, nil
}

// BenchmarkDo measures calls a second of three sidecars that share a log which
// takes 300 appends a second.
func BenchmarkDo(b *testing.B) {
	const sidecars, callers = 3, 400
	clock := clockwork.NewRealClock()
	log := logservice.NewLog(logservice.LogOptions{Clock: clock, AppendsPerSecond: 300})
	ctx, cancel := context.WithCancel(context.Background())
	var running errgroup.Group
	var executors []*Executor
	for range sidecars {
		e := New(Options{
			Log: log, Service: instantService{}, Clock: clock, Logger: zap.NewNop(),
			Stream: "claims/x", Window: time.Hour,
		})
		executors = append(executors, e)
		running.Go(func() error { return e.Run(ctx) })
	}
	start := time.Now()
	var group errgroup.Group
	group.SetLimit(callers)
	calls := 0
	for b.Loop() {
		calls++
		executor := executors[calls%sidecars]
		group.Go(func() error {
			outcome := executor.Do(ctx, work(uuid.Must(uuid.NewV7()).String(), "crew 7"))
			if outcome.Run != comfreyworks.RunStateRan {
				b.Errorf("got %+v", outcome)
			}
			return nil
		})
	}
	_ = group.Wait()
	b.ReportMetric(float64(calls)/time.Since(start).Seconds(), "calls/s")
	b.ReportMetric(float64(log.Appends())/time.Since(start).Seconds(), "appends/s")
	cancel()
	_ = running.Wait()
}
