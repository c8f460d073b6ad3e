package exchange

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"comfreyworks"
)

// cannedConn is a connection whose other side answers with fixed bytes and closes it.
type cannedConn struct {
	net.Conn
	answer io.Reader
	// written is closed by the first write, which an answer follows.
	written chan struct{}
	closed  chan struct{}
}

func (c *cannedConn) Write(p []byte) (int, error) {
	select {
	case <-c.written:
	default:
		close(c.written)
	}
	return len(p), nil
}

func (c *cannedConn) Read(p []byte) (int, error) {
	select {
	case <-c.written:
		return c.answer.Read(p)
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

func (c *cannedConn) Close() error {
	select {
	case <-c.closed:
	default:
		close(c.closed)
	}
	return nil
}

// FuzzAnswer guards against an answer that panics, that is taken for proven without the
// upstream's digest, or whose times and revisions make no sense.
func FuzzAnswer(f *testing.F) {
	const end = "Content-Length: 0\r\n\r\n"
	for _, seed := range []string{
		"", "HTTP/1.1 200 OK\r\n" + end, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nRetry-After: 1e300\r\nKeep-Alive: timeout=9223372036854775807\r\n" + end,
		"HTTP/1.1 421 Other\r\nComfrey-Weights: 99999999999999999999\r\n" + end, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nx",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nKeep-Alive: timeout=-1, timeout=9223372037\r\n\r\nab", "HTTP/9.9 999\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	names := comfreyworks.DefaultHeaderNames()
	f.Fuzz(func(t *testing.T, answer []byte) {
		conn := &cannedConn{answer: bytes.NewReader(answer), written: make(chan struct{}), closed: make(chan struct{})}
		client := NewClient(Options{
			Clock: clockwork.NewFakeClock(), Headers: names,
			Dial: func(context.Context, string, string) (net.Conn, error) { return conn, nil },
		})
		defer client.Close()
		ctx := comfreyworks.WithAdvice(context.Background(), func(a comfreyworks.UpstreamAdvice) {
			assert.Assert(t, a.ClosedFor >= 0 && a.ClosedFor <= comfreyworks.MaxClosedTime)
		})
		response, err := client.Exchange(ctx, &comfreyworks.ForwardedRequest{ID: "r", Method: http.MethodGet, Host: "h", Target: "/"},
			comfreyworks.AttemptOptions{Upstream: comfreyworks.Upstream{ID: "u", Address: netip.MustParseAddrPort("10.0.0.1:1")}})
		if err != nil {
			var failure *comfreyworks.ExchangeError
			assert.Assert(t, errors.As(err, &failure), "%v", err)
			return
		}
		assert.Assert(t, !response.HasDigest || response.Header.Get(names.Digest) != "")
		idle := keepAliveTimeout(response.Header)
		assert.Assert(t, idle >= 0 && (idle == 0 || idle >= time.Second), "idle timeout of %s", idle)
		body, _ := io.ReadAll(response.Body)
		assert.Assert(t, len(body) <= len(answer))
		assert.NilError(t, response.Body.Close())
	})
}
