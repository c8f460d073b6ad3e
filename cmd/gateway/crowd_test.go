package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks/internal/standin/crowd"
)

// crowdTime is how long a crowd stays.
const crowdTime = 6 * time.Second

// inGroup runs f in the background until it returns, at the latest when the test ends.
func inGroup(t *testing.T, f func()) {
	var group errgroup.Group
	group.Go(func() error {
		f()
		return nil
	})
	t.Cleanup(func() { _ = group.Wait() })
}

// head returns the header of a request with further lines.
func (p *process) head(i int, path string, lines ...string) string {
	return fmt.Sprintf("POST /%s/%d HTTP/1.1\r\nHost: %s\r\n%s: crowd-%d-%d\r\n%s\r\n", path, i, host, p.names.RequestID, i, time.Now().UnixNano(), strings.Join(lines, ""))
}

// oneByteChunks returns a body in chunks of one byte, without its end.
func oneByteChunks(n int) []byte { return bytes.Repeat([]byte("1\r\nx\r\n"), n) }

// TestCrowds guards against callers that end a gateway, make it exceed the limits of its
// machine or keep it from answering others, with requests that each keep the limits.
func TestCrowds(t *testing.T) {
	program := buildGateway(t)
	body := bytes.Repeat([]byte("x"), maxBody)
	length := fmt.Sprintf("Content-Length: %d\r\n", maxBody)
	const chunked = "Transfer-Encoding: chunked\r\n"
	lines := crowd.ShortLines(maxHeader - 900)
	send := func(c net.Conn, parts ...[]byte) bool {
		for _, part := range parts {
			if _, err := c.Write(part); err != nil {
				return false
			}
		}
		return true
	}
	for name, test := range map[string]struct {
		upstream http.Handler
		callers  int
		caller   func(p *process, i int, c net.Conn)
	}{
		"bodies that stop short of their end": {answer(0, 10), 24, func(p *process, i int, c net.Conn) {
			send(c, []byte(p.head(i, "look", length)), body[10:])
			crowd.Stay(c)
		}},
		"bodies in one chunk that stop short of its end": {answer(0, 10), 24, func(p *process, i int, c net.Conn) {
			send(c, []byte(p.head(i, "look", chunked)), fmt.Appendf(nil, "%x\r\n", maxBody), body[10:])
			crowd.Stay(c)
		}},
		"bodies in chunks of one byte": {answer(0, 10), 24, func(p *process, i int, c net.Conn) {
			chunks := oneByteChunks(64 << 10)
			for send(c, []byte(p.head(i, "look", chunked))) {
				for range maxBody/(64<<10) - 1 {
					if !send(c, chunks) {
						return
					}
				}
			}
		}},
		"whole bodies again and again": {answer(500*time.Millisecond, 10), 24, func(p *process, i int, c net.Conn) {
			reader := bufio.NewReader(c)
			for send(c, []byte(p.head(i, "look", length)), body) {
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, response.Body)
			}
		}},
		"headers of short lines without their end": {answer(0, 10), 200, func(p *process, i int, c net.Conn) {
			send(c, []byte(strings.TrimSuffix(p.head(i, "look", lines), "\r\n")))
			crowd.Stay(c)
		}},
		"headers of short lines": {answer(2*time.Second, 10), 200, func(p *process, i int, c net.Conn) {
			send(c, []byte(p.head(i, "look", lines, "Content-Length: 0\r\n")))
			crowd.Stay(c)
		}},
		"headers of equal names": {answer(2*time.Second, 10), 200, func(p *process, i int, c net.Conn) {
			send(c, []byte(p.head(i, "look", strings.Repeat("a:\r\n", (maxHeader-900)/4), "Content-Length: 0\r\n")))
			crowd.Stay(c)
		}},
		"requests sent ahead, answers unread": {answer(0, 1<<20), 24, func(p *process, i int, c net.Conn) {
			for n := range 100 {
				if !send(c, []byte(p.head(i*1000+n, "look", "Content-Length: 0\r\n"))) {
					break
				}
			}
			time.Sleep(crowdTime)
		}},
		"more connections than descriptors": {answer(0, 10), 2 * maxFDs, func(p *process, i int, c net.Conn) {
			if i%2 == 0 {
				send(c, []byte("POST /look/1 HTTP/1.1\r\n"))
			}
			crowd.Stay(c)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			p := startProcess(t, program, upstreams{service: test.upstream, engine: answer(0, 10)})
			crowd.Connect(p.address, crowdTime, test.callers, func(i int, c net.Conn) { test.caller(p, i, c) })
			p.assertBounds(t)
		})
	}
}

