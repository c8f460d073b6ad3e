// Package entry implements the HTTP server that callers send their requests to.
// It has an OpenAI-compatible API for models and forwards calls to plain services.
//
// An entry keeps no state that must survive a restart. It authenticates the
// workspace, computes the prompt's prefix chain, lets the dispatcher choose an
// upstream and relays the answer.
//
// # Usage
//
//	e, err := entry.New(entry.Options{Instance: instance, Deployment: deployment, ...})
//	err = e.Run(ctx, listener)
//
// Run serves until ctx ends. It then reports that it is not ready, waits until
// the load balancer has noticed, lets open requests finish within the deployment's
// stop grace period and returns.
package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"comfreyworks"
	"comfreyworks/internal/coordination/configuration"
	"comfreyworks/internal/coordination/dispatch"
	"comfreyworks/internal/coordination/membership"
	"comfreyworks/internal/protocol/listener"
	"comfreyworks/internal/protocol/logservice"
	"comfreyworks/internal/protocol/peer"
	"comfreyworks/internal/state/memory"
	"comfreyworks/internal/state/meter"
	"comfreyworks/internal/state/revision"
	"comfreyworks/internal/state/settings"
	"comfreyworks/internal/transport/admin"
)

// Kind classifies the errors of this package.
type Kind string

// KindServe means that serving failed.
const KindServe Kind = "serve"

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

// maxHeaderBytes limits the size of a request's header.
const maxHeaderBytes = 32 << 10

// Options configures an Entry.
type Options struct {
	Instance   *settings.Instance
	Deployment *settings.Deployment
	Clock      comfreyworks.Clock
	Logger     *zap.Logger
	Meter      *meter.Meter
	// HTTP is the client for calls to the platform.
	HTTP *http.Client
	// Memory accounts for the requests of callers; nil means that it has no limit.
	Memory *memory.Budget
	// Dial opens connections to peers; nil means TCP.
	Dial peer.Dial
	// Chooser chooses upstreams instead of the prefix directory. If it is nil, the
	// directory is used.
	Chooser comfreyworks.UpstreamChooser
}

// Entry is the HTTP server for callers' requests.
type Entry struct {
	options    Options
	clients    *peer.Clients
	view       *membership.View
	dispatcher *dispatch.Dispatcher
	config     *configuration.Follower
	keys       atomic.Pointer[keyring]
	leaving    atomic.Bool
	// stop is set when the entry stops accepting connections.
	stop atomic.Pointer[stopTimes]
	// serveCtx ends when the entry stops serving; kill cancels it.
	serveCtx context.Context
	kill     context.CancelFunc
}

// New returns an entry that does nothing until Run is called.
func New(options Options) *Entry {
	e := &Entry{options: options}
	e.keys.Store(newKeyring(options.Deployment.Workspaces))
	e.serveCtx, e.kill = context.WithCancel(context.Background())
	e.clients = peer.NewClients(peer.ClientOptions{
		Secret: options.Instance.PeerSecret,
		Clock:  options.Clock,
		Dial:   options.Dial,
		Limits: peer.MessageLimits{Memory: options.Memory},
	})
	client := logservice.NewClient(options.Instance.Platform, options.HTTP)
	e.view = membership.New(membership.Options{
		List: client, Clock: options.Clock, Logger: options.Logger, OnChange: e.clients.Retain,
	})
	e.config = configuration.New(configuration.Options{
		Instance:  options.Instance.ID,
		Initial:   revision.FromDeployment(options.Deployment),
		Log:       client,
		Clock:     options.Clock,
		Logger:    options.Logger,
		Peers:     e.view.All,
		NewClient: func(i comfreyworks.Instance) comfreyworks.ConfigPeer { return e.clients.To(i.Address) },
		OnChange: func(document *revision.Document) {
			e.keys.Store(newKeyring(document.Deployment().Workspaces))
		},
	})
	e.dispatcher = dispatch.New(dispatch.Options{
		View:     e.view,
		Sidecars: e.clients,
		Clock:    options.Clock,
		Logger:   options.Logger,

		Chooser: options.Chooser,
	})
	return e
}

// Run serves on a listener until ctx ends and then shuts down as described in the
// package comment.
func (e *Entry) Run(ctx context.Context, requests net.Listener) error {
	defer e.kill()
	e.view.Refresh(ctx)
	e.config.Bootstrap(ctx)
	requestCtx, endRequests := context.WithCancelCause(e.serveCtx)
	defer endRequests(nil)
	server := e.newServer(requestCtx)
	callers := listener.New(requests, e.callerLimits)
	bounds := memory.ForConnections(int64(e.options.Instance.MemoryLimit), 0)
	callers.Bound(listener.Bounds{Connections: bounds.Callers, Receive: bounds.Receive, Memory: e.options.Memory})
	group, workCtx := errgroup.WithContext(e.serveCtx)
	group.Go(func() error { return e.view.Run(workCtx) })
	group.Go(func() error { return e.config.Run(workCtx) })
	group.Go(func() error {
		if err := callers.Serve(server); err != nil {
			return &Error{Op: "run", Kind: KindServe, Err: err}
		}
		return nil
	})
	e.options.Logger.Info("entry started", zap.Stringer("address", requests.Addr()))
	group.Go(func() error {
		defer e.kill()
		select {
		case <-ctx.Done():
			err := e.drain(callers, endRequests)
			_ = server.Close()
			return err
		case <-workCtx.Done():
			return server.Close()
		}
	})
	err := group.Wait()
	e.clients.Close()
	return err
}

