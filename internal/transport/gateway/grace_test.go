package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks/internal/standin/replica"
)

// TestAnsweredAtTheEndOfTheGracePeriod guards against closing the connection of a request
// that waits for a silent replica without any answer when the gateway stops.
func TestAnsweredAtTheEndOfTheGracePeriod(t *testing.T) {
	for _, path := range []string{"/book/1", "/look/1", "/note/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			replicas := append(f.services, f.engines...)
			f.failFirst(replicas, replica.FaultHang, 10)
			options := f.gateway.options
			options.Clock = clockwork.NewRealClock()
			options.Settings.Bounds.StopGrace = shutdownDelay + shutdownMargin + 300*time.Millisecond
			g := New(options)
			listeners := Listeners{Requests: listen(t), Ready: listen(t)}
			ctx, stop := context.WithCancel(context.Background())
			var group errgroup.Group
			group.Go(func() error { return g.Run(ctx, listeners) })
			request := f.request(t, http.MethodPost, path, "text")
			request.URL.Host = listeners.Requests.Addr().String()
			var answer response
			group.Go(func() error {
				answer = f.do(t, request)
				return nil
			})
			waitFor(t, func() bool { return len(f.runs(replicas)) > 0 })
			stop()
			stoppedAt := time.Now()
			assert.NilError(t, group.Wait())
			assert.Assert(t, time.Since(stoppedAt) < options.Settings.Bounds.StopGrace)
			assert.Assert(t, !answer.cut)
			assert.Equal(t, answer.StatusCode, http.StatusBadGateway)
		})
	}
}
