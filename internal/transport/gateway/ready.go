package gateway

import (
	"net/http"

	"comfreyworks/internal/transport/admin"
)

// readyHandler answers the balancer.
func (g *Gateway) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+g.options.Settings.ReadyPath, admin.ReadyHandler(g.notReady))
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
	mux.Handle("GET /metrics", admin.MetricsHandler(g.options.Meter, g.options.Logger))
	return mux
}
