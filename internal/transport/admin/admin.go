// Package admin serves health, readiness and metrics of a process.
//
// # Usage
//
//	admin.Register(router, admin.Options{Meter: m, Ready: func() string { return "" }, Logger: logger})
//	err := admin.Serve(ctx, listener, options)
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/state/meter"
)

// Kind classifies the errors of this package.
type Kind string

// KindServe means that serving failed.
const KindServe Kind = "serve"

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 5 * time.Second

// revisionPath is where the configuration in force is shown.
const revisionPath = "/revision"

// revisionPage is the body of that page.
type revisionPage struct {
	Revision comfreyworks.ConfigRevision `json:"revision"`
}

// FetchRevision asks another process for its configuration in force.
func FetchRevision(ctx context.Context, address netip.AddrPort) (comfreyworks.ConfigRevision, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+revisionPath, nil)
	if err != nil {
		return 0, &Error{Op: "ask", Kind: KindServe, Err: err}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, &Error{Op: "ask", Kind: KindServe, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	var page revisionPage
	if err := json.NewDecoder(resp.Body).Decode(&page); err != nil {
		return 0, &Error{Op: "ask", Kind: KindServe, Err: err}
	}
	return page.Revision, nil
}

// Options configures the pages.
type Options struct {
	Meter *meter.Meter
	// Revision returns the configuration in force.
	Revision func() comfreyworks.ConfigRevision
	// Ready returns why the process should get no new work, or nothing.
	Ready  func() string
	Logger *zap.Logger
}

// Register adds the pages to a router.
func Register(router *mux.Router, options Options) {
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	}).Methods(http.MethodGet)
	router.Handle("/readyz", ReadyHandler(options.Ready)).Methods(http.MethodGet)
	router.HandleFunc(revisionPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(revisionPage{Revision: options.Revision()})
	}).Methods(http.MethodGet)
	router.Handle("/metrics", MetricsHandler(options.Meter, options.Logger)).Methods(http.MethodGet)
}

// ReadyHandler answers with what keeps a process from new work, or that it is
// ready.
func ReadyHandler(notReady func() string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if reason := notReady(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
}

// MetricsHandler shows the metrics.
func MetricsHandler(m *meter.Meter, logger *zap.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		if err := m.Write(w); err != nil {
			logger.Debug("metrics not written", zap.Error(err))
		}
	})
}

// Serve serves the pages alone until ctx ends.
func Serve(ctx context.Context, listener net.Listener, options Options) error {
	router := mux.NewRouter()
	Register(router, options)
	server := &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return &Error{Op: "serve", Kind: KindServe, Err: err}
	}
	return nil
}
