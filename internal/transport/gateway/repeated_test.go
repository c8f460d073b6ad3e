package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// repeater is a faulty upstream that refuses requests while there are refusals left, and
// writes each refusal once more when the next request on the connection has begun to run.
type repeater struct {
	refusal string

	mu       sync.Mutex
	refusals int
	runs     map[string]int
}

// serve serves one connection.
func (p *repeater) serve(conn net.Conn, _ int) error {
	reader := bufio.NewReader(conn)
	stale := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return nil
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Comfrey-Request-Id")
		p.mu.Lock()
		refused := p.refusals > 0
		p.refusals--
		if !refused {
			p.runs[id]++
		}
		p.mu.Unlock()
		text := stale
		stale = ""
		if refused {
			stale = strings.ReplaceAll(p.refusal, "ID", id)
			text += stale
		} else {
			text += fmt.Sprintf("HTTP/1.1 200 OK\r\nComfrey-Request-Id: %s\r\nComfrey-Digest: d\r\nContent-Length: 5\r\n\r\nwhole", id)
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return nil
		}
	}
}

// TestRepeatedRefusal guards against refusing a request that may run only once, or sending
// it again, although it runs: its upstream has written an earlier refusal once more.
func TestRepeatedRefusal(t *testing.T) {
	for name, head := range map[string]string{
		"full": "503 Full\r\nComfrey-Not-Run: 1", "too many": "429 Many\r\nComfrey-Not-Run: 1",
		"invalid": "400 Invalid\r\nComfrey-Not-Run: 1", "other instance": "421 Other\r\nComfrey-Instance: x",
	} {
		for _, id := range []string{"", "Comfrey-Request-Id: ID\r\n"} {
			for _, upstreams := range []int{1, 2, 3} {
				for refusals := range 4 {
					t.Run(fmt.Sprintf("%s, %q, %d upstreams, %d refusals", name, id, upstreams, refusals), func(t *testing.T) {
						f := newFixture(t)
						p := &repeater{refusal: "HTTP/1.1 " + head + "\r\n" + id + "Content-Length: 0\r\n\r\n", refusals: refusals, runs: make(map[string]int)}
						f.source.upstreams = nil
						for i := range upstreams {
							f.source.upstreams = append(f.source.upstreams, comfreyworks.Upstream{ID: comfreyworks.InstanceID(fmt.Sprint("repeater-", i)), Pool: "orders", State: comfreyworks.InstanceLive})
						}
						f.serveRaw(t, p.serve)
						for i := range 6 {
							r := f.request(t, http.MethodPost, "/book/1", "text")
							id := fmt.Sprint("r", i)
							r.Header.Set(f.names.RequestID, id)
							status := f.do(t, r).StatusCode
							p.mu.Lock()
							runs := p.runs[id]
							p.mu.Unlock()
							assert.Assert(t, runs <= 1, "%s ran %d times", id, runs)
							if runs == 1 {
								assert.Assert(t, status == http.StatusOK || status == http.StatusBadGateway, "%s ran and was answered with %d", id, status)
							}
						}
					})
				}
			}
		}
	}
}
