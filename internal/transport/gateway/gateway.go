// Package gateway is a process that takes callers' requests by host and path
// and passes them, body and answer unchanged, to upstreams that it reaches
// directly.
//
// # Usage
//
//	g := gateway.New(gateway.Options{Settings: settings, Declarations: source, Upstreams: source, ...})
//	err := g.Run(ctx, listeners)
//
// Run serves until ctx ends. It then reports that it is not ready, goes on
// serving until the balancer has noticed, answers what it has read and returns
// within the stop grace.
package gateway

import (
	"context"
	"errors"
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
	"comfreyworks/internal/coordination/follow"
	"comfreyworks/internal/coordination/forward"
	"comfreyworks/internal/coordination/peering"
	"comfreyworks/internal/coordination/placement"
	"comfreyworks/internal/coordination/rollout"
	"comfreyworks/internal/coordination/watch"
	"comfreyworks/internal/protocol/exchange"
	"comfreyworks/internal/protocol/peer"
	"comfreyworks/internal/state/catalog"
	"comfreyworks/internal/state/holdings"
	"comfreyworks/internal/state/meter"
	"comfreyworks/internal/state/retrybudget"
)

// Kind classifies the errors of this package.
type Kind string

// KindServe means that serving failed.
const KindServe Kind = "serve"

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

const (
	// stopNotice is how long a stopping gateway goes on taking connections: the
	// balancer asks every second and gives up after two misses.
	stopNotice = 2300 * time.Millisecond
	// stopMargin is what is left of the stop grace when everything is closed.
	stopMargin = 250 * time.Millisecond
	// startWait is how long a new process waits for its first beliefs before it
	// takes requests, a few answers of a store that works; startPoll is the
	// pause between two looks.
	startWait = 250 * time.Millisecond
	startPoll = 5 * time.Millisecond
	// forgetAfter is how long an upstream is remembered that is not listed.
	forgetAfter = 30 * time.Second
	// readers is how many gateways ask the sources for all, candidates how many
	// watch the lease closely, so that the loss of one is not felt.
	readers    = 2
	candidates = 3
	// unseenGateways is for how many gateways more than were ever seen the retry
	// budget is divided, and leastRetryShares the least number it is divided by.
	unseenGateways   = 2
	leastRetryShares = 6
	// headerTimeout and idleTimeout bound callers before a routing is known.
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes bounds the header of a request at the server; the routing
	// may set less.
	maxHeaderBytes = 64 << 10
)

// Options configures a Gateway.
type Options struct {
	Settings     comfreyworks.GatewaySettings
	Declarations comfreyworks.DeclarationSource
	Upstreams    comfreyworks.UpstreamSource
	// Leases and Loader bring engines to the weights that are named; without
	// them nobody does.
	Leases comfreyworks.LeaseLog
	Loader comfreyworks.WeightsLoader
	// Registry is where gateways find each other beside the seeds; it may be
	// nil.
	Registry comfreyworks.GatewayRegistry
	// Caches tells what engines hold; nil means that only this process's own
	// requests do.
	Caches comfreyworks.CacheSource
	Clock  comfreyworks.Clock
	Logger *zap.Logger
	Meter  *meter.Meter
}

// Listeners are where a gateway serves.
type Listeners struct {
	Requests net.Listener
	Ready    net.Listener
	Metrics  net.Listener
	// Peers takes calls of other gateways; nil means that there are none.
	Peers net.Listener
}

// Gateway is one process that takes callers' requests.
type Gateway struct {
	options   Options
	catalog   *catalog.Catalog
	balancer  *balance.Balancer
	forwarder *forward.Forwarder
	follower  *follow.Follower
	client    *exchange.Client
	rollout   *rollout.Rollout
	holdings  *holdings.Index
	watcher   *watch.Watcher
	peering   *peering.Peering
	peers     *peer.Clients
	leaving   atomic.Bool
	startedAt time.Time
}

