package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// closedFor is the time for which one of three replicas wants nothing.
	closedFor = 95 * time.Second
	// closedMargin is the time after the first 503 in which requests may still arrive.
	closedMargin = 500 * time.Millisecond
)

// closed sends orders. The disruption: a replica answers 503 with Retry-After.
func closed(w *world, trouble bool) (bool, string) {
	q := newRequesters(w, false)
	time.Sleep(1500 * time.Millisecond)
	until := time.Now().Add(closedFor + 8*time.Second)
	q.run(20, until, func(int) { q.send(q.choose(), http.MethodPost, "/book-order/sound", "", 4*time.Second) })
	time.Sleep(5 * time.Second)
	r := w.replicas[len(w.replicas)-1]
	if trouble {
		r.mu.Lock()
		r.closedUntil = time.Now().Add(closedFor)
		r.mu.Unlock()
	}
	q.group.Wait()
	sent := q.all()
	first := make(map[*gateway]time.Time)
	counts := make(map[*gateway]int)
	for _, a := range w.arrived("") {
		if !a.turnedAway {
			continue
		}
		g := sent[a.id].gateway
		if first[g].IsZero() {
			first[g] = a.at
		} else if a.at.After(first[g].Add(closedMargin)) {
			counts[g]++
		}
	}
	most := 0
	text := ""
	for _, g := range w.gateways {
		most = max(most, counts[g])
		text += fmt.Sprintf(" %s %d", g.name, counts[g])
	}
	return most > 2, fmt.Sprintf("requests that reached the replica within the %.0f s:%s; allowed 2 from each machine", closedFor.Seconds(), text)
}
