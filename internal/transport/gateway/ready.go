package gateway

import (
	"net/http"

	"go.uber.org/zap"
)

// readyHandler answers the balancer.
func (g *Gateway) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+g.options.Settings.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if reason := g.notReady(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	return mux
}

// notReady returns why the balancer should send nothing new here, or nothing.
func (g *Gateway) notReady() string {
	table, provenAt := g.catalog.Routing()
	switch {
	case g.leaving.Load():
		return "leaving"
	case table == nil:
		return "no routing yet"
	case g.catalog.UpstreamsProven().IsZero():
		return "no list of upstreams yet"
	case table.NeedsKeys() && g.keysExpired(provenAt):
		return "keys not proven"
	default:
		return ""
	}
}

// metricsHandler shows the metrics.
func (g *Gateway) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		if err := g.options.Meter.Write(w); err != nil {
			g.options.Logger.Debug("metrics not written", zap.Error(err))
		}
	})
	return mux
}