// New returns a gateway that does nothing until Run is called.
func New(options Options) *Gateway {
	g := &Gateway{options: options, startedAt: options.Clock.Now()}
	g.catalog = catalog.New(options.Clock)
	g.holdings = holdings.New()
	g.balancer = balance.New(balance.Options{
		Catalog: g.catalog, Holdings: g.holdings,
		Placer: placement.Comfrey{RecomputeWeight: placement.DefaultRecomputeWeight},
		Clock:  options.Clock, Zone: options.Settings.Zone,
		WeightsBound: options.Settings.Bounds.SupersededWeights,
	})
	g.client = exchange.NewClient(exchange.Options{
		Clock: options.Clock, Headers: options.Settings.Headers,
		Opened: func() { options.Meter.Count("comfrey_upstream_connections_total", meter.Labels{}, 1) },
	})
	g.forwarder = forward.New(forward.Options{
		Catalog: g.catalog, Balancer: g.balancer, Exchanger: g.client, Clock: options.Clock,
		Logger: options.Logger, RetryLimit: g.retryLimit,
	})
	g.follower = follow.New(follow.Options{
		Declarations: options.Declarations, Upstreams: options.Upstreams, Catalog: g.catalog,
		Reader: func() bool { return g.peering.Chosen("read", readers) },
		Clock:  options.Clock, Logger: options.Logger, Meter: options.Meter,
	})
	g.peers = peer.NewClients(peer.ClientOptions{Clock: options.Clock})
	g.peering = peering.New(peering.Options{
		Self:  comfreyworks.GatewayPeer{ID: options.Settings.ID, Address: options.Settings.PeerListen},
		Seeds: options.Settings.Peers, Registry: options.Registry,
		Link:    func(address netip.AddrPort) comfreyworks.GatewayClient { return g.peers.To(address) },
		Catalog: g.catalog, Balancer: g.balancer, Clock: options.Clock, Logger: options.Logger,
	})
	if options.Caches != nil {
		g.watcher = watch.New(watch.Options{
			Source: options.Caches, Index: g.holdings, Targets: g.caches,
			Followers: func() int { return len(g.peering.Live()) },
			Clock:     options.Clock, Logger: options.Logger,
		})
	}
	if options.Leases != nil && options.Loader != nil {
		g.rollout = rollout.New(rollout.Options{
			Self: options.Settings.ID, Lease: options.Settings.Bounds.LeaseDuration,
			Catalog: g.catalog, Balancer: g.balancer, Announce: g.peering.Announce, Log: options.Leases, Loader: options.Loader,
			Candidate: func() bool { return g.peering.Chosen("rollout", candidates) },
			Clock:     options.Clock, Logger: options.Logger, Meter: options.Meter,
		})
	}
	return g
}

// caches are the live engines and the stores whose caches this gateway follows.
func (g *Gateway) caches() []watch.Target {
	table, _ := g.catalog.Routing()
	if table == nil {
		return nil
	}
	var targets []watch.Target
	for _, pool := range table.Declared().Pools {
		if len(pool.Models) == 0 {
			continue
		}
		for _, upstream := range g.catalog.Upstreams(pool.Name) {
			if upstream.State == comfreyworks.InstanceLive {
				targets = append(targets, watch.Target{ID: upstream.ID, Address: upstream.Address, Readers: pool.CacheReaders})
			}
		}
	}
	for _, store := range g.catalog.Stores() {
		targets = append(targets, watch.Target{ID: store.ID, Address: store.Address, Readers: store.Readers})
	}
	return targets
}

// retryLimit is this gateway's share of the retry budget. The slack grows from
// nothing over the first window: the process that was here before may just have
// spent it.
func (g *Gateway) retryLimit() retrybudget.Limit {
	bounds := &g.options.Settings.Bounds
	limit := retrybudget.Limit{Ratio: bounds.RetryRatio, Slack: float64(bounds.RetrySlack), Window: bounds.RetryWindow}
	limit = limit.Share(max(g.peering.MostSeen()+unseenGateways, leastRetryShares))
	if age := g.options.Clock.Since(g.startedAt); age < bounds.RetryWindow {
		limit.Slack *= float64(age) / float64(bounds.RetryWindow)
	}
	return limit
}

