// Package rig is a test rig: it runs real entries and sidecars in one process,
// which communicate over loopback with each other and with test doubles of the
// platform, the engines and the plain services.
//
// # Usage
//
//	r, err := rig.Start(ctx, rig.Options{Deployment: deployment, Entries: 2, Clock: clock, Seed: 1})
//	defer r.Stop()
//	resp, err := http.Post(r.EntryURL(0)+"/v1/completions", ...)
//	r.Engine("lm-pool/0").Crash(time.Second)
//
// Start fails if it cannot listen on an address, if a sidecar rejects its
// settings, or if a sidecar is not ready in time. Stop stops everything.
package rig

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"comfreyworks"
	"comfreyworks/internal/standin/engine"
	"comfreyworks/internal/standin/kept"
	"comfreyworks/internal/standin/logservice"
	"comfreyworks/internal/standin/service"
	"comfreyworks/internal/state/memory"
	"comfreyworks/internal/state/meter"
	"comfreyworks/internal/state/settings"
	"comfreyworks/internal/transport/entry"
	"comfreyworks/internal/transport/program"
	"comfreyworks/internal/transport/sidecar"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindStart  Kind = "start"
	KindTarget Kind = "unknown target"
)

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

// peerSecret is the secret that all instances of a rig share.
const peerSecret = "rig-secret-0123456789"

// readyPollInterval is the interval at which Start checks whether a sidecar is
// ready, and readyTimeout is how long it waits for that.
const (
	readyPollInterval = time.Millisecond
	readyTimeout      = 30 * time.Second
)

// weightsLoadTime is how long one fetch from the simulated weights store takes.
const weightsLoadTime = 350 * time.Millisecond

// Options configures a Rig.
type Options struct {
	Deployment *settings.Deployment
	Entries    int
	Clock      comfreyworks.Clock
	Logger     *zap.Logger
	Seed       uint64
	// Rates returns the speed of an engine; nil means engine.DefaultRates.
	Rates func(id comfreyworks.InstanceID) engine.Rates
	// EventLag, LoadLag and ListLag delay the cache events and load reports of
	// engines and the list of instances. EventLoss is the fraction of cache
	// events that are lost.
	EventLag  time.Duration
	EventLoss float64
	LoadLag   time.Duration
	ListLag   time.Duration
	// OffloadBlocks is the capacity of the cache store, in blocks; zero means that
	// there is no cache store.
	OffloadBlocks int
	// AppendsPerSecond limits the appends to the log; zero means no limit.
	AppendsPerSecond int
	// EntryMemory accounts for the requests of entries; nil means no limit.
	EntryMemory *memory.Budget
	// Chooser creates the chooser that each entry uses instead of the prefix
	// directory; nil means that entries use the directory.
	Chooser func(*Rig) comfreyworks.UpstreamChooser
	// ExternalRoles means that the rig runs only the test doubles. Entries and
	// sidecars are started as separate processes with the settings that
	// Instances returns.
	ExternalRoles bool
}

// fakeUpstream is a test double of an engine or a plain service, and its sidecar.
type fakeUpstream struct {
	instance        comfreyworks.Instance
	upstreamAddress netip.AddrPort
	engine          *engine.Engine
	service         *service.Service
	sidecar         *runningRole[*sidecar.Sidecar]
	// reservedListener keeps the sidecar's port taken until its first start.
	reservedListener net.Listener
}

// Rig is a running set of entries, sidecars and test doubles.
type Rig struct {
	options         Options
	ctx             context.Context
	cancel          context.CancelFunc
	group           errgroup.Group
	platformAddress netip.AddrPort
	log             *logservice.Log
	list            *logservice.List
	meter           *meter.Meter
	cacheStore      *kept.Store
	weightsStores   map[comfreyworks.Pool]*logservice.WeightsStore
	partition       *partition

	mu        sync.Mutex
	upstreams []*fakeUpstream
	entries   []*runningRole[*entry.Entry]
}

// runningRole is a running entry or sidecar, which can be restarted at its
// address.
type runningRole[T any] struct {
	instance settings.Instance
	role     T
	stop     context.CancelFunc
	done     chan struct{}
}

