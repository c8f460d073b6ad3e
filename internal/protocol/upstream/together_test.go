package upstream

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/state/memory"
	"comfreyworks/internal/state/meter"
)

// TestAnswersTogether guards against several answers of a service that each keep the limit
// and together exceed the memory of a sidecar.
func TestAnswersTogether(t *testing.T) {
	const together, limit = 6, 8 << 20
	budget := memory.New(memory.Options{Limit: limit, AnswerShare: memory.WholeAnswers, Clock: clockwork.NewRealClock(), Meter: meter.New()})
	var open atomic.Int32
	endless := NewService(serve(t, writeEndlessly("", string(make([]byte, 64<<10)), 2*maxResponseBytes, &open)), http.DefaultClient, budget)
	sound := NewService(serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, limit/2)) }), http.DefaultClient, budget)
	call := comfreyworks.ServiceCall{Method: http.MethodGet, Path: "/"}
	var group errgroup.Group
	for range together {
		group.Go(func() error {
			_, err := endless.Do(context.Background(), call)
			assert.Check(t, IsKind(err, KindBroken))
			assert.ErrorIs(t, err, memory.ErrFull)
			return nil
		})
	}
	assert.NilError(t, group.Wait())
	for range 2 {
		answer, err := sound.Do(context.Background(), call)
		assert.NilError(t, err)
		assert.Equal(t, len(answer.Body), limit/2)
	}
}
