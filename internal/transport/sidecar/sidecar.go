// Package sidecar implements the process that runs next to one upstream and that
// all requests to the upstream go through.
//
// A sidecar receives requests from entries over RPC, sends them to its upstream
// over HTTP and buffers the answers. Next to a model engine it also tracks the
// engine's cache and load, and it serves a shard of its pool's prefix directory if
// it is chosen as an owner.
//
// # Usage
//
//	s, err := sidecar.New(sidecar.Options{Instance: instance, Deployment: deployment, ...})
//	err = s.Run(ctx, listener)
//
// Run serves until ctx ends, then refuses new requests, lets the open ones finish
// within the deployment's stop grace period and returns. New returns an error if
// the deployment does not declare the instance's pool, or if the pool's placement
// policy is unknown.
package sidecar

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"comfreyworks"
	"comfreyworks/internal/coordination/admission"
	"comfreyworks/internal/coordination/claim"
	"comfreyworks/internal/coordination/configuration"
	"comfreyworks/internal/coordination/generation"
	"comfreyworks/internal/coordination/keep"
	"comfreyworks/internal/coordination/membership"
	"comfreyworks/internal/coordination/placement"
	"comfreyworks/internal/coordination/tracker"
	"comfreyworks/internal/protocol/logservice"
	"comfreyworks/internal/protocol/peer"
	"comfreyworks/internal/protocol/upstream"
	"comfreyworks/internal/state/directory"
	"comfreyworks/internal/state/memory"
	"comfreyworks/internal/state/meter"
	"comfreyworks/internal/state/revision"
	"comfreyworks/internal/state/settings"
	"comfreyworks/internal/transport/admin"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindSettings means that the settings do not allow the sidecar to start.
	KindSettings Kind = "settings"
	// KindServe means that serving failed.
	KindServe Kind = "serve"
)

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

// sweepInterval is the time between two sweeps of the directory shard.
const sweepInterval = 10 * time.Second

// Options configures a Sidecar.
type Options struct {
	Instance   *settings.Instance
	Deployment *settings.Deployment
	Clock      comfreyworks.Clock
	Logger     *zap.Logger
	Meter      *meter.Meter
	// HTTP is the client for calls to the upstream and to the platform.
	HTTP *http.Client
	// Dial opens connections to peers; nil means TCP.
	Dial peer.Dial
	// Memory accounts for the answers of a plain service; nil means that it has no limit.
	Memory *memory.Budget
	// Admin is the listener for health, readiness and metrics. If it is nil, they
	// are not served.
	Admin net.Listener
}

// Sidecar is the server next to one upstream.
type Sidecar struct {
	options Options
	// poolSettings are the pool's settings in the configuration in force, or in
	// the last one that declared the pool.
	poolSettings atomic.Pointer[settings.Pool]
	config       *configuration.Follower
	server       *peer.Server
	clients      *peer.Clients
	view         *membership.View
	shard        *directory.Shard
	chooser      *placement.Chooser
	// tracker, queue and streams are nil if the upstream is a plain service,
	// executor and serviceCalls are nil if it is an engine.
	tracker      *tracker.Tracker
	queue        *admission.Queue
	streams      *generation.Manager
	executor     *claim.Executor
	serviceCalls *serviceCaller
	starting     atomic.Bool
	leaving      atomic.Bool
	// serveCtx ends when the sidecar stops serving; kill cancels it.
	serveCtx context.Context
	kill     context.CancelFunc
}

// New returns a sidecar that does nothing until Run is called.
func New(options Options) (*Sidecar, error) {
	pool := options.Deployment.Pool(options.Instance.Pool)
	if pool == nil {
		err := fmt.Errorf("pool %q is not declared in the deployment", options.Instance.Pool)
		return nil, &Error{Op: "new", Kind: KindSettings, Err: err}
	}
	policy, err := placement.New(pool.Placement)
	if err != nil {
		return nil, &Error{Op: "new", Kind: KindSettings, Err: err}
	}
	s := &Sidecar{options: options, shard: directory.New(options.Clock)}
	s.poolSettings.Store(pool)
	s.chooser = placement.NewChooser(s.shard, policy)
	s.clients = peer.NewClients(peer.ClientOptions{
		Secret: options.Instance.PeerSecret,
		Clock:  options.Clock,
		Dial:   options.Dial,
	})
	client := logservice.NewClient(options.Instance.Platform, options.HTTP)
	s.view = membership.New(membership.Options{
		List: client, Clock: options.Clock, Logger: options.Logger, OnChange: s.clients.Retain,
	})
	s.setUpConfiguration(client)
	switch pool.Kind {
	case settings.PoolEngine:
		s.setUpEngine()
	case settings.PoolService:
		s.setUpService(client)
	}
	s.starting.Store(true)
	s.serveCtx, s.kill = context.WithCancel(context.Background())
	s.server, err = peer.NewServer(options.Instance.PeerSecret, &receiver{s})
	if err != nil {
		return nil, &Error{Op: "new", Kind: KindServe, Err: err}
	}
	return s, nil
}

