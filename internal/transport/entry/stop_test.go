package entry_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/standin/engine"
	"comfreyworks/internal/state/settings"
	"comfreyworks/internal/transport/entry"
)

// TestEntryReadsDuringShutdown guards against dropping a request without an answer
// because a stopping entry stopped accepting connections while the request arrived.
func TestEntryReadsDuringShutdown(t *testing.T) {
	for _, kept := range []bool{false, true} {
		name := "new connection"
		if kept {
			name = "kept connection"
		}
		t.Run(name, func(t *testing.T) {
			r := newRig(t, overrides{})
			address := strings.TrimPrefix(r.EntryURL(0), "http://")
			conn, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			var text strings.Builder
			assert.NilError(t, request(t, http.MethodPost, r.EntryURL(0)+"/v1/chat/completions", validBody).Write(&text))
			send := func(part string) {
				_, err := io.WriteString(conn, part)
				assert.NilError(t, err)
			}
			receive := func() {
				answer, err := http.ReadResponse(reader, nil)
				assert.NilError(t, err, "the request was dropped")
				_, err = io.ReadAll(answer.Body)
				assert.NilError(t, err)
				assert.Equal(t, answer.StatusCode, http.StatusOK)
			}
			if kept {
				send(text.String())
				receive()
			}
			send(text.String()[:30])
			time.Sleep(50 * time.Millisecond)
			var group errgroup.Group
			group.Go(func() error {
				r.StopEntry(0)
				return nil
			})
			for refused := false; !refused; time.Sleep(time.Millisecond) {
				probe, err := net.Dial("tcp", address)
				if refused = err != nil; !refused {
					_ = probe.Close()
				}
			}
			send(text.String()[30:])
			receive()
			_ = conn.Close()
			assert.NilError(t, group.Wait())
		})
	}
}

// TestEntryAnswersAtTheEnd guards against closing the connection of a
// request that waits without any answer when the entry stops.
func TestEntryAnswersAtTheEnd(t *testing.T) {
	r := newRig(t, overrides{
		callers: func(c *settings.Callers) { c.StopGrace = 300 * time.Millisecond },
		rates:   func(rates *engine.Rates) { rates.StepTime = 2 * time.Second },
	})
	var group errgroup.Group
	group.Go(func() error {
		time.Sleep(200 * time.Millisecond)
		r.StopEntry(0)
		return nil
	})
	answer, err := http.DefaultClient.Do(request(t, http.MethodPost, r.EntryURL(0)+"/v1/chat/completions", validBody))
	assert.NilError(t, err, "no answer")
	_ = answer.Body.Close()
	assert.NilError(t, group.Wait())
}

// TestErrorsAtTheEnd guards against a final answer that says the wrong thing: a request
// whose body never arrived has not run, and one that an engine has may have run.
func TestErrorsAtTheEnd(t *testing.T) {
	for _, c := range []struct {
		name string
		// missing is how many bytes of the request are not sent.
		missing, status int
		run             comfreyworks.RunState
	}{
		{"body incomplete", 2, http.StatusServiceUnavailable, comfreyworks.RunStateNotRun},
		{"engine too slow", 0, http.StatusBadGateway, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, overrides{
				callers: func(callers *settings.Callers) { callers.StopGrace = 300 * time.Millisecond },
				rates:   func(rates *engine.Rates) { rates.StepTime = 2 * time.Second },
			})
			conn, err := net.Dial("tcp", strings.TrimPrefix(r.EntryURL(0), "http://"))
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			var text strings.Builder
			assert.NilError(t, request(t, http.MethodPost, r.EntryURL(0)+"/v1/chat/completions", validBody).Write(&text))
			_, err = io.WriteString(conn, text.String()[:text.Len()-c.missing])
			assert.NilError(t, err)
			time.Sleep(200 * time.Millisecond)
			r.StopEntry(0)
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err, "no answer")
			_, err = io.ReadAll(answer.Body)
			assert.NilError(t, err, "incomplete answer")
			assert.Equal(t, answer.StatusCode, c.status)
			assert.Equal(t, answer.Header.Get(entry.HeaderRun), string(c.run))
			assert.Assert(t, answer.Close, "the close is announced")
		})
	}
}

// TestLateRequestAtEntry guards against beginning a request that a stopping entry must cut off,
// because it was complete too late: one that may not be repeated would be lost.
func TestLateRequestAtEntry(t *testing.T) {
	for _, c := range []struct {
		name     string
		deadline time.Duration
		status   int
	}{
		{"it might be cut off", 10 * time.Second, http.StatusServiceUnavailable},
		{"it ends in time", 1600 * time.Millisecond, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, overrides{
				callers: func(callers *settings.Callers) { callers.StopGrace = 3 * time.Second },
				class:   func(class *settings.Class) { class.Deadline = c.deadline },
			})
			conn, err := net.Dial("tcp", strings.TrimPrefix(r.EntryURL(0), "http://"))
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			var text strings.Builder
			assert.NilError(t, request(t, http.MethodPost, r.EntryURL(0)+"/v1/chat/completions", validBody).Write(&text))
			_, err = io.WriteString(conn, text.String()[:text.Len()-2])
			assert.NilError(t, err)
			var group errgroup.Group
			stoppedAt := time.Now()
			group.Go(func() error {
				r.StopEntry(0)
				return nil
			})
			time.Sleep(time.Second)
			_, err = io.WriteString(conn, text.String()[text.Len()-2:])
			assert.NilError(t, err)
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err, "no answer")
			_, err = io.ReadAll(answer.Body)
			assert.NilError(t, err, "incomplete answer")
			assert.Equal(t, answer.StatusCode, c.status)
			assert.Assert(t, time.Since(stoppedAt) < 3*time.Second)
			_ = conn.Close()
			assert.NilError(t, group.Wait())
		})
	}
}
