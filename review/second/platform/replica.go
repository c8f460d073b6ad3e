package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"comfreyworks/platform/standin"
)

const (
	prefix = "X-Comfreyworks-"
	// poison is the part of a prompt, or of a path, that crashes replicas.
	poison = "dead"
	// prefillTime is the time from the arrival of a request until its answer begins,
	// longPrefillTime that of a specification review.
	prefillTime     = 40 * time.Millisecond
	longPrefillTime = 150 * time.Millisecond
	appTime         = 60 * time.Millisecond
	events          = 12
	eventPause      = 20 * time.Millisecond
	// downTime is how long a replica that crashed is away.
	downTime = 2 * time.Second
)

// replica is one place of a service. Each start of it has an ID of its own.
type replica struct {
	world      *world
	pool, zone string

	mu       sync.Mutex
	id       string
	address  netip.AddrPort
	born     time.Time
	sequence uint64
	up       bool
	server   *http.Server
	orders   int
	version  uint64
	// endless, if set, answers requests and reads of the cache events.
	endless http.HandlerFunc
}

// start starts the replica at the address that it had, or at a free one.
func (r *replica) start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := "127.0.0.1:0"
	if r.address.IsValid() {
		at = r.address.String()
	}
	listener, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	r.address = listener.Addr().(*net.TCPAddr).AddrPort()
	r.id, r.born, r.sequence, r.up, r.orders = r.world.newID(r.pool), time.Now(), 0, true, 0
	r.version = max(r.version, 1)
	id := r.id
	r.server = &http.Server{
		ReadHeaderTimeout: time.Minute,
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.serve(id, w, q) }),
	}
	server := r.server
	r.world.background.Go(func() { _ = server.Serve(listener) })
	r.world.record.add("replica %s starts at %s", r.id, r.address)
	r.putEntryLocked()
	return nil
}

func (r *replica) putEntry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.putEntryLocked()
}

func (r *replica) putEntryLocked() {
	if !r.up {
		return
	}
	r.sequence++
	entry := standin.Entry{
		Service: r.pool, Zone: r.zone, Address: r.address, Started: r.born, Release: "v1", Version: r.version, Sequence: r.sequence,
	}
	if r.pool == enginePod {
		entry.Model = model
	}
	r.world.store.Put(standin.UpstreamTopic, r.id, entry.Record())
}

// end stops the replica for good.
func (r *replica) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.up = false
	_ = r.server.Close()
}

// crash ends all connections of the replica and starts it again later.
func (r *replica) crash(id, request string) {
	r.mu.Lock()
	if !r.up || r.id != id {
		r.mu.Unlock()
		return
	}
	r.up = false
	_ = r.server.Close()
	r.world.addCrash(crash{r.id, time.Now()})
	r.world.record.add("replica %s crashes under request %s", r.id, request)
	r.mu.Unlock()
	time.AfterFunc(3*heartbeat, func() { r.world.store.Put(standin.UpstreamTopic, id, "") })
	time.AfterFunc(downTime, func() {
		select {
		case <-r.world.stop:
		default:
			if err := r.start(); err != nil {
				r.world.record.add("replica does not start: %v", err)
			}
		}
	})
}

func (r *replica) serve(id string, w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	endless := r.endless
	r.mu.Unlock()
	if endless != nil && q.URL.Path != "/v1/report" && q.URL.Path != "/v1/order" {
		endless(w, q)
		return
	}
	switch q.URL.Path {
	case "/v1/report":
		r.mu.Lock()
		defer r.mu.Unlock()
		writeJSON(w, map[string]any{
			"stage": "prefill_decode", "models": []map[string]any{{"name": model, "version": r.version, "adapters": []string{}}},
			"busy": false, "sequence": r.orders, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 95939, "handles": 0,
		})
	case "/v1/order":
		r.order(w, q)
	case "/v1/kv-events":
		writeNoEvents(w, q)
	default:
		r.request(id, w, q)
	}
}

func (r *replica) order(w http.ResponseWriter, q *http.Request) {
	var order struct {
		Version  uint64 `json:"version"`
		Expected *int   `json:"expected"`
	}
	if err := json.NewDecoder(q.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case order.Version == r.version:
		w.WriteHeader(http.StatusOK)
	case order.Expected != nil && *order.Expected != r.orders:
		w.WriteHeader(http.StatusConflict)
	default:
		r.orders++
		r.version = order.Version
		w.WriteHeader(http.StatusAccepted)
	}
}

func (r *replica) request(id string, w http.ResponseWriter, q *http.Request) {
	request := q.Header.Get(prefix + "Request-Id")
	arrivedAt := time.Now()
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	w.Header().Set(prefix+"Request-Id", request)
	if target := q.Header.Get(prefix + "Target-Instance"); target != "" && target != id {
		w.Header().Set(prefix+"Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	// A request for another replica, which this one turns away, doesn't count.
	r.world.addArrival(arrival{request, id, q.URL.Path + " " + q.Header.Get(prefix+"Prompt-Prefix"), arrivedAt})
	r.world.record.add("replica %s runs %s %s of tenant %q", id, request, q.URL.Path, q.Header.Get(prefix+"Tenant"))
	r.world.addRun(request)
	delay := appTime
	switch {
	case strings.HasPrefix(q.URL.Path, "/spec-review/"):
		delay = longPrefillTime
	case r.pool == enginePod:
		delay = prefillTime
	}
	if !wait(q.Context(), delay) {
		return
	}
	if strings.Contains(q.URL.Path+q.Header.Get(prefix+"Prompt-Prefix"), poison) {
		r.crash(id, request)
		return
	}
	w.Header().Set(prefix+"Response-Signature", "signed-"+request)
	if r.pool != enginePod {
		_, _ = io.WriteString(w, "answer to "+request)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(prefix+"Weight-Versions", "1")
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", i, i); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil || !wait(q.Context(), eventPause) {
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// wait returns false if the context ends before the time.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