// Start starts the number of entries in options, and for each upstream that the
// deployment declares a test double and its sidecar.
func Start(ctx context.Context, options Options) (*Rig, error) {
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	if options.Rates == nil {
		options.Rates = func(comfreyworks.InstanceID) engine.Rates { return engine.DefaultRates() }
	}
	r := &Rig{options: options, meter: meter.New(), partition: newPartition(), weightsStores: make(map[comfreyworks.Pool]*logservice.WeightsStore)}
	if options.OffloadBlocks > 0 {
		r.cacheStore = kept.New(options.OffloadBlocks)
	}
	r.ctx, r.cancel = context.WithCancel(ctx)
	if err := r.start(); err != nil {
		r.Stop()
		return nil, &Error{Op: "start", Kind: KindStart, Err: err}
	}
	return r, nil
}

func (r *Rig) start() error {
	r.log = logservice.NewLog(logservice.LogOptions{Clock: r.options.Clock, AppendsPerSecond: r.options.AppendsPerSecond})
	r.list = logservice.NewList(r.options.Clock, r.options.ListLag)
	address, err := r.serveHTTP(logservice.Handler(r.log, r.list))
	if err != nil {
		return err
	}
	r.platformAddress = address
	for _, pool := range r.options.Deployment.Pools {
		r.weightsStores[pool.Name] = logservice.NewWeightsStore(r.options.Clock, weightsLoadTime, max(pool.LoadPermits, 1))
		for i := range pool.Replicas {
			if err := r.startFakeUpstream(pool, i); err != nil {
				return err
			}
		}
	}
	r.publishInstances()
	for _, u := range r.upstreams {
		if r.options.ExternalRoles {
			// The external sidecar is going to listen on this port.
			_ = u.reservedListener.Close()
			continue
		}
		if err := r.startSidecar(u); err != nil {
			return err
		}
	}
	for i := range r.options.Entries {
		if err := r.addEntry(i); err != nil {
			return err
		}
	}
	r.publishInstances()
	return r.awaitReady()
}

// awaitReady waits until every sidecar is ready.
func (r *Rig) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, u := range r.upstreams {
		for u.sidecar != nil && !u.sidecar.role.Ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %s", u.instance.ID, readyTimeout)
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

// serveHTTP serves a test double on a free port and returns its address.
func (r *Rig) serveHTTP(handler http.Handler) (netip.AddrPort, error) {
	listener, err := listenOnFreePort()
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: handler, ErrorLog: zap.NewStdLog(zap.NewNop())}
	r.group.Go(func() error {
		stop := context.AfterFunc(r.ctx, func() { _ = server.Close() })
		defer stop()
		_ = server.Serve(listener)
		return nil
	})
	return listenerAddress(listener), nil
}