// TestUnreadAnswers guards against callers that don't read what they asked for, so that answers
// stay in the process and in its connections to upstreams.
func TestUnreadAnswers(t *testing.T) {
	program := buildGateway(t)
	events := func(size int) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			answer(0, 0)(w, r)
			for n := 1; r.Context().Err() == nil; n++ {
				if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, bytes.Repeat([]byte("x"), size)); err != nil {
					return
				}
			}
		})
	}
	for name, test := range map[string]struct {
		upstreams upstreams
		path      string
	}{
		"of a service":            {upstreams{service: answer(0, 8<<20), engine: answer(0, 10)}, "look"},
		"streams of short events": {upstreams{service: answer(0, 10), engine: events(100)}, "note"},
		"streams of long events":  {upstreams{service: answer(0, 10), engine: events(512 << 10)}, "note"},
	} {
		t.Run(name, func(t *testing.T) {
			p := startProcess(t, program, test.upstreams)
			crowd.Connect(p.address, crowdTime, 100, func(i int, c net.Conn) {
				_, _ = io.WriteString(c, p.head(i, test.path, "Content-Length: 0\r\n"))
				time.Sleep(crowdTime)
			})
			p.assertBounds(t)
		})
	}
}

// TestOtherPorts guards against clients that end a gateway by way of the ports that aren't
// meant for callers.
func TestOtherPorts(t *testing.T) {
	program := buildGateway(t)
	const half = "half a header"
	for port, test := range map[string]struct {
		address func(p *process) netip.AddrPort
		sends   string
	}{
		"readiness": {func(p *process) netip.AddrPort { return p.ready }, half},
		"metrics":   {func(p *process) netip.AddrPort { return p.metrics }, half},
		"peers":     {func(p *process) netip.AddrPort { return p.peers }, ""},
	} {
		t.Run(port, func(t *testing.T) {
			p := startProcess(t, program, upstreams{service: answer(0, 10), engine: answer(0, 10)})
			sends := test.sends
			if sends == half {
				sends = strings.TrimSuffix(p.head(0, "look", crowd.ShortLines(maxHeader-900)), "\r\n")
			}
			crowd.Connect(test.address(p), crowdTime, 2*maxFDs, func(i int, c net.Conn) {
				_, _ = io.WriteString(c, sends)
				crowd.Stay(c)
			})
			p.assertBounds(t)
		})
	}
}

// TestEndlessUpstreams guards against upstreams whose answers don't end, several at once, and
// which make a gateway exceed the memory of its machine.
func TestEndlessUpstreams(t *testing.T) {
	piece := bytes.Repeat([]byte("x"), 24<<10)
	endless := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer(0, 1)(w, r)
		for r.Context().Err() == nil {
			if _, err := w.Write(piece); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	})
	program := buildGateway(t)
	for name, u := range map[string]upstreams{
		"of cache events":              {answer(0, 10), answer(0, 10), endless},
		"of requests":                  {answer(0, 10), endless, nil},
		"of requests and cache events": {answer(0, 10), endless, endless},
	} {
		t.Run(name, func(t *testing.T) {
			p := startProcess(t, program, u)
			crowd.Connect(p.address, crowdTime, 24, func(i int, c net.Conn) {
				reader := bufio.NewReader(c)
				for n := 0; ; n++ {
					_, _ = io.WriteString(c, p.head(i*1000+n, "note", "Content-Length: 0\r\n"))
					response, err := http.ReadResponse(reader, nil)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, response.Body)
				}
			})
			p.assertBounds(t)
		})
	}
}

// TestLargestRequestInCalm guards against limits for crowds that refuse one caller who keeps
// the declared limits.
func TestLargestRequestInCalm(t *testing.T) {
	p := startProcess(t, buildGateway(t), upstreams{service: answer(0, 10), engine: answer(0, 10)})
	for name, prepare := range map[string]func() *http.Request{
		"the largest body": func() *http.Request { return p.newRequest(t, bytes.NewReader(make([]byte, maxBody))) },
		"the largest body in chunks": func() *http.Request {
			return p.newRequest(t, io.MultiReader(bytes.NewReader(make([]byte, maxBody))))
		},
		"a header of short lines": func() *http.Request {
			r := p.newRequest(t, nil)
			for line := range strings.Lines(crowd.ShortLines(maxHeader - 900)) {
				r.Header[strings.TrimSpace(strings.TrimSuffix(line, ":\r\n"))] = []string{""}
			}
			return r
		},
	} {
		t.Run(name, func(t *testing.T) {
			for range 5 {
				response, err := http.DefaultTransport.RoundTrip(prepare())
				assert.NilError(t, err)
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				assert.Equal(t, response.StatusCode, http.StatusOK)
			}
		})
	}
	p.assertBounds(t)
}
