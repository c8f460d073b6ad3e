package peer

import (
	"bytes"
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/state/memory"
	"comfreyworks/internal/state/meter"
)

// TestAnswersTogether guards against peers whose answers each keep the limit and together
// exceed the memory of a process.
func TestAnswersTogether(t *testing.T) {
	const limit = 4 << 20
	budget := memory.New(memory.Options{Limit: limit, AnswerShare: memory.WholeAnswers, Clock: clockwork.NewRealClock(), Meter: meter.New()})
	clients := NewClients(ClientOptions{Secret: secret, Clock: clockwork.NewRealClock(), Limits: MessageLimits{Memory: budget}})
	defer clients.Close()
	var ended atomic.Int32
	var group errgroup.Group
	const together = 4
	for range together {
		address := listen(t, func(conn net.Conn) {
			if serverHandshake(conn, secret) == nil {
				_ = writeEndlessly(conn, messageStart, make([]byte, 32<<10), 0)
			}
			ended.Add(1)
		})
		group.Go(func() error {
			_, err := read(clients.To(address), "s1")
			assert.Check(t, err != nil)
			return nil
		})
	}
	assert.NilError(t, group.Wait())
	waitFor(func() bool { return ended.Load() == together })
	sound, _ := serve(t)
	for range 3 {
		id := comfreyworks.StreamID(bytes.Repeat([]byte("x"), limit/4))
		update, err := clients.To(sound).Read(context.Background(), id, 0, time.Minute)
		assert.NilError(t, err)
		assert.Assert(t, update.Frames[0] == string(id))
	}
}