func listenerAddress(listener net.Listener) netip.AddrPort {
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// startFakeUpstream starts the test double of upstream i of a pool and reserves a
// port for its sidecar.
func (r *Rig) startFakeUpstream(pool settings.Pool, i int) error {
	u := &fakeUpstream{instance: comfreyworks.Instance{
		ID:    comfreyworks.InstanceID(fmt.Sprintf("%s/%d", pool.Name, i)),
		Role:  comfreyworks.RoleSidecar,
		Pool:  pool.Name,
		Zone:  pool.Zones[i%len(pool.Zones)],
		State: comfreyworks.InstanceLive,
	}}
	handler := r.newTestDouble(pool, u)
	address, err := r.serveHTTP(handler)
	if err != nil {
		return err
	}
	u.upstreamAddress = address
	if u.reservedListener, err = listenOnFreePort(); err != nil {
		return err
	}
	u.instance.Address = listenerAddress(u.reservedListener)
	r.partition.addInstance(u.instance.ID, u.instance.Address)
	r.upstreams = append(r.upstreams, u)
	return nil
}

// newTestDouble creates the test double of an engine or a plain service and returns
// its HTTP handler.
func (r *Rig) newTestDouble(pool settings.Pool, u *fakeUpstream) http.Handler {
	if pool.Kind == settings.PoolService {
		u.service = service.New()
		return u.service.Handler()
	}
	model := r.options.Deployment.Model(pool.Models[0])
	u.engine = engine.New(engine.Options{
		Clock:         r.options.Clock,
		Rates:         r.options.Rates(u.instance.ID),
		Weights:       model.Weights,
		ChecksFencing: pool.ChecksFencing,
		CacheStore:    r.cacheStore,
		WeightsStore:  r.weightsStores[pool.Name],
		EventLag:      r.options.EventLag,
		EventLoss:     r.options.EventLoss,
		LoadLag:       r.options.LoadLag,
		Seed:          r.options.Seed<<8 + uint64(len(r.upstreams)) + 1,
	})
	r.group.Go(func() error { return u.engine.Run(r.ctx) })
	return u.engine.Handler()
}

// listenOnFreePort listens on a free port of the loopback interface.
func listenOnFreePort() (net.Listener, error) {
	return net.Listen("tcp", "127.0.0.1:0")
}

// publishInstances writes all instances to the platform's list.
func (r *Rig) publishInstances() {
	var instances []comfreyworks.Instance
	for _, u := range r.upstreams {
		instances = append(instances, u.instance)
	}
	for _, p := range r.entries {
		instances = append(instances, comfreyworks.Instance{
			ID:      p.instance.ID,
			Role:    comfreyworks.RoleEntry,
			Zone:    p.instance.Zone,
			Address: p.instance.Listen,
			State:   comfreyworks.InstanceLive,
		})
	}
	r.list.Set(instances)
}

func (r *Rig) startSidecar(u *fakeUpstream) error {
	instance := r.sidecarSettings(u)
	role, err := sidecar.New(sidecar.Options{
		Instance:   &instance,
		Deployment: r.options.Deployment,
		Clock:      r.options.Clock,
		Logger:     r.options.Logger.With(zap.String("instance", string(u.instance.ID))),
		Meter:      r.meter,
		HTTP:       program.NewHTTPClient(),
		Dial:       r.partition.dialer(instance.Listen),
	})
	if err != nil {
		return err
	}
	listener := u.reservedListener
	u.reservedListener = nil
	if listener == nil {
		if listener, err = net.Listen("tcp", instance.Listen.String()); err != nil {
			return err
		}
	}
	u.sidecar = startRole(r, instance, role, role.Run, listener)
	return nil
}

func (r *Rig) sidecarSettings(u *fakeUpstream) settings.Instance {
	return settings.Instance{
		ID:         u.instance.ID,
		Role:       comfreyworks.RoleSidecar,
		Zone:       u.instance.Zone,
		Listen:     u.instance.Address,
		PeerSecret: peerSecret,
		Platform:   r.platformAddress,
		Pool:       u.instance.Pool,
		Upstream:   u.upstreamAddress,
	}
}

func (r *Rig) addEntry(i int) error {
	listener, err := listenOnFreePort()
	if err != nil {
		return err
	}
	zones := r.options.Deployment.Zones
	instance := settings.Instance{
		ID:         comfreyworks.InstanceID(fmt.Sprintf("entry/%d", i)),
		Role:       comfreyworks.RoleEntry,
		Zone:       zones[i%len(zones)].Name,
		Listen:     listenerAddress(listener),
		PeerSecret: peerSecret,
		Platform:   r.platformAddress,
	}
	if r.options.ExternalRoles {
		_ = listener.Close()
		r.entries = append(r.entries, &runningRole[*entry.Entry]{instance: instance})
		return nil
	}
	r.entries = append(r.entries, r.startEntry(instance, listener))
	return nil
}

func (r *Rig) startEntry(instance settings.Instance, listener net.Listener) *runningRole[*entry.Entry] {
	var chooser comfreyworks.UpstreamChooser
	if r.options.Chooser != nil {
		chooser = r.options.Chooser(r)
	}
	role := entry.New(entry.Options{
		Instance:   &instance,
		Deployment: r.options.Deployment,
		Clock:      r.options.Clock,
		Logger:     r.options.Logger.With(zap.String("instance", string(instance.ID))),
		Meter:      r.meter,
		HTTP:       program.NewHTTPClient(),
		Dial:       r.partition.dialer(instance.Listen),
		Chooser:    chooser,
		Memory:     r.options.EntryMemory,
	})
	return startRole(r, instance, role, role.Run, listener)
}

// startRole runs an entry or sidecar on its listener.
func startRole[T any](r *Rig, instance settings.Instance, role T, run func(context.Context, net.Listener) error, listener net.Listener) *runningRole[T] {
	ctx, stop := context.WithCancel(r.ctx)
	p := &runningRole[T]{instance: instance, role: role, stop: stop, done: make(chan struct{})}
	r.group.Go(func() error {
		defer close(p.done)
		if err := run(ctx, listener); err != nil {
			r.options.Logger.Warn("role exited with an error", zap.String("instance", string(instance.ID)), zap.Error(err))
		}
		return nil
	})
	return p
}

// Stop kills all entries and sidecars, stops the test doubles and waits until
// all of them have ended.
func (r *Rig) Stop() {
	r.mu.Lock()
	for _, p := range r.entries {
		if p.role != nil {
			p.role.Kill()
		}
	}
	for _, u := range r.upstreams {
		if u.sidecar != nil {
			u.sidecar.role.Kill()
		}
	}
	r.mu.Unlock()
	r.cancel()
	_ = r.group.Wait()
}
