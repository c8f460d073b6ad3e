package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// trials sends prompts with a part that crashes replicas. The disruption: the machines are
// stopped and started in turn.
func trials(w *world, trouble bool) (bool, string) {
	q := newRequesters(w, false)
	time.Sleep(1500 * time.Millisecond)
	until := time.Now().Add(98 * time.Second)
	q.run(16, until, func(n int) {
		q.send(q.choose(), http.MethodPost, "/site-note/sound", fmt.Sprintf("guide:500,s%d:200,u%d:200", n%5, n), 12*time.Second)
	})
	q.run(6, until, func(n int) {
		q.send(q.choose(), http.MethodPost, "/spec-review/sound", fmt.Sprintf("guide:500,r%d:200,v%d:200", n%5, n), 5*time.Second)
	})
	time.Sleep(4 * time.Second)
	q.run(8, until, func(n int) {
		q.send(q.choose(), http.MethodPost, "/site-note/crashing", fmt.Sprintf("guide:500,%s:200,p%d:200", poison, n), 12*time.Second)
	})
	for range 3 {
		time.Sleep(9 * time.Second)
		if !trouble {
			continue
		}
		for _, g := range w.gateways {
			if err := g.restart(true, 500*time.Millisecond); err != nil {
				return false, err.Error()
			}
			time.Sleep(2 * time.Second)
		}
	}
	q.group.Wait()
	return w.countCrashing(q, 5)
}

// countCrashing counts the requests that crash replicas and that reached one, sent by
// machines in touch later than contact_ms after a number of crashes.
func (w *world) countCrashing(q *requesters, after int) (bool, string) {
	crashes := w.allCrashes()
	if len(crashes) < after {
		return false, fmt.Sprintf("only %d crashes", len(crashes))
	}
	from := crashes[after-1].at.Add(contact)
	sent, n, cut := q.all(), 0, 0
	for _, a := range w.arrived(poison) {
		if s := sent[a.id]; s != nil && a.at.After(from) && s.gateway.inTouch(a.at) {
			n++
			cut += w.cutAt(a.replica, sent)
			w.record.add("counted: %s through %s reached %s at %.3f", a.id, s.gateway.name, a.replica, a.at.Sub(w.record.start).Seconds())
		}
	}
	return n > 3, fmt.Sprintf(
		"%d crashes; %d requests reached replicas later than contact_ms after crash %d, allowed 3; %d sound requests that may run only once were at work on these replicas and got no whole answer",
		len(crashes), n, after, cut)
}

// cutAt counts the sound requests that a replica ran last, that may run only once, and that got
// no whole answer although their machine was in touch until then.
func (w *world) cutAt(replica string, sent map[string]*sent) (n int) {
	for _, a := range w.arrived("/sound") {
		s := sent[a.id]
		once := s != nil && (strings.HasPrefix(s.path, "/book-order/") || strings.HasPrefix(s.path, "/spec-review/"))
		if once && a.replica == replica && w.hasRun(a.id) && s.gateway.inTouch(s.at) && s.gateway.inTouch(s.ended) && (s.status != http.StatusOK || !s.complete) {
			n++
			w.record.add("cut: %s (%s) at %s: status %d, whole %v", s.id, s.path, replica, s.status, s.complete)
		}
	}
	return n
}

// herd sends a request that crashes the replicas that run it, again and again. The
// disruption: all processes are killed at once.
func herd(w *world, trouble bool) (bool, string) {
	q := newRequesters(w, false)
	time.Sleep(1500 * time.Millisecond)
	until := time.Now().Add(62 * time.Second)
	q.run(12, until, func(n int) {
		q.send(q.choose(), http.MethodGet, "/job-lookup/sound", "", 4*time.Second)
	})
	q.run(16, until, func(n int) {
		q.send(q.choose(), http.MethodPost, fmt.Sprintf("/book-order/sound-%d", n), "", 4*time.Second)
	})
	q.run(0.22, until, func(int) {
		q.send(q.choose(), http.MethodPost, "/book-order/"+poison, "", 4*time.Second)
	})
	for range 2 {
		time.Sleep(20 * time.Second)
		if trouble {
			done := make(chan error, len(w.gateways))
			for _, g := range w.gateways {
				go func() { done <- g.restart(false, 500*time.Millisecond) }()
			}
			for range w.gateways {
				if err := <-done; err != nil {
					return false, err.Error()
				}
			}
		}
	}
	q.group.Wait()
	return w.countCrashing(q, 3)
}
