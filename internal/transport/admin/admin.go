// Package admin serves the health, readiness, configuration revision and metrics
// of a process over HTTP.
//
// # Usage
//
//	options := admin.Options{Meter: m, Revision: revision, NotReadyReason: notReadyReason, Logger: logger}
//	admin.Register(router, options)
//	err := admin.Serve(ctx, listener, options)
//
// Register adds the endpoints to the router of a process that also serves other
// requests; Serve serves them alone, on a listener of their own.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/protocol/httpclient"
	"comfreyworks/internal/state/meter"
)

// Kind classifies the errors of this package.
type Kind string

// KindServe means that serving the endpoints, or fetching from another
// process's endpoint, failed.
const KindServe Kind = "serve"

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

// readHeaderTimeout limits the time to read the header of a request.
const readHeaderTimeout = 5 * time.Second

// maxRevisionBytes is the maximum length of the response with a revision.
const maxRevisionBytes = 4 << 10

// revisionPath is the path of the endpoint that returns the configuration
// revision in force.
const revisionPath = "/revision"

// revisionResponse is the JSON body that revisionPath returns.
type revisionResponse struct {
	Revision comfreyworks.ConfigRevision `json:"revision"`
}

// revisionClient is the client of FetchRevision.
var revisionClient = httpclient.New(http.DefaultClient)

// FetchRevision returns the configuration revision that another process has in
// force.
func FetchRevision(ctx context.Context, address netip.AddrPort) (comfreyworks.ConfigRevision, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+revisionPath, nil)
	if err != nil {
		return 0, &Error{Op: "ask", Kind: KindServe, Err: err}
	}
	resp, err := revisionClient.Do(req)
	if err != nil {
		return 0, &Error{Op: "ask", Kind: KindServe, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	var response revisionResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxRevisionBytes)).Decode(&response); err != nil {
		return 0, &Error{Op: "ask", Kind: KindServe, Err: err}
	}
	return response.Revision, nil
}

// Options configures the endpoints.
type Options struct {
	Meter *meter.Meter
	// Revision returns the configuration revision in force.
	Revision func() comfreyworks.ConfigRevision
	// NotReadyReason returns why the process should receive no new requests, or ""
	// if it is ready.
	NotReadyReason func() string
	Logger         *zap.Logger
}

// Register adds the endpoints to a router.
func Register(router *mux.Router, options Options) {
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	}).Methods(http.MethodGet)
	router.Handle("/readyz", ReadyHandler(options.NotReadyReason)).Methods(http.MethodGet)
	router.HandleFunc(revisionPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(revisionResponse{Revision: options.Revision()})
	}).Methods(http.MethodGet)
	router.Handle("/metrics", MetricsHandler(options.Meter, options.Logger)).Methods(http.MethodGet)
}

// ReadyHandler responds with 503 and the reason that notReadyReason returns, or
// with 200 if the reason is empty.
func ReadyHandler(notReadyReason func() string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if reason := notReadyReason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
}

// MetricsHandler serves the metrics in the Prometheus text format.
func MetricsHandler(m *meter.Meter, logger *zap.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		if err := m.Write(w); err != nil {
			logger.Debug("metrics response not written", zap.Error(err))
		}
	})
}

// Serve serves only the endpoints until ctx ends.
func Serve(ctx context.Context, listener net.Listener, options Options) error {
	router := mux.NewRouter()
	Register(router, options)
	server := &http.Server{Handler: router, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return &Error{Op: "serve", Kind: KindServe, Err: err}
	}
	return nil
}
