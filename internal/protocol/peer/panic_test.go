package peer

import (
	"encoding/gob"
	"errors"
	"net"
	"net/rpc"
	"testing"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks/internal/state/faults"
	"comfreyworks/internal/state/meter"
)

// brokenValue panics when it is decoded.
type brokenValue struct{}

func (brokenValue) GobEncode() ([]byte, error) { return []byte{1}, nil }

func (*brokenValue) GobDecode([]byte) error { panic("broken") }

// TestPanicWhileDecoding guards against a message that ends its receiver.
func TestPanicWhileDecoding(t *testing.T) {
	counts := meter.New()
	recorder := faults.New(faults.Options{Clock: clockwork.NewFakeClock(), Logger: zap.NewNop(), Meter: counts})
	ours, theirs := net.Pipe()
	client := rpc.NewClientWithCodec(newCodec(ours, MessageLimits{}, recorder))
	var group errgroup.Group
	group.Go(func() error {
		var request rpc.Request
		var argument int
		decoder, encoder := gob.NewDecoder(theirs), gob.NewEncoder(theirs)
		return errors.Join(decoder.Decode(&request), decoder.Decode(&argument),
			encoder.Encode(rpc.Response{Seq: request.Seq}), encoder.Encode(brokenValue{}))
	})
	assert.ErrorContains(t, client.Call("Peer.Read", 1, &brokenValue{}), errPanic.Error())
	assert.NilError(t, group.Wait())
	assert.Equal(t, counts.Counter("comfrey_panics_total", meter.Labels{Class: "peer-codec"}), 1)
}
