package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const prefix = "X-Comfreyworks-"

// run is a request that a replica has run.
type run struct {
	id, replica, tenant, salt string
	parts                     []string
	at                        time.Time
}

// replica is a stand-in of a sound replica: a plain service, or a model replica that
// caches parts of prompts by salt.
type replica struct {
	world             *world
	id, service, zone string
	release           string
	model             string
	address           string
	born              time.Time
	server            *http.Server

	mu       sync.Mutex
	unlisted bool
	sequence atomic.Int64
	version  int
	orders   int
	// cached maps salt and part to the request that made it.
	cached map[string]maker
	// events is the number of events of a stream, pause the time before each.
	events int
	pause  time.Duration
}

// maker is the request that made a cached part.
type maker struct{ id, tenant string }

func (w *world) startReplica(id, service, zone, release, model string) *replica {
	r := &replica{
		world: w, id: id, service: service, zone: zone, release: release, model: model, born: time.Now(), version: 1,
		cached: make(map[string]maker), events: 5, pause: 20 * time.Millisecond,
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fail("listen: %v", err)
	}
	r.address = listener.Addr().String()
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
	w.mu.Lock()
	w.replicas = append(w.replicas, r)
	w.mu.Unlock()
	r.list()
	return r
}

// list writes the replica's entry.
func (r *replica) list() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unlisted {
		return
	}
	fields := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.release, "slots": 64, "state": "ready",
		"cold_remaining_ms": 0, "sequence": r.sequence.Add(1), "born": r.born.UnixMilli(),
	}
	if r.model != "" {
		fields["stage"] = "prefill_decode"
		fields["models"] = []map[string]any{{"name": r.model, "version": r.version, "adapters": []string{}}}
	}
	r.world.store.put("keyed.servers", r.id, fields, false)
}

// leave removes the replica's entry. It serves on until it is stopped.
func (r *replica) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unlisted = true
	r.world.store.put("keyed.servers", r.id, nil, false)
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	if r.unlisted {
		w.Header().Set("Server-Leaving", "1")
	}
	r.mu.Unlock()
	if target := q.Header.Get(prefix + "Target-Instance"); target != "" && target != r.id {
		w.Header().Set(prefix+"Request-Id", q.Header.Get(prefix+"Request-Id"))
		w.Header().Set(prefix+"Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/v1/report":
		r.report(w)
	case "/v1/order":
		r.order(w, body)
	case "/v1/kv-events":
		r.kvEvents(w, q)
	case "/v1/kv-list":
		_ = json.NewEncoder(w).Encode(map[string]any{"boot_epoch": r.born.UnixMilli(), "next_page_token": 0, "held": []any{}})
	default:
		r.serve(w, q)
	}
}

func (r *replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "prefill_decode", "models": []map[string]any{{"name": r.model, "version": r.version, "adapters": []string{}}},
		"busy": false, "sequence": r.orders, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 95939, "handles": 0, "born": r.born.UnixMilli(),
	})
}

func (r *replica) order(w http.ResponseWriter, body []byte) {
	var order struct {
		Version  int  `json:"version"`
		Expected *int `json:"expected"`
	}
	if json.Unmarshal(body, &order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case order.Version <= r.version:
		w.WriteHeader(http.StatusOK)
	case order.Expected != nil && *order.Expected != r.orders:
		w.WriteHeader(http.StatusConflict)
	default:
		r.orders++
		r.version = order.Version
		clear(r.cached)
		w.WriteHeader(http.StatusAccepted)
	}
}

func (r *replica) kvEvents(w http.ResponseWriter, q *http.Request) {
	ms, _ := strconv.Atoi(q.Header.Get("Wait-Ms"))
	select {
	case <-time.After(time.Duration(min(ms, 1000)) * time.Millisecond):
	case <-q.Context().Done():
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"boot_epoch": r.born.UnixMilli(), "next_page_token": 0, "lost": false, "events": []any{}})
}

// serve runs a request of a requester.
func (r *replica) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(prefix + "Request-Id")
	h := w.Header()
	h.Set(prefix+"Request-Id", id)
	this := run{id: id, replica: r.id, tenant: q.Header.Get(prefix + "Tenant"), salt: q.Header.Get(prefix + "Cache-Salt"), at: time.Now()}
	if r.model == "" {
		r.world.addRun(this)
		time.Sleep(5 * time.Millisecond)
		h.Set(prefix+"Response-Signature", "s."+id)
		_, _ = fmt.Fprintf(w, "answer to %s by %s\n", id, r.id)
		return
	}
	r.mu.Lock()
	version := r.version
	expected := q.Header.Get(prefix + "Expected-Version")
	if expected != "" && expected != strconv.Itoa(version) {
		r.mu.Unlock()
		h.Set(prefix+"Weight-Versions", strconv.Itoa(version))
		h.Set(prefix+"Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	reads := true
	for entry := range strings.SplitSeq(q.Header.Get(prefix+"Prompt-Prefix"), ",") {
		part, _, _ := strings.Cut(entry, ":")
		key := this.salt + "|" + part
		made, ok := r.cached[key]
		reads = reads && ok
		if reads {
			this.parts = append(this.parts, fmt.Sprintf("%s made by %s of %s", part, made.id, made.tenant))
		} else {
			r.cached[key] = maker{id, this.tenant}
		}
	}
	r.mu.Unlock()
	r.world.addRun(this)
	h.Set("Content-Type", "text/event-stream")
	h.Set(prefix+"Response-Signature", "s."+id)
	h.Set(prefix+"Weight-Versions", strconv.Itoa(version))
	first := 1
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for n := first; n <= r.events; n++ {
		time.Sleep(r.pause)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s token %d\n\n", n, r.release, n); err != nil || q.Context().Err() != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}
