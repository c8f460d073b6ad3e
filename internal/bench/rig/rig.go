// Package rig runs the real roles over loopback in one process, beside
// stand-ins for everything they talk to.
//
// # Usage
//
//	r, err := rig.Start(ctx, rig.Options{Deployment: deployment, Entries: 2, Clock: clock, Seed: 1})
//	defer r.Stop()
//	resp, err := http.Post(r.EntryURL(0)+"/v1/completions", ...)
//	r.Engine("lm-pool/0").Crash(time.Second)
//
// Start fails when an address cannot be listened on or a role refuses its
// settings. Everything stops when Stop is called.
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

// peerSecret is the secret of a rig's processes.
const peerSecret = "rig-secret-0123456789"

// readyPoll is how often a sidecar is asked whether it takes work, readyTimeout
// how long.
const (
	readyPoll    = time.Millisecond
	readyTimeout = 30 * time.Second
)

// loadTime is how long an engine takes to load weights.
const loadTime = 350 * time.Millisecond

// Options configures a Rig.
type Options struct {
	Deployment *settings.Deployment
	Entries    int
	Clock      comfreyworks.Clock
	Logger     *zap.Logger
	Seed       uint64
	// Rates returns the speed of one engine; nil means the default.
	Rates func(id comfreyworks.InstanceID) engine.Rates
	// EventLag, EventLoss, LoadLag and ListLag make the stand-ins late.
	EventLag  time.Duration
	EventLoss float64
	LoadLag   time.Duration
	ListLag   time.Duration
	// KeptBlocks is the size of the store of kept cache, in blocks; zero means
	// that there is none.
	KeptBlocks int
	// AppendsPerSecond bounds the log; zero means no bound.
	AppendsPerSecond int
	// Chooser builds a replacement of the prefix directory; nil means none.
	Chooser func(*Rig) comfreyworks.UpstreamChooser
	// External means that only the stand-ins run here; the roles are started
	// as processes of their own from the settings that Instances returns.
	External bool
}

// upstreamProcess is one stand-in and the sidecar beside it.
type upstreamProcess struct {
	instance comfreyworks.Instance
	upstream netip.AddrPort
	engine   *engine.Engine
	service  *service.Service
	sidecar  *process[*sidecar.Sidecar]
	// reserved holds the sidecar's address until it is started first.
	reserved net.Listener
}

// Rig is a set of running roles and stand-ins.
type Rig struct {
	options  Options
	ctx      context.Context
	cancel   context.CancelFunc
	group    errgroup.Group
	platform netip.AddrPort
	log      *logservice.Log
	list     *logservice.List
	meter    *meter.Meter
	kept     *kept.Store
	weights  map[comfreyworks.Pool]*logservice.Weights
	cuts     *partition

	mu        sync.Mutex
	upstreams []*upstreamProcess
	entries   []*process[*entry.Entry]
}

// process is one role that can be stopped and started again at its address.
type process[T any] struct {
	instance settings.Instance
	role     T
	stop     context.CancelFunc
	done     chan struct{}
}

