// Package gateway implements an HTTP reverse proxy that routes callers' requests
// by host and path to upstreams that it reaches directly. It forwards the bodies
// of requests and responses unchanged.
//
// # Usage
//
//	g := gateway.New(gateway.Options{Settings: settings, Declarations: source, Upstreams: source, ...})
//	err := g.Run(ctx, listeners)
//
// Run serves until ctx ends. It then reports that it is not ready, keeps
// accepting requests until the load balancer has noticed, finishes the open
// requests and returns within the stop grace period.
package gateway

import (
	"context"
	"fmt"
	"log"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"comfreyworks"
	"comfreyworks/internal/coordination/balance"
	"comfreyworks/internal/coordination/crashrecord"
	"comfreyworks/internal/coordination/follow"
	"comfreyworks/internal/coordination/forward"
	"comfreyworks/internal/coordination/peering"
	"comfreyworks/internal/coordination/placement"
	"comfreyworks/internal/coordination/releaserecord"
	"comfreyworks/internal/coordination/rollout"
	"comfreyworks/internal/coordination/usage"
	"comfreyworks/internal/coordination/watch"
	"comfreyworks/internal/protocol/exchange"
	"comfreyworks/internal/protocol/listener"
	"comfreyworks/internal/protocol/peer"
	"comfreyworks/internal/state/catalog"
	"comfreyworks/internal/state/crashes"
	"comfreyworks/internal/state/enginepace"
	"comfreyworks/internal/state/faults"
	"comfreyworks/internal/state/holdings"
	"comfreyworks/internal/state/memory"
	"comfreyworks/internal/state/meter"
	"comfreyworks/internal/state/retrybudget"
	"comfreyworks/internal/state/savedsessions"
	"comfreyworks/internal/state/streamorigins"
)

// Kind classifies the errors of this package.
type Kind string

// KindServe means that serving failed.
const KindServe Kind = "serve"

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

const (
	// shutdownDelay is how long a stopping gateway still accepts connections. The
	// load balancer probes every second and stops sending requests after two
	// failed probes.
	shutdownDelay = 2300 * time.Millisecond
	// shutdownMargin is the part of the stop grace period that is reserved for
	// ending the process after the open requests have finished or were cut off. It
	// includes listener.LastAnswerTime and peerStopTimeout.
	shutdownMargin = 250 * time.Millisecond
	// lateRequest is the time after the beginning of a stop from which requests are
	// refused that may last beyond its end.
	lateRequest = 2900 * time.Millisecond
	// startupWait is how long a new process waits for its first routing and list
	// of upstreams before it accepts requests; a healthy store answers several
	// times within it. startupPollInterval is the pause between two checks.
	startupWait         = 450 * time.Millisecond
	startupPollInterval = 5 * time.Millisecond
	// upstreamRetention is how long the balancer keeps the record of an upstream
	// that it no longer considers, usually because it is no longer listed. It is
	// also the interval between two clean-ups.
	upstreamRetention = 30 * time.Second
	// sourceReaders is the number of gateways that read the declarations and the
	// list of upstreams on behalf of all. leaseCandidates is the number of
	// gateways that check at short intervals whether the lease is free. Both are
	// more than one, so that the loss of one gateway has no effect.
	sourceReaders   = 2
	leaseCandidates = 3
	// The retry budget is divided by the highest number of gateways seen at once
	// plus spareRetryShares, for gateways that this one has never seen, and at
	// least by minRetryShares.
	spareRetryShares = 2
	minRetryShares   = 6
	// defaultHeaderTimeout and defaultIdleTimeout apply to callers until a routing
	// sets other limits.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// defaultMaxHeaderBytes limits the header of a request until a routing sets
	// another limit.
	defaultMaxHeaderBytes = 64 << 10
)

var defaultCallerLimits = listener.Limits{
	HeaderBytes: defaultMaxHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
}