// Run serves until ctx ends and open requests are done.
func (g *Gateway) Run(ctx context.Context, listeners Listeners) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, work := errgroup.WithContext(work)
	requests := g.server(g.handler())
	pages := g.server(g.readyHandler())
	group.Go(func() error {
		g.awaitBeliefs(work)
		g.limitCallers(requests)
		return serve(requests, listeners.Requests)
	})
	group.Go(func() error { return serve(pages, listeners.Ready) })
	if listeners.Metrics != nil {
		metrics := g.server(g.metricsHandler())
		group.Go(func() error { return serve(metrics, listeners.Metrics) })
		context.AfterFunc(work, func() { _ = metrics.Close() })
	}
	group.Go(func() error { return g.follower.Run(work) })
	group.Go(func() error { return g.tidy(work) })
	if listeners.Peers != nil {
		if err := g.servePeers(work, group, listeners.Peers); err != nil {
			return err
		}
	}
	if g.watcher != nil {
		group.Go(func() error { return g.watcher.Run(work) })
	}
	if g.rollout != nil {
		group.Go(func() error { return g.rollout.Run(work, ctx) })
	}
	g.options.Logger.Info("started", zap.Stringer("address", listeners.Requests.Addr()))
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			g.drain(requests)
		case <-work.Done():
			_ = requests.Close()
		}
		return pages.Close()
	})
	err := group.Wait()
	g.client.Close()
	g.peers.Close()
	g.options.Logger.Info("stopped", zap.Error(err))
	return err
}

// awaitBeliefs waits shortly for the first routing and upstreams. Connections
// that come meanwhile wait too, which takes less time than coming again.
func (g *Gateway) awaitBeliefs(ctx context.Context) {
	until := g.options.Clock.Now().Add(startWait)
	for ctx.Err() == nil && g.options.Clock.Now().Before(until) {
		if table, _ := g.catalog.Routing(); table != nil && !g.catalog.UpstreamsProven().IsZero() {
			return
		}
		g.options.Clock.Sleep(startPoll)
	}
}

// limitCallers sets what the routing says of callers. The limits of a server
// hold from its start on; a later change takes a restart.
func (g *Gateway) limitCallers(server *http.Server) {
	table, _ := g.catalog.Routing()
	if table == nil {
		return
	}
	limits := table.Limits()
	if limits.HeaderBytes > 0 {
		server.MaxHeaderBytes = limits.HeaderBytes
	}
	if limits.HeaderTimeout > 0 {
		server.ReadHeaderTimeout = limits.HeaderTimeout
	}
	if limits.IdleTimeout > 0 {
		server.IdleTimeout = limits.IdleTimeout
	}
}

func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return &Error{Op: "serve", Kind: KindServe, Err: err}
	}
	return nil
}

func (g *Gateway) server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       g.serverLog(),
	}
}

// serverLog takes what the HTTP server says: panics of handlers, mostly.
func (g *Gateway) serverLog() *log.Logger {
	std, err := zap.NewStdLogAt(g.options.Logger, zap.WarnLevel)
	if err != nil {
		return zap.NewStdLog(g.options.Logger)
	}
	return std
}

// drain keeps serving until the balancer has noticed, then lets open requests
// finish within the stop grace.
func (g *Gateway) drain(server *http.Server) {
	startedAt := g.options.Clock.Now()
	g.leaving.Store(true)
	g.options.Logger.Info("leaving")
	g.options.Clock.Sleep(stopNotice)
	left := g.options.Settings.Bounds.StopGrace - stopMargin - g.options.Clock.Since(startedAt)
	grace, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	if err := server.Shutdown(grace); err != nil {
		g.options.Logger.Warn("requests cut at the end of the stop grace", zap.Error(err))
		_ = server.Close()
	}
}

// tidy forgets upstreams that are long gone.
func (g *Gateway) tidy(ctx context.Context) error {
	for comfreyworks.Sleep(ctx, g.options.Clock, forgetAfter) {
		g.balancer.Forget(forgetAfter)
	}
	return nil
}
