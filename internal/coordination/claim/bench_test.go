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

// BenchmarkDo measures the calls per second of three sidecars that share a log
// with a limit of 300 appends per second.
func BenchmarkDo(b *testing.B) {
	const sidecars, callers = 3, 400
	clock := clockwork.NewRealClock()
	log := logservice.NewLog(logservice.LogOptions{Clock: clock, AppendsPerSecond: 300})
	ctx, cancel := context.WithCancel(context.Background())
	var executorGroup errgroup.Group
	var executors []*Executor
	for range sidecars {
		e := New(Options{
			Log: log, Service: instantService{}, Clock: clock, Logger: zap.NewNop(),
			Stream: "claims/x", Window: time.Hour,
		})
		executors = append(executors, e)
		executorGroup.Go(func() error { return e.Run(ctx) })
	}
	start := time.Now()
	var callerGroup errgroup.Group
	callerGroup.SetLimit(callers)
	calls := 0
	for b.Loop() {
		calls++
		executor := executors[calls%sidecars]
		callerGroup.Go(func() error {
			outcome := executor.Do(ctx, newAttempt(uuid.Must(uuid.NewV7()).String(), "crew 7"))
			if outcome.Run != comfreyworks.RunStateRan {
				b.Errorf("got %+v", outcome)
			}
			return nil
		})
	}
	_ = callerGroup.Wait()
	b.ReportMetric(float64(calls)/time.Since(start).Seconds(), "calls/s")
	b.ReportMetric(float64(log.Appends())/time.Since(start).Seconds(), "appends/s")
	cancel()
	_ = executorGroup.Wait()
}