// Options configures a Gateway.
type Options struct {
	Settings     comfreyworks.GatewaySettings
	Declarations comfreyworks.DeclarationSource
	Upstreams    comfreyworks.UpstreamSource
	// Leases and Loader are used to load the declared weights into engines. If
	// either is nil, this gateway loads none.
	Leases comfreyworks.LeaseLog
	Loader comfreyworks.WeightsLoader
	// Registry lets gateways discover each other in addition to the seeds; it may
	// be nil.
	Registry comfreyworks.GatewayRegistry
	// Releases keeps the record of releases that gateways read after all of them ended. If
	// it is nil, streams of unknown origin are refused for some time after such a start.
	Releases comfreyworks.ReleaseStore
	// Crashes keeps the suspicions that crashes raise, which gateways read after all of them
	// ended. If it is nil, they are forgotten then.
	Crashes comfreyworks.CrashStore
	// Caches reports what engines and cache stores hold. If it is nil, this is
	// inferred from the requests of this process alone.
	Caches comfreyworks.CacheSource
	Clock  comfreyworks.Clock
	Logger *zap.Logger
	Meter  *meter.Meter
	// Memory accounts for the bytes that the process holds; nil means that it has no limit.
	Memory *memory.Budget
	// Faults records what is set aside and panics; nil means one of its own.
	Faults *faults.Recorder
}

// Listeners holds the listeners that a gateway serves on.
type Listeners struct {
	Requests net.Listener
	Ready    net.Listener
	// Metrics may be nil.
	Metrics net.Listener
	// Peers accepts calls of other gateways. If it is nil, the gateway does not
	// exchange state with them.
	Peers net.Listener
}

// Gateway routes and forwards callers' requests.
type Gateway struct {
	options   Options
	catalog   *catalog.Catalog
	balancer  *balance.Balancer
	forwarder *forward.Forwarder
	follower  *follow.Follower
	// releases is nil if there is no ReleaseStore.
	releases *releaserecord.Recorder
	// crashRecord is nil if there is no CrashStore.
	crashRecord    *crashrecord.Recorder
	upstreamClient *exchange.Client
	rollout        *rollout.Rollout
	holdings       *holdings.Index
	watcher        *watch.Watcher
	peering        *peering.Peering
	peerClients    *peer.Clients
	crashes        *crashes.Log
	usage          *usageAdmission
	origins        *streamOrigins
	closings       *closings
	leaving        atomic.Bool
	// stoppedAt is set before leaving.
	stoppedAt atomic.Pointer[time.Time]
	startedAt time.Time
}

