// Package rig starts gateways as processes, in front of stand-ins of the platform's store and of
// replicas, for the cases of the third review.
//
// # Usage
//
//	r, err := rig.Start(rig.Options{Program: "target/gateway", Record: "review/11/record.txt"})
//	defer r.Stop()
//	response, err := r.Gateways[0].Do(rig.Request{Route: "note", ID: "r1"})
package rig

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"comfreyworks/internal/standin/crowd"
	"comfreyworks/platform/standin"
)

// Names of the deployment that each case serves: the kinds of requests are those of a small
// deployment of the users.
const (
	Host       = "jepu9.example"
	EnginePool = "lm-pool"
	AppPool    = "dispatch"
	Model      = "daka510000"
	Key        = "ctnfzs989anu6wsjnban"
	Tenant     = "sese880"
)

// Bounds and limits in the settings, as in those of a small deployment.
const (
	MemoryMB      = 134
	MaxFDs        = 4100
	ContactTime   = 3 * time.Second
	StopGrace     = 8 * time.Second
	KeyRevocation = 5 * time.Second
	leaseDuration = 3 * time.Second
	weightsBound  = 6 * time.Second
	retryWindow   = 10 * time.Second
	retryRatio    = 0.2
	retrySlack    = 54
	heartbeat     = 1200 * time.Millisecond
	startTimeout  = 20 * time.Second
	gateways      = 4
	engines       = 9
	apps          = 3
	fileMode      = 0o600
)

// Options configures a Rig.
type Options struct {
	// Program is the path of the gateway, Record that of the record.
	Program, Record string
	// Requests serves the requests of callers at each engine.
	Requests func(e *Engine) http.Handler
	// StoreAddress returns the address at which a gateway reaches the store, given the store's
	// own; nil means the latter.
	StoreAddress func(gateway int, store netip.AddrPort) netip.AddrPort
	// Deploy changes the deployment before it is declared; it may be nil.
	Deploy func(*standin.Deployment)
}

// Rig holds the processes and stand-ins of one run.
type Rig struct {
	*Record
	Store    *standin.Store
	Gateways []*Gateway
	Engines  []*Engine

	options  Options
	dir      string
	servers  []*http.Server
	group    sync.WaitGroup
	stopping chan struct{}

	mu         sync.Mutex
	deployment standin.Deployment
}

// Start starts the stand-ins and the gateways, and waits until all gateways are ready.
func Start(options Options) (*Rig, error) {
	record, err := newRecord(options.Record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-third-")
	if err != nil {
		return nil, err
	}
	r := &Rig{Record: record, Store: standin.NewStore(), options: options, dir: dir, stopping: make(chan struct{})}
	r.group.Go(r.awaitSignal)
	if err := r.start(); err != nil {
		r.Stop()
		return nil, err
	}
	return r, nil
}

// awaitSignal ends the gateways and this process when it is to end before the case does.
func (r *Rig) awaitSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	select {
	case <-r.stopping:
	case <-signals:
		for _, g := range r.Gateways {
			g.Kill()
		}
		os.Exit(ExitNoVerdict)
	}
}

func (r *Rig) start() error {
	r.deployment = deployment()
	if r.options.Deploy != nil {
		r.options.Deploy(&r.deployment)
	}
	r.Declare(func(*standin.Deployment) {})
	r.DeclareWeights(1)
	store, err := r.Serve(r.Store)
	if err != nil {
		return err
	}
	for i := range engines + apps {
		if err := r.startEngine(i); err != nil {
			return err
		}
	}
	r.group.Go(r.renew)
	return r.startGateways(store)
}