func (e *Entry) newServer(ctx context.Context) *http.Server {
	return &http.Server{
		Handler:     e.Handler(),
		ErrorLog:    zap.NewStdLog(e.options.Logger.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
}

// callerLimits returns the limits of callers' connections now.
func (e *Entry) callerLimits() listener.Limits {
	callers := e.deployment().Callers
	return listener.Limits{
		HeaderBytes: maxHeaderBytes, HeaderTimeout: callers.HeaderTimeout,
		BodyTimeout: callers.BodyTimeout, IdleTimeout: callers.IdleTimeout,
	}
}

func (e *Entry) revision() comfreyworks.ConfigRevision { return e.config.Current().Number() }

// deployment returns the deployment settings in force.
func (e *Entry) deployment() *settings.Deployment { return e.config.Current().Deployment() }

// Kill stops the entry at once, as a crash would.
func (e *Entry) Kill() { e.kill() }

// isKilled reports whether the entry was stopped by Kill, or has ended.
func (e *Entry) isKilled() bool { return e.serveCtx.Err() != nil }

// errStopping ends the requests that are open at the end of the stop grace period.
var errStopping = errors.New("open requests cut off at the end of the stop grace period")

// lateRequestDelay is how long after a stopping entry has stopped accepting connections it
// still begins requests that it might have to cut off. A caller that opened its connection
// before has sent its request by then.
const lateRequestDelay = 600 * time.Millisecond

// stopTimes holds the times of a stop: from when on requests are late, and when those that
// are open are ended.
type stopTimes struct{ lateFrom, endsAt time.Time }

// isLate reports whether a request was complete so late in a stop that it might be cut off
// at the end.
func (e *Entry) isLate(c caller) bool {
	stop, now := e.stop.Load(), e.options.Clock.Now()
	return stop != nil && !now.Before(stop.lateFrom) && now.Add(c.class.Deadline).After(stop.endsAt)
}

// drain reports not ready, keeps serving until the load balancer has noticed and
// then lets open requests finish within the stop grace period. At its end, those
// without an answer are answered with an error.
func (e *Entry) drain(callers *listener.Listener, endRequests context.CancelCauseFunc) error {
	limits := e.deployment().Callers
	e.leaving.Store(true)
	e.options.Logger.Info("shutdown started, reporting not ready")
	e.options.Clock.Sleep(limits.StopNotice)
	grace := max(limits.StopGrace-listener.LastAnswerTime, 0)
	now := e.options.Clock.Now()
	e.stop.Store(&stopTimes{lateFrom: now.Add(lateRequestDelay), endsAt: now.Add(grace)})
	if !callers.Drain(grace, func() { endRequests(errStopping) }) {
		e.options.Logger.Warn("shutdown finished", zap.Error(errStopping))
		return &Error{Op: "drain", Kind: KindServe, Err: errStopping}
	}
	e.options.Logger.Info("shutdown finished")
	return nil
}

// announceClose adds to the header of a response that a stopping entry closes the
// connection.
func (e *Entry) announceClose(header http.Header) {
	if e.leaving.Load() {
		header.Set("Connection", "close")
	}
}

// Handler returns the handler for all paths of the HTTP interface.
func (e *Entry) Handler() http.Handler {
	router := mux.NewRouter()
	router.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, notFoundError(r.URL.Path))
	})
	router.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, methodNotAllowedError(r.Method, r.URL.Path))
	})
	admin.Register(router, admin.Options{
		Meter: e.options.Meter, Revision: e.revision, NotReadyReason: e.notReadyReason, Logger: e.options.Logger,
	})
	router.HandleFunc("/v1/models", e.authenticate(e.serveModels)).Methods(http.MethodGet)
	router.HandleFunc("/v1/chat/completions", e.authenticate(e.serveChatCompletion)).Methods(http.MethodPost)
	router.HandleFunc("/v1/completions", e.authenticate(e.serveTextCompletion)).Methods(http.MethodPost)
	router.HandleFunc("/services/{pool}{path:/.*}", e.authenticate(e.serveService))
	return e.withResponseWriter(router)
}

// notReadyReason returns why the load balancer should send no new requests, or ""
// if this entry is ready.
func (e *Entry) notReadyReason() string {
	switch {
	case e.leaving.Load():
		return "leaving"
	case !e.view.Loaded():
		return "no list of instances yet"
	default:
		return ""
	}
}
