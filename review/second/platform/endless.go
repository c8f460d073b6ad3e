package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// troubled is the number of engines in trouble, of nine, beside three sound replicas of the
	// other service.
	troubled = 3
	// endlessPiece is written every endlessPause: at most 100 Mbit/s for each answer, so that all
	// of them together stay far below link_mbps of a machine.
	endlessPiece = 24 << 10
	endlessPause = 2 * time.Millisecond
	// restartDelay is the time until a process that has ended is started again.
	restartDelay = 500 * time.Millisecond
)

// endless lets engines and the store of kept KV cache answer requests and reads of their cache events with bytes that are no
// answer and don't end. Like the platform, it kills processes whose memory exceeds memory_mb.
func endless(w *world, trouble bool) (bool, string) {
	q := newRequesters(w, true)
	time.Sleep(1500 * time.Millisecond)
	until := time.Now().Add(72 * time.Second)
	// The rates of the users' sheet.
	q.run(32, until, func(n int) {
		q.send(q.choose(), http.MethodPost, "/site-note/sound", fmt.Sprintf("guide:500,s%d:200,u%d:200", n%5, n), 12*time.Second)
	})
	q.run(21, until, func(n int) {
		q.send(q.choose(), http.MethodPost, "/spec-review/sound", fmt.Sprintf("guide:2520,r%d:3780,v%d:2890", n%40, n), 5*time.Second)
	})
	q.run(13, until, func(n int) {
		q.send(q.choose(), http.MethodPost, fmt.Sprintf("/book-order/sound-%d", n), "", 4*time.Second)
	})
	q.run(8, until, func(int) { q.send(q.choose(), http.MethodGet, "/job-lookup/sound", "", 4*time.Second) })
	done := make(chan struct{})
	ends := make([]int, len(w.gateways))
	peaks := make([]int, len(w.gateways))
	for i, g := range w.gateways {
		w.background.Go(func() { ends[i], peaks[i] = g.limitMemory(done) })
	}
	time.Sleep(4 * time.Second)
	if trouble {
		// One in each zone.
		for _, r := range w.replicas[:troubled] {
			r.mu.Lock()
			r.endless = w.writeEndlessly
			r.mu.Unlock()
			w.record.add("replica %s answers without end", r.id)
		}
		w.keep.mu.Lock()
		w.keep.endless = w.writeEndlessly
		w.keep.mu.Unlock()
		w.record.add("the store of kept KV cache answers without end")
	}
	q.group.Wait()
	close(done)
	time.Sleep(time.Second)
	machines := 0
	for _, n := range ends {
		if n >= 3 {
			machines++
		}
	}
	lost := 0
	for id, s := range q.all() {
		// Only sound replicas record what they run.
		if s.kept && s.status == 0 && w.hasRun(id) {
			lost++
			w.record.add("counted: %s (%s) through %s ran, and its channel ended without an answer", id, s.path, s.gateway.name)
		}
	}
	return lost > 3 || machines >= 2, fmt.Sprintf(
		"%d requests from kept channels were passed on to sound replicas and their channels closed without an answer, allowed 3; processes over %d MB: %v, at the peak %v kB, three times or more on %d machines, allowed on 1",
		lost, memoryMB, ends, peaks, machines)
}

func (w *world) writeEndlessly(rw http.ResponseWriter, q *http.Request) {
	rw.Header().Set(prefix+"Request-Id", q.Header.Get(prefix+"Request-Id"))
	rw.Header().Set(prefix+"Response-Signature", "signed")
	rw.Header().Set("Content-Type", "text/event-stream")
	piece := bytes.Repeat([]byte("x"), endlessPiece)
	for q.Context().Err() == nil {
		if _, err := rw.Write(piece); err != nil {
			return
		}
		time.Sleep(endlessPause)
	}
}

// limitMemory kills the process whenever its memory exceeds the limit, and starts it again.
// It returns how often that was, and the peak in kilobytes.
func (g *gateway) limitMemory(done <-chan struct{}) (ends, peak int) {
	for {
		select {
		case <-done:
			return ends, peak
		case <-time.After(10 * time.Millisecond):
		}
		now := g.memory()
		peak = max(peak, now)
		if now <= memoryMB<<10 {
			continue
		}
		ends++
		g.world.record.add("gateway %s has %d kB, over memory_mb", g.name, now)
		g.kill()
		time.Sleep(restartDelay)
		if err := g.start(); err != nil {
			g.world.record.add("gateway %s does not start: %v", g.name, err)
			return ends, peak
		}
	}
}

// memory returns the resident memory of the process in kilobytes.
func (g *gateway) memory() int {
	g.mu.Lock()
	pid := g.command.Process.Pid
	g.mu.Unlock()
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range bytes.Lines(status) {
		if rest, ok := bytes.CutPrefix(line, []byte("VmRSS:")); ok {
			n, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(string(rest)), " kB"))
			return n
		}
	}
	return 0
}