func deployment() standin.Deployment {
	return standin.Deployment{
		Version: 6,
		Routes: []standin.Route{
			{Name: "note", Host: Host, Prefix: "/note/", Kind: "streaming", Service: EnginePool, Timeout: 12 * time.Second, Objective: 400 * time.Millisecond, MaxAttempts: 2, Affinity: true, Resumable: true},
			{Name: "spec", Host: Host, Prefix: "/spec/", Kind: "streaming", Service: EnginePool, Timeout: 5 * time.Second, Objective: 600 * time.Millisecond, MaxAttempts: 1, Affinity: true},
			{Name: "book", Host: Host, Prefix: "/book/", Kind: "non_idempotent", Service: AppPool, Timeout: 2 * time.Second, Objective: 300 * time.Millisecond, MaxAttempts: 1},
			{Name: "look", Host: Host, Prefix: "/look/", Kind: "idempotent", Service: AppPool, Timeout: 2 * time.Second, Objective: 300 * time.Millisecond, MaxAttempts: 2},
		},
		Services:       []standin.Service{{Name: EnginePool, Model: Model}, {Name: AppPool}},
		Tenants:        []standin.Tenant{{Name: Tenant, Keys: []string{Key}}, {Name: "tudo41", Keys: []string{"fqasnmgkcuyj8pjbvk9m"}}},
		MaxHeaderBytes: 16384, MaxBodyBytes: 4 << 20,
	}
}

// Declare changes the deployment, writes it as the operator does and returns when the store
// acknowledged it.
func (r *Rig) Declare(change func(*standin.Deployment)) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.deployment)
	r.deployment.Version++
	r.Store.Put(standin.OperatorTopic, "config", r.deployment.Config())
	return time.Now()
}

// DeclareWeights names new weights.
func (r *Rig) DeclareWeights(version uint64) time.Time {
	key, record := standin.Weights(Model, version)
	r.Store.Put(standin.OperatorTopic, key, record)
	return time.Now()
}

// Serve serves a handler on a free loopback port until Stop.
func (r *Rig) Serve(handler http.Handler) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	r.serveOn(listener, handler)
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

func (r *Rig) serveOn(listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler}
	r.addServer(server)
	r.group.Go(func() { _ = server.Serve(listener) })
	return server
}

func (r *Rig) startGateways(store netip.AddrPort) error {
	var seeds []netip.AddrPort
	for i := range gateways {
		address := crowd.FreeAddress()
		at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(address.Addr(), 20_000+uint16(10*i)+port) }
		g := &Gateway{
			rig: r, Name: fmt.Sprint("edge-", i), settingsPath: filepath.Join(r.dir, fmt.Sprint("edge-", i, ".toml")),
			logPath: filepath.Join(r.dir, fmt.Sprint("edge-", i, ".log")), metrics: at(9),
			settings: standin.Settings{
				Node: fmt.Sprint("edge-", i), Zone: zone(i), Listen: at(1), Ready: at(2), PeerListen: at(3), Store: store,
				KeyRevocation: KeyRevocation, StopGrace: StopGrace, RetryRatio: retryRatio, RetrySlack: retrySlack,
				RetryWindow: retryWindow, LeaseDuration: leaseDuration, SupersededWeights: weightsBound, MemoryMB: MemoryMB, MaxFDs: MaxFDs,
			},
		}
		if r.options.StoreAddress != nil {
			g.settings.Store = r.options.StoreAddress(i, store)
		}
		seeds = append(seeds, g.settings.PeerListen)
		r.Gateways = append(r.Gateways, g)
	}
	for _, g := range r.Gateways {
		g.settings.Seeds = seeds[:3]
		if err := g.Start(); err != nil {
			return err
		}
	}
	for _, g := range r.Gateways {
		if !g.AwaitReady(startTimeout) {
			return errors.New(g.Name + " is not ready")
		}
	}
	return nil
}

func zone(i int) string { return []string{"atl-a", "atl-b", "atl-c"}[i%3] }

// renew renews the entries of all replicas as often as they do.
func (r *Rig) renew() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-r.stopping:
			return
		case <-ticker.C:
			for _, e := range r.Engines {
				e.Renew()
			}
		}
	}
}

// Stop ends all processes and servers.
func (r *Rig) Stop() {
	for _, g := range r.Gateways {
		g.Kill()
	}
	r.mu.Lock()
	close(r.stopping)
	servers := r.servers
	r.mu.Unlock()
	for _, server := range servers {
		_ = server.Close()
	}
	r.group.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	}
	r.close()
}