// pool returns the settings in force of the sidecar's pool.
func (s *Sidecar) pool() *settings.Pool { return s.poolSettings.Load() }

func (s *Sidecar) setUpConfiguration(log comfreyworks.Log) {
	s.config = configuration.New(configuration.Options{
		Instance:  s.options.Instance.ID,
		Initial:   revision.FromDeployment(s.options.Deployment),
		Log:       log,
		Clock:     s.options.Clock,
		Logger:    s.options.Logger,
		Peers:     s.view.All,
		NewClient: func(i comfreyworks.Instance) comfreyworks.ConfigPeer { return s.clients.To(i.Address) },
		OnChange:  s.applyConfiguration,
	})
}

// applyConfiguration applies a new configuration. If it no longer declares the
// pool, the previous settings stay in force, because the upstream still exists.
func (s *Sidecar) applyConfiguration(document *revision.Document) {
	pool := document.Deployment().Pool(s.pool().Name)
	if pool == nil {
		s.options.Logger.Warn("new configuration does not declare the pool, keeping its previous settings")
		return
	}
	s.poolSettings.Store(pool)
	if policy, err := placement.New(pool.Placement); err == nil {
		s.chooser.SetPolicy(policy)
	}
	if s.queue != nil {
		s.queue.SetConcurrency(pool.Concurrency)
	}
}

func (s *Sidecar) setUpEngine() {
	engine := upstream.NewEngine(s.options.Instance.Upstream, s.options.HTTP)
	s.tracker = tracker.New(tracker.Options{
		Instance:    s.options.Instance.ID,
		Engine:      engine,
		Clock:       s.options.Clock,
		Logger:      s.options.Logger,
		PrefillTime: s.pool().PrefillTime(),
		ShardOwners: s.directoryOwners,
		Shard:       s.shardOf,
	})
	s.queue = admission.New(admission.Options{Clock: s.options.Clock, Concurrency: s.pool().Concurrency})
	var offloader *keep.Offloader
	if s.pool().CacheStore != "" {
		offloader = keep.New(keep.Options{Engine: engine, Clock: s.options.Clock, Logger: s.options.Logger})
	}
	s.streams = generation.New(generation.Options{
		Offloader: offloader,
		Engine:    engine,
		Clock:     s.options.Clock,
		Tracker:   s.tracker,
		Queue:     s.queue,
		Limits:    s.admissionRequest,
	})
}

func (s *Sidecar) setUpService(log comfreyworks.Log) {
	service := upstream.NewService(s.options.Instance.Upstream, s.options.HTTP, s.options.Memory)
	s.executor = claim.New(claim.Options{
		Log:     log,
		Service: service,
		Clock:   s.options.Clock,
		Logger:  s.options.Logger,
		Stream:  "claims/" + string(s.pool().Name),
		Window:  s.pool().IdempotencyWindow,
	})
	s.serviceCalls = newServiceCaller(service, s.executor)
}

// admissionRequest returns the priority of a class and how many of its requests may
// wait, both zero if the class is not declared.
func (s *Sidecar) admissionRequest(name comfreyworks.Class) admission.Request {
	class := s.config.Current().Deployment().Class(name)
	if class == nil {
		return admission.Request{Class: name}
	}
	return admission.Request{Class: name, Priority: class.Priority, MaxWaiting: class.QueueBound}
}

