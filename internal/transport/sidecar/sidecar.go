// Package sidecar is the process beside one upstream: the only gate to it.
//
// A sidecar takes work from entries over RPC, drives its upstream over HTTP,
// buffers answers, follows the upstream's cache and load, and serves a shard
// of its pool's prefix directory.
//
// # Usage
//
//	s, err := sidecar.New(sidecar.Options{Instance: instance, Deployment: deployment, ...})
//	err = s.Run(ctx, listener)
//
// Run serves until ctx ends, then refuses new work, lets open streams finish
// within the deployment's stop grace and returns. New fails when the instance
// names a pool that the deployment does not declare.
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
	"comfreyworks/internal/state/meter"
	"comfreyworks/internal/state/revision"
	"comfreyworks/internal/state/settings"
	"comfreyworks/internal/transport/admin"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindSettings Kind = "settings"
	KindServe    Kind = "serve"
)

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

// sweepInterval is how often the directory shard is swept.
const sweepInterval = 10 * time.Second

// Options configures a Sidecar.
type Options struct {
	Instance   *settings.Instance
	Deployment *settings.Deployment
	Clock      comfreyworks.Clock
	Logger     *zap.Logger
	Meter      *meter.Meter
	// HTTP reaches the upstream and the platform.
	HTTP *http.Client
	// Dial opens connections to peers; nil means TCP.
	Dial peer.Dial
	// Admin is where health and metrics are served; nil means nowhere.
	Admin net.Listener
}

// Sidecar is one process beside an upstream.
type Sidecar struct {
	options Options
	// declared is the pool as the configuration in force declares it.
	declared atomic.Pointer[settings.Pool]
	config   *configuration.Follower
	server   *peer.Server
	clients  *peer.Clients
	view     *membership.View
	shard    *directory.Shard
	chooser  *placement.Chooser
	// tracker and streams are nil beside a plain service, executor and calls
	// beside an engine.
	tracker  *tracker.Tracker
	queue    *admission.Queue
	streams  *generation.Manager
	executor *claim.Executor
	calls    *calls
	starting atomic.Bool
	leaving  atomic.Bool
	// stop ends when the sidecar stops serving; kill ends it at once.
	stop context.Context
	kill context.CancelFunc
}

// New returns a sidecar that does nothing until Run is called.
func New(options Options) (*Sidecar, error) {
	pool := options.Deployment.Pool(options.Instance.Pool)
	if pool == nil {
		err := fmt.Errorf("pool %q is not declared", options.Instance.Pool)
		return nil, &Error{Op: "new", Kind: KindSettings, Err: err}
	}
	placer, err := placement.New(pool.Placement)
	if err != nil {
		return nil, &Error{Op: "new", Kind: KindSettings, Err: err}
	}
	s := &Sidecar{options: options, shard: directory.New(options.Clock)}
	s.declared.Store(pool)
	s.chooser = placement.NewChooser(s.shard, placer)
	s.clients = peer.NewClients(peer.ClientOptions{
		Secret: options.Instance.PeerSecret,
		Clock:  options.Clock,
		Dial:   options.Dial,
	})
	client := logservice.NewClient(options.Instance.Platform, options.HTTP)
	s.view = membership.New(membership.Options{
		List: client, Clock: options.Clock, Logger: options.Logger, Changed: s.clients.Keep,
	})
	s.setUpConfiguration(client)
	switch pool.Kind {
	case settings.PoolEngine:
		s.setUpEngine()
	case settings.PoolService:
		s.setUpService(client)
	}
	s.starting.Store(true)
	s.stop, s.kill = context.WithCancel(context.Background())
	s.server, err = peer.NewServer(options.Instance.PeerSecret, &receiver{s})
	if err != nil {
		return nil, &Error{Op: "new", Kind: KindServe, Err: err}
	}
	return s, nil
}

// pool returns the sidecar's pool as the configuration in force declares it.
func (s *Sidecar) pool() *settings.Pool { return s.declared.Load() }

func (s *Sidecar) setUpConfiguration(log comfreyworks.Log) {
	s.config = configuration.New(configuration.Options{
		Instance: s.options.Instance.ID,
		Initial:  revision.FromDeployment(s.options.Deployment),
		Log:      log,
		Clock:    s.options.Clock,
		Logger:   s.options.Logger,
		Peers:    s.view.All,
		Peer:     func(i comfreyworks.Instance) comfreyworks.ConfigPeer { return s.clients.To(i.Address) },
		Changed:  s.reconfigure,
	})
}