// New returns a gateway that does nothing until Run is called.
func New(options Options) *Gateway {
	if options.Faults == nil {
		options.Faults = faults.New(faults.Options{Clock: options.Clock, Logger: options.Logger, Meter: options.Meter})
	}
	g := &Gateway{options: options, startedAt: options.Clock.Now()}
	g.catalog = catalog.New(options.Clock)
	g.holdings = holdings.New()
	g.crashes = crashes.New(crashes.Options{
		Clock: options.Clock, Spread: peering.Spread(options.Settings.ID),
		Tries: func(key uint32) bool { return g.peering.IsSelected(fmt.Sprint("part ", key), 1) },
	})
	bounds := &options.Settings.Bounds
	g.usage = &usageAdmission{
		limiter: usage.New(usage.Options{
			Clock: options.Clock, Window: bounds.UsageWindow, Overage: bounds.UsageOverage, Slack: bounds.UsageSlack,
			Routing: g.declaredRouting,
		}),
		clock: options.Clock, logger: options.Logger, meter: options.Meter, loggedAt: make(map[comfreyworks.Workspace]time.Time),
	}
	g.closings = &closings{clock: options.Clock, logger: options.Logger, meter: options.Meter}
	saved := savedsessions.New(options.Clock)
	pace := enginepace.New(enginepace.Options{Clock: options.Clock, Logger: options.Logger, Meter: options.Meter})
	origins := &streamOrigins{log: streamorigins.New(options.Clock), begun: newEventRate(options.Clock)}
	g.origins = origins
	g.balancer = balance.New(balance.Options{
		Catalog: g.catalog, Holdings: g.holdings, Saved: saved, Pace: pace,
		Policy: placement.Comfrey{RecomputeWeight: placement.DefaultRecomputeWeight},
		Clock:  options.Clock, Zone: options.Settings.Zone, Logger: options.Logger, Meter: options.Meter,
		SupersededWeights: options.Settings.Bounds.SupersededWeights,
	})
	g.upstreamClient = exchange.NewClient(exchange.Options{
		Clock: options.Clock, Headers: options.Settings.Headers,
		Receive:   memory.ForConnections(options.Settings.MemoryBytes, options.Settings.MaxDescriptors).Receive,
		OnConnect: func() { options.Meter.Add("comfrey_upstream_connections_total", meter.Labels{}, 1) },
	})
	g.forwarder = forward.New(forward.Options{
		Catalog: g.catalog, Balancer: g.balancer, Exchanger: g.upstreamClient, Clock: options.Clock,
		Origins: origins, Crashes: g.crashes, Logger: options.Logger, Faults: options.Faults, Meter: options.Meter, RetryLimit: g.retryLimit,
		Memory: options.Memory,
	})
	g.follower = follow.New(follow.Options{
		Declarations: options.Declarations, Upstreams: options.Upstreams, Catalog: g.catalog,
		IsReader:      func() bool { return g.peering.IsSelected("read", sourceReaders) },
		FallbackDelay: func() time.Duration { return g.peering.FallbackDelay() },
		StartDelay:    func() time.Duration { return g.peering.StartDelay() },
		OnUpstreamsRead: func(reader bool) {
			if g.releases != nil {
				g.releases.ListRead(reader)
			}
			if g.crashRecord != nil {
				g.crashRecord.ListRead()
			}
		},
		Clock: options.Clock, Logger: options.Logger, Meter: options.Meter, Faults: options.Faults,
	})
	if options.Releases != nil {
		g.catalog.RecordReleases()
		g.releases = releaserecord.New(releaserecord.Options{
			Store: options.Releases, Catalog: g.catalog, IsWriter: func(n int) bool { return g.peering.IsSelected("record releases", n) },
			NoneBefore: g.noneBefore, Clock: options.Clock, Logger: options.Logger, Meter: options.Meter, Faults: options.Faults,
		})
	}
	if options.Crashes != nil {
		g.crashRecord = crashrecord.New(crashrecord.Options{
			Store: options.Crashes, Log: g.crashes, IsWriter: func(n int) bool { return g.peering.IsSelected("record crashes", n) },
			RestoredAt: g.catalog.RestoredAt, Clock: options.Clock, Logger: options.Logger, Meter: options.Meter, Faults: options.Faults,
		})
	}
	g.peerClients = peer.NewClients(peer.ClientOptions{
		Clock: options.Clock, Limits: peer.MessageLimits{Bytes: maxPeerMessageBytes}, Faults: options.Faults,
	})
	g.peering = peering.New(peering.Options{
		Self: comfreyworks.GatewayPeer{
			ID: options.Settings.ID, Address: options.Settings.PeerListen,
			Zone: options.Settings.Zone, Capacity: options.Settings.Capacity,
		},
		Seeds: options.Settings.Peers, Registry: options.Registry,
		NewClient:     func(address netip.AddrPort) comfreyworks.GatewayClient { return g.peerClients.To(address) },
		RetainClients: g.peerClients.Retain,
		Catalog:       g.catalog, Balancer: g.balancer, Saved: saved, Pace: pace, Clock: options.Clock, Logger: options.Logger, Faults: options.Faults,
		Origins: origins.log, PassOrigins: g.passesOrigins, Crashes: g.crashes, Usage: g.usage.limiter,
	})
	origins.peering = g.peering
	if options.Caches != nil {
		g.watcher = watch.New(watch.Options{
			Source: options.Caches, Index: g.holdings, Targets: g.cacheTargets,
			ReaderCount: func() int { return g.peering.Gateways() },
			Advise:      g.adviceFrom, ClosedFor: g.closedFor,
			Clock: options.Clock, Logger: options.Logger, Faults: options.Faults,
		})
	}
	if options.Leases != nil && options.Loader != nil {
		g.rollout = rollout.New(rollout.Options{
			Self: options.Settings.ID, LeaseDuration: options.Settings.Bounds.LeaseDuration,
			Catalog: g.catalog, Balancer: g.balancer, Announce: g.peering.Announce, Log: options.Leases, Loader: options.Loader,
			Candidate: func() bool { return g.peering.IsSelected("rollout", leaseCandidates) },
			Clock:     options.Clock, Logger: options.Logger, Meter: options.Meter, Faults: options.Faults,
		})
	}
	return g
}

