package main

import (
	"fmt"
	"net/http"
	"time"
)

// trials sends prompts with a part that crashes replicas. The disruption: the machines are
// stopped and started in turn.
func trials(w *world, trouble bool) (bool, string) {
	q := newRequesters(w, false)
	time.Sleep(1500 * time.Millisecond)
	until := time.Now().Add(88 * time.Second)
	q.run(16, until, func(n int) {
		q.send(q.choose(), http.MethodPost, "/site-note/sound", fmt.Sprintf("guide:500,s%d:200,u%d:200", n%5, n), 12*time.Second)
	})
	time.Sleep(4 * time.Second)
	q.run(8, until, func(n int) {
		q.send(q.choose(), http.MethodPost, "/site-note/crashing", fmt.Sprintf("guide:500,%s:200,p%d:200", poison, n), 12*time.Second)
	})
	for range 2 {
		time.Sleep(14 * time.Second)
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
	sent, n := q.all(), 0
	for _, a := range w.arrived(poison) {
		if s := sent[a.id]; s != nil && a.at.After(from) && s.gateway.inTouch(a.at) {
			n++
			w.record.add("counted: %s through %s reached %s at %.3f", a.id, s.gateway.name, a.replica, a.at.Sub(w.record.start).Seconds())
		}
	}
	return n > 3, fmt.Sprintf("%d crashes; %d requests reached replicas later than contact_ms after crash %d, allowed 3", len(crashes), n, after)
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
	q.run(0.25, until, func(int) {
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
