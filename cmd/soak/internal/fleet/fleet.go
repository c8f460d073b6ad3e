// Package fleet runs gateway processes against test doubles of the platform's
// store and of replicas, with a fault-injecting proxy on every link to them.
//
// # Usage
//
//	f, err := fleet.Start(fleet.Options{Program: "target/gateway", Dir: dir, Gateways: 3})
//	f.Gateways[0].Kill()
//	err = f.Gateways[0].Start()
//	f.Stop()
package fleet

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"comfreyworks/cmd/soak/internal/proxy"
	"comfreyworks/internal/standin/replica"
	"comfreyworks/platform/standin"
)

// The deployment that every fleet serves, and the bounds in its gateways'
// settings.
const (
	Host       = "soak.example"
	EnginePool = "lm"
	AppPool    = "app"
	Model      = "oak"
	// IsolatedAtTimes is the workspace that plans isolate for a time.
	IsolatedAtTimes = "office"
	// CrowdKey is the key of requests that are never complete.
	CrowdKey = "key-lab"
	// HarmSources is the number of sources of harmful requests.
	HarmSources = 2
	// StreamEvents is the number of events of every stream.
	StreamEvents = 12
	// LongStreamPath begins the paths of streams that pause longer between events, and
	// that can be resumed.
	LongStreamPath = "/brief/long/"
	// KeyRevocationBound is how long a revoked key may still be accepted.
	KeyRevocationBound = 5 * time.Second
	// StopGrace is the maximum time between the stop signal and the end of a process.
	StopGrace = 8 * time.Second
	// All gateways together send at most RetryRatio retries for each request,
	// plus RetrySlack, within RetryWindow.
	RetryRatio  = 0.08
	RetrySlack  = 6
	RetryWindow = 10 * time.Second
	// LeaseDuration is how long the lease for sending orders to engines lasts
	// unless its holder renews it.
	LeaseDuration = 3 * time.Second
	// memoryMB and maxFDs are the limits of a gateway's machine.
	memoryMB = 134
	maxFDs   = 4100
	// DepartureBound is how long a gateway may send requests to a replica after it has
	// passed on an answer in which the replica says that it is leaving.
	DepartureBound = 2 * time.Second
	// DrainBound is how long a gateway may send requests to a replica after the store has
	// acknowledged that it is leaving.
	DrainBound = drainTime

	// routeTimeout is that of all routes.
	routeTimeout = 4 * time.Second
	// latencyObjective is that of all routes, and that of the time between two events of
	// a stream. Replicas that are silent for twice as long may be replaced.
	latencyObjective = 200 * time.Millisecond
	// supersededWeightsBound is how long superseded weights may still generate
	// answers.
	supersededWeightsBound = 6 * time.Second
	// firstPort is below the range of the ephemeral ports that the kernel assigns
	// to outgoing connections.
	firstPort = 7001
)

// Options configures a Fleet.
type Options struct {
	// Program is the path of the gateway's binary, Dir the directory for settings
	// files and logs.
	Program, Dir string
	Gateways     int
	// Seed distinguishes the fleets that one process runs at the same time.
	Seed uint64
	// EngineDelay is the time from the arrival of a request until an engine begins to answer.
	EngineDelay time.Duration
	// RetrySlack replaces the constant of that name unless it is zero.
	RetrySlack int
}