// Run serves on a listener until ctx ends and then shuts down as described in the
// package comment.
func (s *Sidecar) Run(ctx context.Context, listener net.Listener) error {
	defer s.kill()
	s.view.Refresh(ctx)
	group, workCtx := errgroup.WithContext(s.serveCtx)
	group.Go(func() error { return s.server.Serve(workCtx, listener) })
	s.config.Bootstrap(ctx)
	if s.tracker != nil {
		s.tracker.Refresh(ctx)
	}
	s.starting.Store(false)
	group.Go(func() error { return s.config.Run(workCtx) })
	group.Go(func() error { return s.view.Run(workCtx) })
	group.Go(func() error { return s.sweepShard(workCtx) })
	if s.streams != nil {
		group.Go(func() error { return s.tracker.Run(workCtx) })
		group.Go(func() error { return s.streams.Run(workCtx) })
	}
	if s.executor != nil {
		group.Go(func() error { return s.executor.Run(workCtx) })
	}
	if s.options.Admin != nil {
		endpoints := admin.Options{
			Meter: s.options.Meter, Revision: s.revision, NotReadyReason: s.notReadyReason, Logger: s.options.Logger,
		}
		group.Go(func() error { return admin.Serve(workCtx, s.options.Admin, endpoints) })
	}
	s.options.Logger.Info("sidecar started", zap.Stringer("address", listener.Addr()))
	group.Go(func() error {
		select {
		case <-ctx.Done():
			s.drain(ctx)
		case <-workCtx.Done():
		}
		s.kill()
		return nil
	})
	err := group.Wait()
	s.clients.Close()
	if err != nil {
		return &Error{Op: "run", Kind: KindServe, Err: err}
	}
	return nil
}

func (s *Sidecar) revision() comfreyworks.ConfigRevision { return s.config.Current().Number() }

// Ready reports whether the sidecar accepts new requests.
func (s *Sidecar) Ready() bool { return s.notReadyReason() == "" }

// notReadyReason returns why the sidecar accepts no new requests, or "" if it
// accepts them.
func (s *Sidecar) notReadyReason() string {
	switch {
	case s.leaving.Load():
		return "leaving"
	case s.starting.Load():
		return "starting"
	case s.tracker != nil && s.tracker.Down():
		return "upstream does not answer"
	case s.executor != nil && !s.executor.Ready():
		return "claims are not read yet"
	default:
		return ""
	}
}

// Kill stops the sidecar at once, as a crash would.
func (s *Sidecar) Kill() {
	s.server.Close()
	s.kill()
}

// drain lets open requests finish within the stop grace period.
func (s *Sidecar) drain(ctx context.Context) {
	s.leaving.Store(true)
	s.options.Logger.Info("shutdown started, refusing new requests")
	graceCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.config.Current().Deployment().Callers.StopGrace)
	defer cancel()
	var err error
	if s.streams != nil {
		s.tracker.SetLeaving()
		err = s.streams.Drain(graceCtx)
	} else {
		err = s.serviceCalls.drain(graceCtx)
	}
	s.options.Logger.Info("shutdown finished", zap.Error(err))
}

// sweepShard removes outdated records from the directory shard at regular
// intervals and sets the metric of its size.
func (s *Sidecar) sweepShard(ctx context.Context) error {
	for {
		select {
		case <-s.options.Clock.After(sweepInterval):
			s.options.Meter.SetGauge("comfrey_directory_levels", float64(s.shard.Sweep()))
		case <-ctx.Done():
			return nil
		}
	}
}

// directoryOwners returns the owners of the shards of the pool's directory for the
// current list of instances.
func (s *Sidecar) directoryOwners() *directory.ShardOwners {
	return s.view.ShardOwners(s.pool().Name, s.pool().DirectoryShards)
}

// shardOf returns the directory shard that an instance owns.
func (s *Sidecar) shardOf(owner comfreyworks.Instance) comfreyworks.DirectoryShard {
	if owner.ID == s.options.Instance.ID {
		return localShard{s.shard}
	}
	return remoteShard{client: s.clients.To(owner.Address), pool: s.pool().Name}
}

// localShard is the directory shard of this process.
type localShard struct{ shard *directory.Shard }

// Report implements comfreyworks.DirectoryShard.
func (l localShard) Report(_ context.Context, report comfreyworks.DirectoryReport) (bool, error) {
	return l.shard.Report(report), nil
}

// remoteShard is the directory shard of another sidecar.
type remoteShard struct {
	client *peer.Client
	pool   comfreyworks.Pool
}

// Report implements comfreyworks.DirectoryShard.
func (r remoteShard) Report(ctx context.Context, report comfreyworks.DirectoryReport) (bool, error) {
	reply, err := r.client.Report(ctx, peer.ReportArgs{Pool: r.pool, Report: report})
	return reply.NeedFull, err
}