// Start starts everything that a deployment declares.
func Start(ctx context.Context, options Options) (*Rig, error) {
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	if options.Rates == nil {
		options.Rates = func(comfreyworks.InstanceID) engine.Rates { return engine.DefaultRates() }
	}
	r := &Rig{options: options, meter: meter.New(), cuts: newPartition(), weights: make(map[comfreyworks.Pool]*logservice.Weights)}
	if options.KeptBlocks > 0 {
		r.kept = kept.New(options.KeptBlocks)
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
	r.platform = address
	for _, pool := range r.options.Deployment.Pools {
		r.weights[pool.Name] = logservice.NewWeights(r.options.Clock, loadTime, max(pool.LoadPermits, 1))
		for i := range pool.Replicas {
			if err := r.startUpstream(pool, i); err != nil {
				return err
			}
		}
	}
	r.publishList()
	for _, u := range r.upstreams {
		if r.options.External {
			// Another process is about to listen there.
			_ = u.reserved.Close()
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
	r.publishList()
	return r.awaitReady()
}

// awaitReady waits until every sidecar takes work.
func (r *Rig) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, u := range r.upstreams {
		for u.sidecar != nil && !u.sidecar.role.Ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %s", u.instance.ID, readyTimeout)
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

// serveHTTP serves a stand-in on a free port.
func (r *Rig) serveHTTP(handler http.Handler) (netip.AddrPort, error) {
	listener, err := listenAnywhere()
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
	return addressOf(listener), nil
}

func addressOf(listener net.Listener) netip.AddrPort {
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func (r *Rig) startUpstream(pool settings.Pool, i int) error {
	u := &upstreamProcess{instance: comfreyworks.Instance{
		ID:    comfreyworks.InstanceID(fmt.Sprintf("%s/%d", pool.Name, i)),
		Role:  comfreyworks.RoleSidecar,
		Pool:  pool.Name,
		Zone:  pool.Zones[i%len(pool.Zones)],
		State: comfreyworks.InstanceLive,
	}}
	handler := r.newStandIn(pool, u)
	address, err := r.serveHTTP(handler)
	if err != nil {
		return err
	}
	u.upstream = address
	if u.reserved, err = listenAnywhere(); err != nil {
		return err
	}
	u.instance.Address = addressOf(u.reserved)
	r.cuts.add(u.instance.ID, u.instance.Address)
	r.upstreams = append(r.upstreams, u)
	return nil
}

func (r *Rig) newStandIn(pool settings.Pool, u *upstreamProcess) http.Handler {
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
		Kept:          r.kept,
		Store:         r.weights[pool.Name],
		EventLag:      r.options.EventLag,
		EventLoss:     r.options.EventLoss,
		LoadLag:       r.options.LoadLag,
		Seed:          r.options.Seed<<8 + uint64(len(r.upstreams)) + 1,
	})
	r.group.Go(func() error { return u.engine.Run(r.ctx) })
	return u.engine.Handler()
}

// listenAnywhere listens on a free port.
func listenAnywhere() (net.Listener, error) {
	return net.Listen("tcp", "127.0.0.1:0")
}

// publishList tells the platform's list who is there.
func (r *Rig) publishList() {
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

func (r *Rig) startSidecar(u *upstreamProcess) error {
	instance := r.sidecarSettings(u)
	role, err := sidecar.New(sidecar.Options{
		Instance:   &instance,
		Deployment: r.options.Deployment,
		Clock:      r.options.Clock,
		Logger:     r.options.Logger.With(zap.String("instance", string(u.instance.ID))),
		Meter:      r.meter,
		HTTP:       program.NewHTTPClient(),
		Dial:       r.cuts.dialer(instance.Listen),
	})
	if err != nil {
		return err
	}
	listener := u.reserved
	u.reserved = nil
	if listener == nil {
		if listener, err = net.Listen("tcp", instance.Listen.String()); err != nil {
			return err
		}
	}
	u.sidecar = launch(r, instance, role, role.Run, listener)
	return nil
}

func (r *Rig) sidecarSettings(u *upstreamProcess) settings.Instance {
	return settings.Instance{
		ID:         u.instance.ID,
		Role:       comfreyworks.RoleSidecar,
		Zone:       u.instance.Zone,
		Listen:     u.instance.Address,
		PeerSecret: peerSecret,
		Platform:   r.platform,
		Pool:       u.instance.Pool,
		Upstream:   u.upstream,
	}
}

func (r *Rig) addEntry(i int) error {
	listener, err := listenAnywhere()
	if err != nil {
		return err
	}
	zones := r.options.Deployment.Zones
	instance := settings.Instance{
		ID:         comfreyworks.InstanceID(fmt.Sprintf("entry/%d", i)),
		Role:       comfreyworks.RoleEntry,
		Zone:       zones[i%len(zones)].Name,
		Listen:     addressOf(listener),
		PeerSecret: peerSecret,
		Platform:   r.platform,
	}
	if r.options.External {
		_ = listener.Close()
		r.entries = append(r.entries, &process[*entry.Entry]{instance: instance})
		return nil
	}
	r.entries = append(r.entries, r.startEntry(instance, listener))
	return nil
}

func (r *Rig) startEntry(instance settings.Instance, listener net.Listener) *process[*entry.Entry] {
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
		Dial:       r.cuts.dialer(instance.Listen),
		Chooser:    chooser,
	})
	return launch(r, instance, role, role.Run, listener)
}

// launch runs a role on its listener.
func launch[T any](r *Rig, instance settings.Instance, role T, run func(context.Context, net.Listener) error, listener net.Listener) *process[T] {
	ctx, stop := context.WithCancel(r.ctx)
	p := &process[T]{instance: instance, role: role, stop: stop, done: make(chan struct{})}
	r.group.Go(func() error {
		defer close(p.done)
		if err := run(ctx, listener); err != nil {
			r.options.Logger.Warn("role ended", zap.String("instance", string(instance.ID)), zap.Error(err))
		}
		return nil
	})
	return p
}

// Stop stops everything at once and waits for it.
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