// reconfigure takes a new configuration over into what runs. A pool that is no
// longer declared goes on as it was: its upstreams are still there.
func (s *Sidecar) reconfigure(document *revision.Document) {
	pool := document.Deployment().Pool(s.pool().Name)
	if pool == nil {
		s.options.Logger.Warn("the pool is no longer declared")
		return
	}
	s.declared.Store(pool)
	if placer, err := placement.New(pool.Placement); err == nil {
		s.chooser.SetPlacer(placer)
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
		Ring:        s.ring,
		Shard:       s.shardAt,
	})
	s.queue = admission.New(admission.Options{Clock: s.options.Clock, Concurrency: s.pool().Concurrency})
	var keeper *keep.Keeper
	if s.pool().KeptCache != "" {
		keeper = keep.New(keep.Options{Engine: engine, Clock: s.options.Clock, Logger: s.options.Logger})
	}
	s.streams = generation.New(generation.Options{
		Keeper:  keeper,
		Engine:  engine,
		Clock:   s.options.Clock,
		Tracker: s.tracker,
		Queue:   s.queue,
		Limits:  s.limits,
	})
}

func (s *Sidecar) setUpService(log comfreyworks.Log) {
	service := upstream.NewService(s.options.Instance.Upstream, s.options.HTTP)
	s.executor = claim.New(claim.Options{
		Log:     log,
		Service: service,
		Clock:   s.options.Clock,
		Logger:  s.options.Logger,
		Stream:  "claims/" + string(s.pool().Name),
		Window:  s.pool().IdempotencyWindow,
	})
	s.calls = newCalls(service, s.executor)
}

func (s *Sidecar) limits(name comfreyworks.Class) admission.Request {
	class := s.config.Current().Deployment().Class(name)
	if class == nil {
		return admission.Request{Class: name}
	}
	return admission.Request{Class: name, Priority: class.Priority, Bound: class.QueueBound}
}

// Run serves on a listener until ctx ends and every open stream is done.
func (s *Sidecar) Run(ctx context.Context, listener net.Listener) error {
	defer s.kill()
	s.view.Refresh(ctx)
	group, work := errgroup.WithContext(s.stop)
	group.Go(func() error { return s.server.Serve(work, listener) })
	s.config.Bootstrap(ctx)
	if s.tracker != nil {
		s.tracker.Refresh(ctx)
	}
	s.starting.Store(false)
	group.Go(func() error { return s.config.Run(work) })
	group.Go(func() error { return s.view.Run(work) })
	group.Go(func() error { return s.sweep(work) })
	if s.streams != nil {
		group.Go(func() error { return s.tracker.Run(work) })
		group.Go(func() error { return s.streams.Run(work) })
	}
	if s.executor != nil {
		group.Go(func() error { return s.executor.Run(work) })
	}
	if s.options.Admin != nil {
		pages := admin.Options{
			Meter: s.options.Meter, Revision: s.revision, Ready: s.notReady, Logger: s.options.Logger,
		}
		group.Go(func() error { return admin.Serve(work, s.options.Admin, pages) })
	}
	s.options.Logger.Info("serving", zap.Stringer("address", listener.Addr()))
	group.Go(func() error {
		select {
		case <-ctx.Done():
			s.drain(ctx)
		case <-work.Done():
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

// Ready reports whether the sidecar takes work.
func (s *Sidecar) Ready() bool { return s.notReady() == "" }

// notReady returns why the sidecar takes no new work, or nothing.
func (s *Sidecar) notReady() string {
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
func (s *Sidecar) Kill() { s.kill() }

// drain lets open work finish within the stop grace.
func (s *Sidecar) drain(ctx context.Context) {
	s.leaving.Store(true)
	s.options.Logger.Info("leaving")
	grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.config.Current().Deployment().Callers.StopGrace)
	defer cancel()
	var err error
	if s.streams != nil {
		s.tracker.SetLeaving()
		err = s.streams.Drain(grace)
	} else {
		err = s.calls.drain(grace)
	}
	s.options.Logger.Info("left", zap.Error(err))
}

func (s *Sidecar) sweep(ctx context.Context) error {
	for {
		select {
		case <-s.options.Clock.After(sweepInterval):
			s.options.Meter.Set("comfrey_directory_levels", float64(s.shard.Sweep()))
		case <-ctx.Done():
			return nil
		}
	}
}

// ring returns the pool's directory as the list shows it now.
func (s *Sidecar) ring() *directory.Ring {
	return s.view.Ring(s.pool().Name, s.pool().DirectoryShards)
}

func (s *Sidecar) shardAt(owner comfreyworks.Instance) comfreyworks.DirectoryShard {
	if owner.ID == s.options.Instance.ID {
		return localShard{s.shard}
	}
	return remoteShard{client: s.clients.To(owner.Address), pool: s.pool().Name}
}

// localShard is the directory shard in this process.
type localShard struct{ shard *directory.Shard }

// Report implements comfreyworks.DirectoryShard.
func (l localShard) Report(_ context.Context, report comfreyworks.DirectoryReport) (bool, error) {
	return l.shard.Report(report), nil
}

// remoteShard is a directory shard in another sidecar.
type remoteShard struct {
	client *peer.Client
	pool   comfreyworks.Pool
}

// Report implements comfreyworks.DirectoryShard.
func (r remoteShard) Report(ctx context.Context, report comfreyworks.DirectoryReport) (bool, error) {
	reply, err := r.client.Report(ctx, peer.ReportArgs{Pool: r.pool, Report: report})
	return reply.NeedFull, err
}
