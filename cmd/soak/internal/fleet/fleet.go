// Package fleet runs gateways as processes of their own against stand-ins of the
// platform's store and of replicas, with a proxy on every link between them.
//
// # Usage
//
//	f, err := fleet.Start(fleet.Options{Program: "target/gateway", Dir: dir, Gateways: 3})
//	f.Gateways[0].Kill()
//	err = f.Gateways[0].Start()
//	f.Stop()
package fleet

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"comfreyworks"
	"comfreyworks/cmd/soak/internal/proxy"
	"comfreyworks/internal/standin/replica"
	"comfreyworks/platform"
	"comfreyworks/platform/standin"
)

// The deployment that every run serves.
const (
	Host       = "soak.example"
	EnginePool = "lm"
	AppPool    = "app"
	Model      = "oak"
	// Events is the length of every stream.
	Events = 12
	// RevokeBound is how long a key may be used after it was taken away.
	RevokeBound = 5 * time.Second
	// Grace is how long a process has to stop.
	Grace = 8 * time.Second
	// RetryRatio, RetrySlack and RetryWindow bound repeats over all gateways.
	RetryRatio  = 0.08
	RetrySlack  = 6
	RetryWindow = 10 * time.Second
	// Lease is how long one holder orders engines after it was last heard of.
	Lease = 3 * time.Second

	weightsBound = 6 * time.Second
	beatInterval = 1200 * time.Millisecond
	eventPause   = 15 * time.Millisecond
	engines      = 4
	apps         = 3
	// firstPort is below the ports that outgoing connections get.
	firstPort = 7001
)

// Options configures a Fleet.
type Options struct {
	// Program is the gateway's binary, Dir where settings and logs go.
	Program, Dir string
	Gateways     int
	// Seed tells fleets of one program apart.
	Seed uint64
}

// Fleet is everything that runs in a soak.
type Fleet struct {
	Store    *standin.Store
	Gateways []*Gateway
	Replicas []*Replica

	mu         sync.Mutex
	deployment standin.Deployment
	group      errgroup.Group
	stop       chan struct{}
	server     *http.Server
}

// Replica is a stand-in of a replica behind its proxy.
type Replica struct {
	*replica.Replica
	ID     comfreyworks.InstanceID
	Pool   string
	Link   *proxy.Proxy
	Engine *standin.Engine

	mu     sync.Mutex
	entry  standin.Entry
	absent bool
	server *http.Server
}

// Start starts a fleet.
func Start(options Options) (*Fleet, error) {
	f := &Fleet{Store: standin.NewStore(), stop: make(chan struct{})}
	f.deployment = deployment()
	f.declare()
	key, record := standin.Weights(Model, 1)
	f.Store.Put(standin.OperatorTopic, key, record)
	server, store, err := f.serve(f.Store)
	if err != nil {
		return nil, err
	}
	f.server = server
	for i := range engines + apps {
		if err := f.addReplica(i); err != nil {
			return nil, err
		}
	}
	f.group.Go(f.beat)
	return f, f.startGateways(options, store)
}

func deployment() standin.Deployment {
	route := func(name, kind, service string, resumable bool) standin.Route {
		return standin.Route{
			Name: name, Host: Host, Prefix: "/" + name + "/", Kind: kind, Service: service,
			Timeout: 4 * time.Second, Objective: 500 * time.Millisecond, MaxAttempts: 2,
			Affinity: service == EnginePool, Resumable: resumable,
		}
	}
	return standin.Deployment{
		Version: 1,
		Routes: []standin.Route{
			route("book", "non_idempotent", AppPool, false), route("read", "idempotent", AppPool, false),
			route("note", "streaming", EnginePool, false), route("brief", "streaming", EnginePool, true),
		},
		Services: []standin.Service{{Name: AppPool}, {Name: EnginePool, Model: Model}},
		Tenants: []standin.Tenant{
			{Name: "office", Keys: []string{"key-office"}},
			{Name: "lab", Keys: []string{"key-lab"}, Isolated: true},
			{Name: "guest", Keys: []string{"key-guest"}},
		},
	}
}

// declare writes the deployment as operators do.
func (f *Fleet) declare() {
	f.Store.Put(standin.OperatorTopic, "config", f.deployment.Config())
}

// Revoke takes the guest's key away for good and returns when.
func (f *Fleet) Revoke() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deployment.Version += 3
	f.deployment.Tenants = f.deployment.Tenants[:2]
	f.declare()
	return time.Now()
}

// Redeclare writes the same deployment as a new version.
func (f *Fleet) Redeclare() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deployment.Version += 2
	f.declare()
}

// Name names newer weights.
func (f *Fleet) Name(version uint64) {
	key, record := standin.Weights(Model, version)
	f.Store.Put(standin.OperatorTopic, key, record)
}

