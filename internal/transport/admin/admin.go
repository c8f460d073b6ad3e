// Package admin serves health, readiness and metrics of a process.
//
// # Usage
//
//	admin.Register(router, admin.Options{Meter: m, Ready: func() string { return "" }, Logger: logger})
//	err := admin.Serve(ctx, listener, options)
package admin

import (
	"context"
	"errors"
	"net"
	"net/http"
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

// Options configures the pages.
type Options struct {
	Meter *meter.Meter
	// Ready returns why the process should get no new work, or nothing.
	Ready  func() string
	Logger *zap.Logger
}

// Register adds the pages to a router.
func Register(router *mux.Router, options Options) {
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	}).Methods(http.MethodGet)
	router.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := options.Ready(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	}).Methods(http.MethodGet)
	router.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		if err := options.Meter.Write(w); err != nil {
			options.Logger.Debug("metrics not written", zap.Error(err))
		}
	}).Methods(http.MethodGet)
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
