package exchange

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks"
)

// respondEndlessly returns a function that writes a start and then the text again and
// again, until the caller closes the connection. It calls ended then.
func respondEndlessly(start, text string, pause time.Duration, ended func()) func(net.Conn, *http.Request, int64) bool {
	return func(conn net.Conn, r *http.Request, _ int64) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, err := io.WriteString(conn, start)
		if text == "" {
			_, _ = io.Copy(io.Discard, conn)
			err = io.EOF
		}
		for err == nil {
			time.Sleep(pause)
			_, err = io.WriteString(conn, text)
		}
		ended()
		return false
	}
}

// TestEndlessHead guards against waiting for a header that never ends: the request must
// end at a bound of its own, and its connection must be closed.
func TestEndlessHead(t *testing.T) {
	for name, c := range map[string]struct {
		start, text string
		pause       time.Duration
	}{
		"header fields":                   {"HTTP/1.1 200 OK\r\n", "X-Y: z\r\n", 0},
		"one header field":                {"HTTP/1.1 200 OK\r\nX-Y: ", "zzzz", 0},
		"informational responses":         {"", "HTTP/1.1 103 Early Hints\r\nX-Y: z\r\n\r\n", 0},
		"bytes that are no answer":        {"", "zzzz", 0},
		"header fields that trickle":      {"HTTP/1.1 200 OK\r\n", "X-Y: z\r\n", time.Millisecond},
		"one that stops":                  {"HTTP/1.1 200 OK\r\n", "", time.Millisecond},
		"one that stops after a hint":     {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n", "X-Y: z\r\n", time.Millisecond},
		"informational ones that trickle": {"", "HTTP/1.1 103 Early Hints\r\n\r\n", time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			var ended atomic.Bool
			u := serve(t, respondEndlessly(c.start, c.text, c.pause, func() { ended.Store(true) }))
			goroutines := runtime.NumGoroutine()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			err := f.whileAdvancing(func() error {
				_, err := f.client.Exchange(ctx, newForwardedRequest(http.MethodPost, "text"), optionsFor(u))
				return err
			})
			expectKind(t, err, comfreyworks.ExchangeLost)
			assert.ErrorIs(t, err, comfreyworks.ErrCutOff)
			assert.NilError(t, ctx.Err(), "the request ended only at its deadline")
			waitFor(ended.Load)
			waitFor(func() bool { return runtime.NumGoroutine() <= goroutines })
		})
	}
}

// TestEndlessRefusal guards against reading the body of an answer without end although
// its header already says that the request has not run.
func TestEndlessRefusal(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": 0, "in a trickle": time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			var ended atomic.Bool
			head := "HTTP/1.1 503 Service Unavailable\r\nComfrey-Not-Run: 1\r\n\r\n"
			u := serve(t, respondEndlessly(head, "x", pause, func() { ended.Store(true) }))
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			err := f.whileAdvancing(func() error {
				_, err := f.client.Exchange(ctx, newForwardedRequest(http.MethodPost, "text"), optionsFor(u))
				return err
			})
			expectKind(t, err, comfreyworks.ExchangeNotRun)
			assert.NilError(t, ctx.Err(), "the request ended only at its deadline")
			waitFor(ended.Load)
		})
	}
}

// TestSlowHead guards against cutting a sound answer: one whose header comes late, whose
// body is slow, or that is announced by an informational response long before.
func TestSlowHead(t *testing.T) {
	for name, parts := range map[string][]string{
		"late header":                 {"", completeResponse},
		"late after an informational": {"HTTP/1.1 102 Processing\r\n\r\n", completeResponse},
		"slow body":                   {completeResponse[:len(completeResponse)-2], "o", "k"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			u := serve(t, func(conn net.Conn, r *http.Request, _ int64) bool {
				_, _ = io.Copy(io.Discard, r.Body)
				for _, part := range parts {
					_, _ = io.WriteString(conn, part)
					waitFor(f.clockPasses(10 * headTimeout))
				}
				return true
			})
			assert.NilError(t, f.whileAdvancing(func() error {
				response, err := f.exchange(u, newForwardedRequest(http.MethodPost, "text"))
				if err != nil {
					return err
				}
				body, err := io.ReadAll(response.Body)
				assert.Equal(t, string(body), "ok")
				return errors.Join(err, response.Body.Close())
			}))
		})
	}
}

// whileAdvancing calls a function and advances the clock until it returns.
func (f fixture) whileAdvancing(call func() error) error {
	var done atomic.Bool
	var group errgroup.Group
	group.Go(func() error {
		for !done.Load() {
			f.clock.Advance(headTimeout / 10)
			time.Sleep(time.Millisecond)
		}
		return nil
	})
	err := call()
	done.Store(true)
	return errors.Join(err, group.Wait())
}

// clockPasses returns a function that reports whether a duration has passed since.
func (f fixture) clockPasses(d time.Duration) func() bool {
	start := f.clock.Now()
	return func() bool { return f.clock.Since(start) >= d }
}

// waitFor polls until a condition holds. It has no timeout of its own.
func waitFor(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

// TestEndlessChunks guards against a body that ends but whose framing does not: bytes
// that are no data must not keep a reader.
func TestEndlessChunks(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nComfrey-Request-Id: r1\r\nComfrey-Digest: d\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct{ start, text string }{
		"a chunk extension":     {head + "2;x=", "xxxx"},
		"many chunk extensions": {head, "1;x=" + strings.Repeat("x", 1000) + "\r\ny\r\n"},
		"a trailer field":       {head + "2\r\nok\r\n0\r\nX-Y: ", "zzzz"},
		"trailer fields":        {head + "2\r\nok\r\n0\r\n", "X-Y: z\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			var ended atomic.Bool
			u := serve(t, respondEndlessly(c.start, c.text, 0, func() { ended.Store(true) }))
			response, err := f.exchange(u, newForwardedRequest(http.MethodPost, "text"))
			assert.NilError(t, err)
			n, err := io.Copy(io.Discard, response.Body)
			assert.Assert(t, err != nil)
			assert.Assert(t, n <= 100, "%d bytes were read", n)
			assert.NilError(t, response.Body.Close())
			waitFor(ended.Load)
		})
	}
}
