package program

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/protocol/logservice"
	"comfreyworks/internal/protocol/upstream"
	"comfreyworks/internal/standin/rawserver"
	"comfreyworks/internal/transport/admin"
	"comfreyworks/platform"
)

// reader is a client that takes an answer for valid if its body is sound.
type reader struct {
	body string
	read func(ctx context.Context, address netip.AddrPort) error
	// uncertain reports whether an error leaves open whether the call has been executed.
	uncertain func(error) bool
}

// readers are the clients of upstreams and of the platform.
var readers = map[string]reader{
	"service": {"ok", func(ctx context.Context, address netip.AddrPort) error {
		_, err := upstream.NewService(address, http.DefaultClient, nil).Do(ctx, comfreyworks.ServiceCall{Method: http.MethodPost, Path: "/bookings", Body: []byte("x")})
		return err
	}, broken},
	"engine": {"{}", func(ctx context.Context, address netip.AddrPort) error {
		_, err := upstream.NewEngine(address, http.DefaultClient).Import(ctx, 1)
		return err
	}, broken},
	"order to an engine": {"", func(ctx context.Context, address netip.AddrPort) error {
		return upstream.NewEngine(address, http.DefaultClient).OrderWeights(ctx, upstream.WeightsOrder{})
	}, broken},
	"log": {"{}", func(ctx context.Context, address netip.AddrPort) error {
		_, err := logservice.NewClient(address, http.DefaultClient).Append(ctx, "s", nil)
		return err
	}, func(err error) bool { return isKind(err, logservice.KindUnavailable) }},
	"store": {"{}", func(ctx context.Context, address netip.AddrPort) error {
		return platform.NewStoreClient(address, http.DefaultClient, zap.NewNop()).Register(ctx, comfreyworks.GatewayPeer{ID: "g0"})
	}, unavailable},
	"status of a replica": {"{}", func(ctx context.Context, address netip.AddrPort) error {
		_, err := platform.NewReplicaClient(http.DefaultClient).Status(ctx, comfreyworks.Upstream{Address: address})
		return err
	}, unavailable},
	"order to a replica": {"", func(ctx context.Context, address netip.AddrPort) error {
		_, err := platform.NewReplicaClient(http.DefaultClient).Load(ctx, comfreyworks.WeightsLoadOrder{Upstream: comfreyworks.Upstream{Address: address}})
		return err
	}, unavailable},
	"cache events": {"{}", func(ctx context.Context, address netip.AddrPort) error {
		_, err := platform.NewReplicaClient(http.DefaultClient).CacheChanges(ctx, comfreyworks.CacheHolder{Address: address}, 0, 0)
		return err
	}, unavailable},
	"revision": {"{}", func(ctx context.Context, address netip.AddrPort) error {
		_, err := admin.FetchRevision(ctx, address)
		return err
	}, func(err error) bool { return isKind(err, admin.KindServe) }},
}

func broken(err error) bool      { return upstream.IsKind(err, upstream.KindBroken) }
func unavailable(err error) bool { return isKind(err, platform.KindUnavailable) }

func isKind[K ~string](err error, kind K) bool {
	e, ok := err.(*comfreyworks.OpError[K])
	return ok && e.Kind == kind
}

// readFrom reads an answer from a server that sends it.
func (r reader) readFrom(t *testing.T, answer rawserver.Answer) error {
	t.Helper()
	server, err := rawserver.Start(answer)
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	err = r.read(ctx, server.Address())
	assert.NilError(t, ctx.Err())
	cancel()
	assert.NilError(t, server.Close())
	return err
}

// TestResetWhileSending guards against taking an answer for complete whose connection was
// reset while the body of the request was being written.
func TestResetWhileSending(t *testing.T) {
	large := make([]byte, 8<<20)
	for name, reader := range map[string]reader{
		"service": {"part", func(ctx context.Context, address netip.AddrPort) error {
			_, err := upstream.NewService(address, http.DefaultClient, nil).Do(ctx, comfreyworks.ServiceCall{Method: http.MethodPost, Path: "/bookings", Body: large})
			return err
		}, broken},
		"client of a program": {"part", func(ctx context.Context, address netip.AddrPort) error {
			_, err := upstream.NewService(address, NewHTTPClient(), nil).Do(ctx, comfreyworks.ServiceCall{Method: http.MethodPost, Path: "/bookings", Body: large})
			return err
		}, broken},
		"log": {"{}", func(ctx context.Context, address netip.AddrPort) error {
			_, err := logservice.NewClient(address, http.DefaultClient).Append(ctx, "s", [][]byte{large})
			return err
		}, func(err error) bool { return isKind(err, logservice.KindUnavailable) }},
		"store": {"{\"offset\":0}", func(ctx context.Context, address netip.AddrPort) error {
			_, err := platform.NewStoreClient(address, http.DefaultClient, zap.NewNop()).AppendAt(ctx, "s", 0, large)
			return err
		}, unavailable},
	} {
		for _, after := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " after ", after), func(t *testing.T) {
				t.Parallel()
				for range 3 {
					err := reader.readFrom(t, rawserver.Answer{Text: "HTTP/1.1 200 OK\r\n\r\n" + reader.body, ResetAfter: after})
					assert.Assert(t, reader.uncertain(err), "%v", err)
				}
			})
		}
	}
}

// TestBrokenHeads guards against taking an answer for valid, or for a refusal that
// promises that nothing was done, if its status or a name of a field is malformed.
func TestBrokenHeads(t *testing.T) {
	for name, reader := range readers {
		length := fmt.Sprintf("Content-Length: %d\r\n", len(reader.body))
		for _, c := range []struct {
			head  string
			sound bool
		}{
			{"HTTP/1.1 200 OK\r\n" + length, true},
			{"HTTP/1.1 200\r\nX-Sound:\ta\tb\r\n" + length, true},
			{"HTTP/1.0 200 OK\r\n", true},
			{"HTTP/1.1 000 Broken\r\n" + length, false},
			{"HTTP/1.1 000 Broken\r\n", false},
			{"HTTP/1.1 +20 Broken\r\n" + length, false},
			{"HTTP/1.1 099 Broken\r\n" + length, false},
			{"HTTP/1.1 101 Broken\r\nConnection: upgrade\r\nUpgrade: x\r\n", false},
			{"HTTP/1.1 600 Broken\r\n" + length, false},
			{"HTTP/1.1 200 OK\r\nX Broken: 1\r\n" + length, false},
			{"HTTP/1.1 200 OK\r\nContent-Length : 1\r\n" + length, false},
			{"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n", false},
			{"HTTP/1.1 409 Conflict\r\nX Broken: 1\r\n" + length, false},
			{"HTTP/1.1 103 Early Hints\r\nX Broken: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + length, false},
		} {
			t.Run(fmt.Sprintf("%s %q", name, c.head), func(t *testing.T) {
				err := reader.readFrom(t, rawserver.Answer{Text: c.head + "\r\n" + reader.body})
				if c.sound {
					assert.NilError(t, err)
					return
				}
				assert.Assert(t, reader.uncertain(err), "%v", err)
			})
		}
	}
}