// cacheTargets returns the live engines and the cache stores whose cache changes
// this gateway reads.
func (g *Gateway) cacheTargets() []watch.Target {
	table, _ := g.catalog.Routing()
	if table == nil {
		return nil
	}
	var targets []watch.Target
	for _, pool := range table.Declared().Pools {
		if len(pool.Models) == 0 || !g.balancer.UsesCacheNews(pool.Name) {
			continue
		}
		for _, upstream := range g.catalog.Upstreams(pool.Name) {
			if upstream.State == comfreyworks.InstanceLive && !g.balancer.IsLeaving(&upstream) {
				targets = append(targets, watch.Target{ID: upstream.ID, Address: upstream.Address, MaxReaders: pool.CacheReaders})
			}
		}
	}
	if len(targets) == 0 {
		return nil
	}
	for _, store := range g.catalog.Stores() {
		targets = append(targets, watch.Target{ID: store.ID, Address: store.Address, IsStore: true, MaxReaders: store.MaxReaders})
	}
	return targets
}

// adviceFrom returns the receiver of advice from an engine, or nil for a cache store
// and for an engine that is no longer listed.
func (g *Gateway) adviceFrom(target watch.Target) func(comfreyworks.UpstreamAdvice) {
	upstream, ok := g.catalog.Upstream(target.ID)
	if !ok || upstream.Address != target.Address {
		return nil
	}
	return func(advice comfreyworks.UpstreamAdvice) { g.balancer.Advise(&upstream, advice) }
}

// closedFor returns how much longer an engine wants no requests from this gateway.
func (g *Gateway) closedFor(target watch.Target) time.Duration {
	upstream, ok := g.catalog.Upstream(target.ID)
	if !ok {
		return 0
	}
	return g.balancer.ClosedFor(&upstream)
}

// retryLimit returns this gateway's share of the retry budget. The slack grows
// from zero during the first window, because the process that this one replaces
// may just have spent its share.
func (g *Gateway) retryLimit() retrybudget.Limit {
	bounds := &g.options.Settings.Bounds
	limit := retrybudget.Limit{Ratio: bounds.RetryRatio, Slack: float64(bounds.RetrySlack), Window: bounds.RetryWindow}
	limit = limit.Share(max(g.peering.MaxGateways()+spareRetryShares, minRetryShares))
	if age := g.options.Clock.Since(g.startedAt); age < bounds.RetryWindow {
		limit.Slack *= float64(age) / float64(bounds.RetryWindow)
	}
	return limit
}

// Run serves until ctx ends, then shuts down gracefully as described in the
// package comment.
func (g *Gateway) Run(ctx context.Context, listeners Listeners) error {
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, workCtx := errgroup.WithContext(workCtx)
	requestCtx, endRequests := context.WithCancelCause(context.WithoutCancel(ctx))
	defer endRequests(nil)
	requestServer := g.newServer(g.requestHandler())
	requestServer.BaseContext = func(net.Listener) context.Context { return requestCtx }
	bounds := memory.ForConnections(g.options.Settings.MemoryBytes, g.options.Settings.MaxDescriptors)
	callers := listener.New(listeners.Requests, g.callerLimits)
	callers.Bound(listener.Bounds{Connections: bounds.Callers, Receive: bounds.Receive, Memory: g.options.Memory})
	callers.OnClosed(func(closed listener.Closed) {
		// http.Server does not recover from panics there.
		g.options.Faults.Run("record", func() { g.closings.record(closed) })
	})
	readyServer := g.newServer(g.readyHandler())
	group.Go(func() error {
		g.awaitInitialState(workCtx)
		return callers.Serve(requestServer)
	})
	group.Go(func() error { return g.serveProbes(readyServer, listeners.Ready, bounds.Probes) })
	if listeners.Metrics != nil {
		metricsServer := g.newServer(g.metricsHandler())
		group.Go(func() error { return g.serveProbes(metricsServer, listeners.Metrics, bounds.Probes) })
		context.AfterFunc(workCtx, func() { _ = metricsServer.Close() })
	}
	group.Go(func() error { return g.follower.Run(workCtx) })
	group.Go(func() error { return g.removeUnseenUpstreams(workCtx) })
	if g.releases != nil {
		group.Go(func() error { return g.releases.Run(workCtx) })
	}
	if g.crashRecord != nil {
		group.Go(func() error { return g.crashRecord.Run(workCtx) })
	}
	if listeners.Peers != nil {
		// Not known until peers answer.
		g.balancer.SetGateways(0)
		if err := g.servePeers(workCtx, group, listeners.Peers, bounds.Handshakes); err != nil {
			return err
		}
	}
	if g.watcher != nil {
		group.Go(func() error { return g.watcher.Run(workCtx) })
	}
	if g.rollout != nil {
		group.Go(func() error { return g.rollout.Run(workCtx, ctx) })
	}
	g.options.Logger.Info("gateway started", zap.Stringer("address", listeners.Requests.Addr()))
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			g.drain(callers, endRequests)
		case <-workCtx.Done():
		}
		_ = requestServer.Close()
		return readyServer.Close()
	})
	err := group.Wait()
	g.upstreamClient.Close()
	g.peerClients.Close()
	g.options.Logger.Info("gateway stopped", zap.Error(err))
	return err
}