// Fleet holds the store, the gateways and the replicas of one run.
type Fleet struct {
	Store *standin.Store
	// StoreFaults records when the store did not work for all gateways.
	StoreFaults Disturbances
	Gateways    []*Gateway

	engineDelay time.Duration

	mu         sync.Mutex
	deployment standin.Deployment
	// weights is the newest declared version of the model's weights.
	weights uint64
	// slots holds the replicas that were started last in each of the places of the
	// fleet, replicas those that were started ever.
	slots, replicas []*Replica
	// replicaIDs is the number of replica IDs that were assigned.
	replicaIDs int
	// harmful is what callers are to send, by source, and everHarmful all that they were
	// to send so far. crashed holds the crashed replicas until others have replaced them.
	harmful     [HarmSources]*Harmful
	everHarmful []*Harmful
	crashed     errgroup.Group

	// Isolation records when workspace IsolatedAtTimes was isolated.
	Isolation    Disturbances
	endIsolation func()
	// NoWorkspaces records when no workspace was declared, so that no key was valid.
	NoWorkspaces Disturbances

	group       errgroup.Group
	stopping    chan struct{}
	storeServer *http.Server
}

// Start starts the store, the replicas and the gateways.
func Start(options Options) (*Fleet, error) {
	f := &Fleet{engineDelay: options.EngineDelay, Store: standin.NewStore(), stopping: make(chan struct{}), slots: make([]*Replica, Slots)}
	f.deployment = deployment()
	f.putConfig()
	f.DeclareWeights(1)
	server, storeAddress, err := f.serveOnLoopback(f.Store)
	if err != nil {
		return nil, err
	}
	f.storeServer = server
	for i := range Slots {
		if _, err := f.StartReplica(i, Releases[0]); err != nil {
			return nil, err
		}
	}
	f.group.Go(f.renewEntries)
	return f, f.startGateways(options, storeAddress)
}

func deployment() standin.Deployment {
	route := func(name, kind, service string, resumable bool) standin.Route {
		return standin.Route{
			Name: name, Host: Host, Prefix: "/" + name + "/", Kind: kind, Service: service,
			Timeout: routeTimeout, Objective: latencyObjective, MaxAttempts: 2,
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
			{Name: IsolatedAtTimes, Keys: []string{"key-office"}},
			{Name: "lab", Keys: []string{CrowdKey}, Isolated: true},
			{Name: "crew", Keys: []string{"key-crew"}},
			{Name: "guest", Keys: []string{"key-guest"}},
		},
	}
}

// putConfig writes the deployment to the store as operators do.
func (f *Fleet) putConfig() {
	f.Store.Put(standin.OperatorTopic, "config", f.deployment.Config())
}

// RevokeGuestKey declares the deployment without the workspace guest and its key,
// and returns the time. Later versions of the deployment don't contain them
// either.
func (f *Fleet) RevokeGuestKey() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deployment.Version += 3
	f.deployment.Tenants = f.deployment.Tenants[:3]
	f.putConfig()
	return time.Now()
}

// RemoveWorkspaces declares the deployment with an empty list of workspaces, and returns a
// function that declares them again.
func (f *Fleet) RemoveWorkspaces() (restore func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	removed := f.deployment.Tenants
	f.deployment.Tenants = []standin.Tenant{}
	f.deployment.Version += 2
	f.putConfig()
	end := f.NoWorkspaces.Disturb()
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.deployment.Tenants = removed
		f.deployment.Version += 2
		f.putConfig()
		end()
	}
}

// RewriteConfig declares the same deployment as a new version.
func (f *Fleet) RewriteConfig() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deployment.Version += 2
	f.putConfig()
}

// SetIsolated declares whether workspace IsolatedAtTimes is isolated, and records since when.
func (f *Fleet) SetIsolated(isolated bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if isolated == f.deployment.Tenants[0].Isolated {
		return
	}
	f.deployment.Tenants[0].Isolated = isolated
	f.deployment.Version += 2
	if isolated {
		f.putConfig()
		f.endIsolation = f.Isolation.Disturb()
		return
	}
	f.endIsolation()
	f.putConfig()
}

// DeclareWeights declares a version of the model's weights.
func (f *Fleet) DeclareWeights(version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.weights = max(f.weights, version)
	f.putWeights(version)
}

func (f *Fleet) putWeights(version uint64) {
	key, record := standin.Weights(Model, version)
	f.Store.Put(standin.OperatorTopic, key, record)
}

