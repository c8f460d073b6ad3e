package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks"
)

// TestConfigurationChange guards against requests that end without an answer or a refusal
// beside a change of the configuration: under way at an upstream that is silent for a
// second, half sent, or sent next on a connection that is kept.
func TestConfigurationChange(t *testing.T) {
	const silence = time.Second
	for name, change := range map[string]func(*comfreyworks.Routing){
		"routes removed": func(r *comfreyworks.Routing) { r.Routes = r.Routes[:1] },
		"pools changed":  func(r *comfreyworks.Routing) { r.Pools[0].Name, r.Pools[1].Name = "lm-2", "orders-2"; renamePools(r) },
		"weights to zero": func(r *comfreyworks.Routing) {
			eachRoute(r, func(route *comfreyworks.Route) { route.Pools[0].Weight = 0 })
		},
		"no pools": func(r *comfreyworks.Routing) { eachRoute(r, func(route *comfreyworks.Route) { route.Pools = nil }) },
		"timeout lowered": func(r *comfreyworks.Routing) {
			eachRoute(r, func(route *comfreyworks.Route) { route.Timeout = silence / 4 })
		},
		"timeout removed":      func(r *comfreyworks.Routing) { eachRoute(r, func(route *comfreyworks.Route) { route.Timeout = 0 }) },
		"idle timeout lowered": func(r *comfreyworks.Routing) { r.Limits.IdleTimeout = silence / 4 },
		"limits lowered": func(r *comfreyworks.Routing) {
			r.Limits.HeaderBytes, r.Limits.BodyBytes, r.Limits.HeaderTimeout = 1, 1, silence/4
		},
		"key dropped": func(r *comfreyworks.Routing) { r.Workspaces[0].Keys = nil },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startStopping(t, silence, time.Second)
			var callers []*changeCaller
			for _, path := range []string{"/book/1", "/look/1", "/open/1", "/review/1", "/note/1"} {
				text := s.text(t, path)
				for _, sent := range []int{0, 60, len(text) - 2, len(text)} {
					callers = append(callers, s.newChangeCaller(t, text, sent))
				}
			}
			s.source.change(func(source *memorySource) { source.routing = changedRouting(source.routing, change) })
			waitFor(t, func() bool {
				table, _ := s.gateway.catalog.Routing()
				return table.Version() == comfreyworks.ConfigRevision(s.source.positionNow())
			})
			time.Sleep(silence / 2)
			var group errgroup.Group
			for _, c := range callers {
				group.Go(func() error {
					status, err := c.finish()
					what, _, _ := strings.Cut(c.text, "\r")
					assert.Check(t, err, "%s, %d of %d bytes sent", what, c.sent, len(c.text))
					assert.Check(t, c.sent < len(c.text) || status == http.StatusOK, "%s was under way: %d", what, status)
					return nil
				})
			}
			assert.NilError(t, group.Wait())
		})
	}
}

// changedRouting returns a changed copy of a routing.
func changedRouting(r comfreyworks.Routing, change func(*comfreyworks.Routing)) comfreyworks.Routing {
	r.Routes, r.Pools, r.Workspaces = slices.Clone(r.Routes), slices.Clone(r.Pools), slices.Clone(r.Workspaces)
	eachRoute(&r, func(route *comfreyworks.Route) { route.Pools = slices.Clone(route.Pools) })
	change(&r)
	return r
}

func eachRoute(r *comfreyworks.Routing, change func(*comfreyworks.Route)) {
	for i := range r.Routes {
		change(&r.Routes[i])
	}
}

func renamePools(r *comfreyworks.Routing) {
	eachRoute(r, func(route *comfreyworks.Route) { route.Pools[0].Pool += "-2" })
}

func (s *memorySource) positionNow() comfreyworks.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.position
}

// changeCaller is a caller on a connection that it has used before, or is using.
type changeCaller struct {
	conn   net.Conn
	reader *bufio.Reader
	text   string
	// sent is how much of the text was sent before the change.
	sent int
}

func (s *stopping) newChangeCaller(t *testing.T, text string, sent int) *changeCaller {
	t.Helper()
	conn, err := net.Dial("tcp", s.RemoteAddr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	c := &changeCaller{conn, bufio.NewReader(conn), text, sent}
	c.send(t, s.text(t, "/none/1"))
	status, err := c.receive()
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusNotFound)
	c.send(t, text[:sent])
	return c
}

func (c *changeCaller) send(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(c.conn, text)
	assert.NilError(t, err)
}

// receive returns the status of a complete answer.
func (c *changeCaller) receive() (int, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		return 0, err
	}
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.ReadAll(answer.Body)
	return answer.StatusCode, err
}

// finish sends the rest of the request and returns the status of its answer.
func (c *changeCaller) finish() (int, error) {
	_, _ = io.WriteString(c.conn, c.text[c.sent:])
	return c.receive()
}
