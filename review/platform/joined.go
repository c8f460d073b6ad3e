package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// joined: replicas of a new release join and are withdrawn again, while one partition of the
// store is down, the one with the gateways' record of releases. Then all gateways are killed,
// and requesters take up the streams that broke.
func joined(w *world) {
	const outage = 7500 * time.Millisecond
	w.startDeployment(manifest(2, tenant{"office", false, []string{"key-office"}}))
	for _, r := range w.replicas {
		r.events, r.pause = 60, 50*time.Millisecond
	}
	var mu sync.Mutex
	down := false
	w.store.mu.Lock()
	w.store.down = func(topic string) bool {
		mu.Lock()
		defer mu.Unlock()
		return down && topic == "keyed.gateway-releases"
	}
	w.store.mu.Unlock()
	setDown := func(on bool) {
		mu.Lock()
		defer mu.Unlock()
		down = on && w.trouble
		w.log("one partition of the store is down: %v", down)
	}
	time.Sleep(6 * time.Second)
	setDown(true)
	began := time.Now()
	time.Sleep(100 * time.Millisecond)
	var added []*replica
	for i, zone := range []string{"atl-a", "atl-b", "atl-c"} {
		r := w.startReplica(fmt.Sprint("i-new-", i), "lm-pool", zone, "v2", model)
		r.events, r.pause = 60, 50*time.Millisecond
		added = append(added, r)
	}
	w.log("replicas of v2 are listed")
	time.Sleep(time.Until(began.Add(6400 * time.Millisecond)))
	var streams []*stream
	for i := range 40 {
		s := &stream{gateway: w.gateways[i%len(w.gateways)], number: i}
		streams = append(streams, s)
		w.workers.Add(1)
		go func() {
			defer w.workers.Done()
			s.read(w, s.gateway, w.newID())
		}()
	}
	time.Sleep(500 * time.Millisecond)
	for _, r := range added {
		r.leave()
	}
	w.log("replicas of v2 leave")
	time.Sleep(200 * time.Millisecond)
	for _, g := range w.gateways {
		g.kill()
	}
	w.log("all gateways are killed")
	w.workers.Wait()
	time.Sleep(time.Until(began.Add(outage)))
	setDown(false)
	for _, g := range w.gateways {
		w.start(g)
	}
	w.awaitReady(15 * time.Second)
	w.log("all gateways are ready again")
	for _, s := range streams {
		w.workers.Add(1)
		go func() {
			defer w.workers.Done()
			for range 6 {
				if s.complete || s.last == 0 {
					return
				}
				s.read(w, w.gateways[(s.number+1)%len(w.gateways)], w.newID())
				time.Sleep(400 * time.Millisecond)
			}
		}()
	}
	w.workers.Wait()
	w.finish()
	broken, begun := 0, 0
	for _, s := range streams {
		if s.last > 0 {
			begun++
		}
		_, _ = fmt.Fprintf(w.record, "stream %d: %d events, complete %v, releases %v, statuses %v\n", s.number, s.last, s.complete, s.releases, s.statuses)
		if len(s.releases) > 1 {
			broken++
			w.log("stream %d, requests %v: events of %v joined, complete: %v", s.number, s.ids, s.releases, s.complete)
		}
	}
	w.log("%d of %d streams that had begun are joined from two releases", broken, begun)
	w.verdict(broken > 0, begun >= 20)
}

// stream is a stream as its requester has received it, over several requests.
type stream struct {
	gateway  *gateway
	number   int
	last     int
	complete bool
	ids      []string
	statuses []int
	// releases lists the releases whose events it has, in their order.
	releases []string
}

// read sends the request for the rest of the stream and reads it.
func (s *stream) read(w *world, g *gateway, id string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+g.front()+"/note/1", strings.NewReader("text"))
	if err != nil {
		w.fail("%v", err)
	}
	r.Host = host
	for name, value := range map[string]string{
		"Request-Id": id, "Credential": "key-office", "Deadline-Ms": "4000", "Model": model, "Token-Usage": "1000,60",
		"Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,b%d:200", s.number),
	} {
		r.Header.Set(prefix+name, value)
	}
	if s.last > 0 {
		r.Header.Set("Last-Event-Id", fmt.Sprint(s.last))
	}
	s.ids = append(s.ids, id)
	response, err := client().Do(r)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	s.statuses = append(s.statuses, response.StatusCode)
	if response.StatusCode != http.StatusOK {
		return
	}
	data, err := io.ReadAll(response.Body)
	for event := range strings.SplitSeq(string(data), "\n\n") {
		var n, token int
		var release string
		if _, scanned := fmt.Sscanf(event, "id: %d\ndata: %s token %d", &n, &release, &token); scanned != nil {
			continue
		}
		s.last = n
		if len(s.releases) == 0 || s.releases[len(s.releases)-1] != release {
			s.releases = append(s.releases, release)
		}
	}
	s.complete = err == nil
}