// RestoreStore restores the store from a copy. Operators declare the current
// deployment and weights again; replicas renew their entries at the next heartbeat.
// Entries of replicas that had been removed are removed again after expiryTime.
func (f *Fleet) RestoreStore(saved standin.Copy) {
	f.mu.Lock()
	f.Store.Restore(saved)
	f.putConfig()
	f.putWeights(f.weights)
	f.mu.Unlock()
	time.Sleep(expiryTime)
	f.removeRestored()
}

// serveOnLoopback starts an HTTP server on a free loopback port.
func (f *Fleet) serveOnLoopback(handler http.Handler) (*http.Server, netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	server := &http.Server{Handler: handler, ConnContext: replica.ConnContext}
	f.group.Go(func() error {
		_ = server.Serve(listener)
		return nil
	})
	return server, listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

func (f *Fleet) startGateways(options Options, storeAddress netip.AddrPort) error {
	var peerSeeds []netip.AddrPort
	for i := range options.Gateways {
		link, err := proxy.New(storeAddress)
		if err != nil {
			return err
		}
		g := &Gateway{
			program: options.Program, StoreLink: link,
			logPath:      filepath.Join(options.Dir, fmt.Sprintf("gateway-%d.log", i)),
			settingsPath: filepath.Join(options.Dir, fmt.Sprintf("gateway-%d.toml", i)),
		}
		g.settings = settings(loopbackHost(options.Seed), i, link.Address())
		g.settings.RetrySlack = cmp.Or(options.RetrySlack, RetrySlack)
		peerSeeds = append(peerSeeds, g.settings.PeerListen)
		f.Gateways = append(f.Gateways, g)
	}
	for _, g := range f.Gateways {
		g.settings.Seeds = peerSeeds[:min(len(peerSeeds), 3)]
		if err := g.Start(); err != nil {
			return err
		}
	}
	return nil
}

func settings(host netip.Addr, i int, storeAddress netip.AddrPort) standin.Settings {
	port := func(n int) netip.AddrPort { return netip.AddrPortFrom(host, uint16(firstPort+3*i+n)) }
	return standin.Settings{
		Node: fmt.Sprint("gateway-", i), Zone: fmt.Sprint("z", i%2), Listen: port(0), Ready: port(1), PeerListen: port(2),
		Store: storeAddress, KeyRevocation: KeyRevocationBound, StopGrace: StopGrace, RetryRatio: RetryRatio, RetrySlack: RetrySlack,
		RetryWindow: RetryWindow, LeaseDuration: LeaseDuration, SupersededWeights: supersededWeightsBound,
		MemoryMB: memoryMB, MaxFDs: maxFDs,
	}
}

// loopbackHost returns a loopback address that depends on the process ID and the
// seed, so that fleets that run at the same time don't share one. A restarted
// gateway then finds the ports of its predecessor free.
func loopbackHost(seed uint64) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%250), byte(1 + seed/250%250), byte(1 + seed%250)})
}

// Restore removes the faults of all links, of the store and of the replicas, and
// resumes or restarts every gateway that is paused or has exited.
func (f *Fleet) Restore() error {
	f.Store.SetFault(standin.Fault{})
	for i := range Slots {
		r := f.Replica(i)
		r.Link.Set(proxy.Fault{})
		r.SetFaultFunc(nil)
		r.mu.Lock()
		r.unlisted, r.entry.Draining = false, false
		r.mu.Unlock()
		f.putEntry(r)
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

// Stop kills the gateways and stops everything else that Start started.
func (f *Fleet) Stop() {
	for _, g := range f.Gateways {
		g.Kill()
		g.StoreLink.Close()
	}
	close(f.stopping)
	for _, r := range f.Replicas() {
		_ = r.server.Close()
		r.Link.Close()
	}
	_ = f.storeServer.Close()
	_ = f.group.Wait()
}
