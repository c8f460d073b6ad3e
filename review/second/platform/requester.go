package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// sent is a request that a requester has sent, with its answer.
type sent struct {
	id      string
	gateway *gateway
	path    string
	key     string
	at      time.Time
	ended   time.Time
	// status is zero if the channel ended without an answer. complete means that the
	// whole body arrived.
	status   int
	complete bool
	// kept means that the channel had been used before.
	kept bool
}

// requesters sends requests to the gateways.
type requesters struct {
	world  *world
	client *http.Client

	mu    sync.Mutex
	next  int
	sent  []*sent
	group sync.WaitGroup
}

// newRequesters returns requesters that keep their channels, or that open one for each request.
func newRequesters(w *world, keep bool) *requesters {
	for _, g := range w.gateways {
		w.background.Go(g.checkReady)
	}
	return &requesters{world: w, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: !keep, MaxIdleConnsPerHost: 100}}}
}

// choose returns a gateway in rotation, or any if none is.
func (q *requesters) choose() *gateway {
	var ready []*gateway
	for _, g := range q.world.gateways {
		if g.ready() {
			ready = append(ready, g)
		}
	}
	if len(ready) == 0 {
		ready = q.world.gateways
	}
	return ready[rand.IntN(len(ready))]
}

// send sends a request with the first key through a gateway and records its answer.
func (q *requesters) send(g *gateway, method, path, parts string, deadline time.Duration) *sent {
	return q.sendWithKey(g, firstKey, method, path, parts, deadline)
}

func (q *requesters) sendWithKey(g *gateway, key, method, path, parts string, deadline time.Duration) *sent {
	q.mu.Lock()
	q.next++
	s := &sent{id: fmt.Sprintf("q%06d", q.next), gateway: g, path: path, key: key, at: time.Now()}
	q.sent = append(q.sent, s)
	q.mu.Unlock()
	defer func() {
		s.ended = time.Now()
		q.world.record.add("requester %s %s with %s to %s: status %d complete %v after %.3f s", s.id, path, key, g.name, s.status, s.complete, s.ended.Sub(s.at).Seconds())
	}()
	var body io.Reader
	if method == http.MethodPost {
		body = bytes.NewReader([]byte("body of " + path + parts))
	}
	r, err := http.NewRequest(method, "http://"+g.address(frontPort)+path, body)
	if err != nil {
		panic(err)
	}
	r.Host = host
	r.Header.Set(prefix+"Request-Id", s.id)
	r.Header.Set(prefix+"Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set(prefix+"Credential", key)
	if parts != "" {
		r.Header.Set(prefix+"Model", model)
		r.Header.Set(prefix+"Token-Usage", "900,24")
		r.Header.Set(prefix+"Prompt-Prefix", parts)
	}
	// Without GetBody, the client can't send a request twice.
	r.GetBody = nil
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { s.kept = info.Reused }}
	response, err := q.client.Do(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return s
	}
	defer func() { _ = response.Body.Close() }()
	s.status = response.StatusCode
	_, err = io.Copy(io.Discard, response.Body)
	s.complete = err == nil
	return s
}

// run calls send at a rate until a time, each call in a goroutine of its own.
func (q *requesters) run(rate float64, until time.Time, send func(n int)) {
	q.group.Go(func() {
		for n := 0; time.Now().Before(until); n++ {
			q.group.Go(func() { send(n) })
			time.Sleep(time.Duration((0.8 + 0.4*rand.Float64()) / rate * float64(time.Second)))
		}
	})
}

// all returns what was sent so far, by ID.
func (q *requesters) all() map[string]*sent {
	q.mu.Lock()
	defer q.mu.Unlock()
	found := make(map[string]*sent, len(q.sent))
	for _, s := range q.sent {
		found[s.id] = s
	}
	return found
}