// awaitInitialState waits up to startupWait for the first routing and list of
// upstreams. Connections that arrive meanwhile wait in the listener's queue,
// which is faster for them than being rejected and retrying.
func (g *Gateway) awaitInitialState(ctx context.Context) {
	deadline := g.options.Clock.Now().Add(startupWait)
	for ctx.Err() == nil && g.options.Clock.Now().Before(deadline) {
		if table, _ := g.catalog.Routing(); table != nil && !g.catalog.UpstreamsConfirmedAt().IsZero() {
			return
		}
		g.options.Clock.Sleep(startupPollInterval)
	}
}

// callerLimits returns the limits of callers' connections now: those of the routing, and
// defaults for what it does not declare.
func (g *Gateway) callerLimits() listener.Limits {
	limits := defaultCallerLimits
	table, _ := g.catalog.Routing()
	if table == nil {
		return limits
	}
	declared := table.Limits()
	if declared.HeaderBytes > 0 {
		limits.HeaderBytes = declared.HeaderBytes
	}
	if declared.HeaderTimeout > 0 {
		limits.HeaderTimeout = declared.HeaderTimeout
	}
	if declared.IdleTimeout > 0 {
		limits.IdleTimeout = declared.IdleTimeout
	}
	return limits
}

// serveProbes serves a port for probes or metrics. It is bounded like that of callers, because
// clients that the operators don't control may reach it.
func (g *Gateway) serveProbes(server *http.Server, port net.Listener, connections int) error {
	probes := listener.New(port, func() listener.Limits { return defaultCallerLimits })
	probes.Bound(listener.Bounds{Connections: connections, Memory: g.options.Memory})
	if err := probes.Serve(server); err != nil {
		return &Error{Op: "serve", Kind: KindServe, Err: err}
	}
	return nil
}

func (g *Gateway) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		MaxHeaderBytes: defaultMaxHeaderBytes,
		ErrorLog:       g.newErrorLog(),
	}
}

// newErrorLog returns a logger for the errors of an http.Server, most of which
// are panics of handlers.
func (g *Gateway) newErrorLog() *log.Logger {
	std, err := zap.NewStdLogAt(g.options.Logger, zap.WarnLevel)
	if err != nil {
		return zap.NewStdLog(g.options.Logger)
	}
	return std
}

// drain reports not ready and keeps serving until the load balancer has
// noticed, then lets open requests finish within the stop grace period. At its end,
// those without an answer are answered with an error.
func (g *Gateway) drain(callers *listener.Listener, endRequests context.CancelCauseFunc) {
	startedAt := g.options.Clock.Now()
	g.stoppedAt.Store(&startedAt)
	g.leaving.Store(true)
	g.options.Logger.Info("shutdown started, reporting not ready")
	g.options.Clock.Sleep(shutdownDelay)
	remaining := g.options.Settings.Bounds.StopGrace - shutdownMargin - g.options.Clock.Since(startedAt)
	callers.Drain(remaining, func() {
		g.options.Logger.Warn("open requests cut off at the end of the stop grace period")
		endRequests(forward.ErrStopping)
	})
}

// removeUnseenUpstreams periodically removes the balancer's records of
// upstreams that it has not considered for upstreamRetention.
func (g *Gateway) removeUnseenUpstreams(ctx context.Context) error {
	for comfreyworks.Sleep(ctx, g.options.Clock, upstreamRetention) {
		g.options.Faults.Run("clean-up", func() { g.balancer.RemoveUnseen(upstreamRetention) })
	}
	return nil
}
