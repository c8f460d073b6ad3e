package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"comfreyworks/platform/standin"
)

const (
	host      = "app.example"
	model     = "m0"
	enginePod = "lm-pool"
	appPool   = "dispatch"
	zones     = 3
	// heartbeat is heartbeat_ms of the settings. An entry is removed after three of them.
	heartbeat = 1200 * time.Millisecond
	// contact is contact_ms of the settings.
	contact = 3 * time.Second
	// firstKey and secondKey are the keys of the only tenant. No manifest holds unknownKey.
	firstKey, secondKey, unknownKey = "key-first", "key-second", "key-unknown"
)

// record is the log of one run: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{start: time.Now(), file: file}, err
}

func (r *record) add(format string, args ...any) {
	at := time.Since(r.start).Seconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", at, fmt.Sprintf(format, args...))
}

// arrival is a request that a replica received.
type arrival struct {
	id, replica, path string
	at                time.Time
}

// crash is the end of a replica because of a request.
type crash struct {
	replica string
	at      time.Time
}

// world holds the store, the replicas and the gateways of one run.
type world struct {
	record *record
	store  *standin.Store
	// storeAddress is where the store listens.
	storeAddress netip.AddrPort
	// keep is the store of kept KV cache.
	keep       *keep
	dir        string
	gateways   []*gateway
	replicas   []*replica
	stop       chan struct{}
	background sync.WaitGroup
	closeOnce  sync.Once

	mu       sync.Mutex
	version  int
	nextID   int
	arrivals []arrival
	crashes  []crash
	// ran holds the IDs of the requests that replicas ran.
	ran map[string]bool
}

// start starts everything: four gateways, nine engines and three plain replicas, as on a
// small deployment.
func start(path string) (*world, error) {
	rec, err := newRecord(path)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	keep, err := startKeep()
	if err != nil {
		return nil, err
	}
	w := &world{keep: keep, record: rec, store: standin.NewStore(), dir: dir, stop: make(chan struct{}), ran: make(map[string]bool)}
	w.putConfig(tenant{"members", []string{firstKey, secondKey}})
	key, weights := standin.Weights(model, 1)
	w.store.Put(standin.OperatorTopic, key, weights)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAddress = listener.Addr().(*net.TCPAddr).AddrPort()
	w.background.Go(func() { _ = (&http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}).Serve(listener) })
	for i := range 12 {
		pool := enginePod
		if i >= 9 {
			pool = appPool
		}
		r := &replica{world: w, pool: pool, zone: fmt.Sprintf("atl-%c", 'a'+rune(i%zones))}
		if err := r.start(); err != nil {
			return nil, err
		}
		w.replicas = append(w.replicas, r)
	}
	w.background.Go(w.renewEntries)
	return w, w.startGateways()
}

// tenant is a tenant of the manifest.
type tenant struct {
	Name string   `json:"name"`
	Keys []string `json:"api_keys"`
}

// putConfig writes a manifest with the given tenants, and returns the time of its ack.
func (w *world) putConfig(tenants ...tenant) time.Time {
	routes := []map[string]any{}
	for _, r := range []struct {
		name, kind, service         string
		timeout, aim, gap, attempts int
		resumable                   bool
	}{
		{"spec-review", "streaming", enginePod, 5000, 600, 400, 1, false},
		{"site-note", "streaming", enginePod, 12000, 400, 400, 2, true},
		{"book-order", "non_idempotent", appPool, 2000, 300, 0, 1, false},
		{"job-lookup", "idempotent", appPool, 2000, 300, 0, 2, false},
	} {
		routes = append(routes, map[string]any{
			"name": r.name, "hostname": host, "path_prefix": "/" + r.name + "/", "kind": r.kind, "service": r.service,
			"timeout_ms": r.timeout, "target_latency_ms": r.aim, "gap_target_ms": r.gap, "max_attempts": r.attempts,
			"priority": 1, "session_affinity": r.service == enginePod, "resumable": r.resumable,
		})
	}
	w.mu.Lock()
	w.version += 3
	version := w.version
	w.mu.Unlock()
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": enginePod, "max_connections": 360, "engine": map[string]any{
				"kv_capacity_tokens": 95939, "max_concurrent": 12, "models": []map[string]any{{"name": model}},
			}},
			{"name": appPool, "max_connections": 100},
			{"name": "prompt-keep", "max_connections": 92, "kv_store_addr": w.keep.address.String(), "zone": "atl-b", "max_concurrent": 12},
		},
		"tenants": append([]tenant{}, tenants...),
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	w.store.Put(standin.OperatorTopic, "config", string(text))
	w.record.add("manifest %d with tenants %v", version, tenants)
	return time.Now()
}

// renewEntries renews the entries of the replicas that run.
func (w *world) renewEntries() {
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(heartbeat):
		}
		for _, r := range w.replicas {
			r.putEntry()
		}
	}
}

func (w *world) newID(pool string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	return fmt.Sprintf("%s-%d", pool, w.nextID)
}

func (w *world) addArrival(a arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, a)
}

func (w *world) addRun(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ran[id] = true
}

func (w *world) hasRun(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ran[id]
}

func (w *world) addCrash(c crash) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashes = append(w.crashes, c)
}

// arrived returns the arrivals whose path or prompt contains a text.
func (w *world) arrived(path string) (found []arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.arrivals {
		if strings.Contains(a.path, path) {
			found = append(found, a)
		}
	}
	return found
}

func (w *world) allCrashes() []crash {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]crash(nil), w.crashes...)
}

// startGateways starts the gateways with the command of the deploy file.
func (w *world) startGateways() error {
	host, err := freeHost()
	if err != nil {
		return err
	}
	var seeds []string
	for i := range 4 {
		g := &gateway{
			world: w, name: fmt.Sprintf("edge-%d", i), ip: host.String(),
			zone: []string{"atl-a", "atl-a", "atl-b", "atl-c"}[i],
		}
		g.settings, g.log = filepath.Join(w.dir, g.name+".toml"), filepath.Join(w.dir, g.name+".log")
		if len(seeds) < 3 {
			seeds = append(seeds, g.address(controlPort))
		}
		w.gateways = append(w.gateways, g)
		host = host.Next()
	}
	for _, g := range w.gateways {
		g.seeds = seeds
		if err := g.start(); err != nil {
			return err
		}
	}
	return nil
}

// freeHost returns the first of four loopback addresses in a row whose ports are free.
func freeHost() (netip.Addr, error) {
	for try := range 200 {
		first := netip.AddrFrom4([4]byte{127, byte(20 + (os.Getpid()+try)%200), byte(1 + os.Getpid()/200%250), 10})
		free, address := true, first
		for range 4 {
			for _, port := range []int{frontPort, readyPort, controlPort, metricsPort} {
				l, err := net.Listen("tcp", netip.AddrPortFrom(address, uint16(port)).String())
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
			address = address.Next()
		}
		if free {
			return first, nil
		}
	}
	return netip.Addr{}, fmt.Errorf("no free loopback addresses")
}

// close ends all gateways and the stand-ins.
func (w *world) close() {
	w.closeOnce.Do(func() {
		close(w.stop)
		for _, g := range w.gateways {
			g.kill()
		}
		for _, r := range w.replicas {
			r.end()
		}
		_ = w.keep.server.Close()
		_ = os.RemoveAll(w.dir)
	})
}