// serve serves a handler on loopback.
func (f *Fleet) serve(handler http.Handler) (*http.Server, netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	server := &http.Server{Handler: handler}
	f.group.Go(func() error {
		_ = server.Serve(listener)
		return nil
	})
	return server, listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

func (f *Fleet) addReplica(i int) error {
	r := &Replica{Pool: EnginePool, ID: comfreyworks.InstanceID(fmt.Sprint("lm-", i))}
	options := replica.Options{ID: r.ID, Headers: platform.HeaderNames(), Events: Events, EventPause: eventPause}
	if i >= engines {
		r.Pool, r.ID = AppPool, comfreyworks.InstanceID(fmt.Sprint("app-", i))
		options.ID, options.Events = r.ID, 0
	}
	r.Replica = replica.New(options)
	var handler http.Handler = r.Replica
	if r.Pool == EnginePool {
		r.Engine = &standin.Engine{Requests: r.Replica, Load: r.SetWeights, Model: Model}
		handler = r.Engine
	}
	server, address, err := f.serve(handler)
	if err != nil {
		return err
	}
	r.server = server
	if r.Link, err = proxy.New(address); err != nil {
		return err
	}
	r.entry = standin.Entry{
		Service: r.Pool, Zone: fmt.Sprint("z", i%2), Address: r.Link.Address(), Started: time.Now(), Version: 1,
	}
	if r.Pool == EnginePool {
		r.entry.Model = Model
	}
	f.Replicas = append(f.Replicas, r)
	f.write(r)
	return nil
}

// write renews a replica's entry, or drops it.
func (f *Fleet) write(r *Replica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.absent {
		f.Store.Put(standin.UpstreamTopic, string(r.ID), "")
		return
	}
	r.entry.Beats++
	if r.Engine != nil {
		r.entry.Version = max(r.Engine.Version(), 1)
	}
	f.Store.Put(standin.UpstreamTopic, string(r.ID), r.entry.Record())
}

// Drain lists a replica as leaving, or as ready again.
func (f *Fleet) Drain(r *Replica, draining bool) {
	r.mu.Lock()
	r.entry.Draining = draining
	r.mu.Unlock()
	f.write(r)
}

// Lapse drops a replica's entry, or brings it back.
func (f *Fleet) Lapse(r *Replica, absent bool) {
	r.mu.Lock()
	r.absent = absent
	r.mu.Unlock()
	f.write(r)
}

// beat renews the entries of all replicas until the fleet stops.
func (f *Fleet) beat() error {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.stop:
			return nil
		case <-ticker.C:
			for _, r := range f.Replicas {
				f.write(r)
			}
		}
	}
}

func (f *Fleet) startGateways(options Options, store netip.AddrPort) error {
	var seeds []netip.AddrPort
	for i := range options.Gateways {
		link, err := proxy.New(store)
		if err != nil {
			return err
		}
		g := &Gateway{
			program: options.Program, StoreLink: link,
			log:  filepath.Join(options.Dir, fmt.Sprintf("gateway-%d.log", i)),
			file: filepath.Join(options.Dir, fmt.Sprintf("gateway-%d.toml", i)),
		}
		g.settings = settings(hostOf(options.Seed), i, link.Address())
		seeds = append(seeds, g.settings.Control)
		f.Gateways = append(f.Gateways, g)
	}
	for _, g := range f.Gateways {
		g.settings.Seeds = seeds[:min(len(seeds), 3)]
		if err := g.Start(); err != nil {
			return err
		}
	}
	return nil
}

func settings(host netip.Addr, i int, store netip.AddrPort) standin.Settings {
	port := func(n int) netip.AddrPort { return netip.AddrPortFrom(host, uint16(firstPort+3*i+n)) }
	return standin.Settings{
		Node: fmt.Sprint("gateway-", i), Zone: fmt.Sprint("z", i%2), Front: port(0), Ready: port(1), Control: port(2),
		Store: store, RevokeBound: RevokeBound, Grace: Grace, RetryRatio: RetryRatio, RetrySlack: RetrySlack,
		RetryWindow: RetryWindow, Lease: Lease, WeightsBound: weightsBound,
	}
}

// hostOf returns a loopback address that no other fleet of this machine has, so
// that the ports of a process which is gone stay free for its successor.
func hostOf(seed uint64) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%250), byte(1 + seed/250%250), byte(1 + seed%250)})
}

// Heal ends every trouble: links, the store, replicas, and processes that are
// paused or gone.
func (f *Fleet) Heal() error {
	f.Store.Disturb(standin.Disturbance{})
	for _, r := range f.Replicas {
		r.Link.Set(proxy.Fault{})
		r.FailIf(nil)
		r.mu.Lock()
		r.absent, r.entry.Draining = false, false
		r.mu.Unlock()
		f.write(r)
	}
	for _, g := range f.Gateways {
		g.StoreLink.Set(proxy.Fault{})
		g.Resume()
		if err := g.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Stop ends everything that the fleet started.
func (f *Fleet) Stop() {
	for _, g := range f.Gateways {
		g.Kill()
		g.StoreLink.Close()
	}
	close(f.stop)
	for _, r := range f.Replicas {
		_ = r.server.Close()
		r.Link.Close()
	}
	_ = f.server.Close()
	_ = f.group.Wait()
}
