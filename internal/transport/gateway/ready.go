package gateway

import (
	"net/http"

	"comfreyworks/internal/transport/admin"
)

// readyHandler answers the load balancer's readiness probes.
func (g *Gateway) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+g.options.Settings.ReadyPath, admin.ReadyHandler(g.notReadyReason))
	return mux
}

// notReadyReason returns why the load balancer should send no new requests, or
// "" if this gateway is ready.
func (g *Gateway) notReadyReason() string {
	table, confirmedAt := g.catalog.Routing()
	switch {
	case g.leaving.Load():
		return "leaving"
	case table == nil:
		return "no routing yet"
	case g.catalog.UpstreamsConfirmedAt().IsZero():
		return "no list of upstreams yet"
	case table.RequiresKeys() && g.keysExpired(confirmedAt):
		return "keys not proven"
	default:
		return ""
	}
}

// metricsHandler serves the metrics, the parts of prompts under quarantine and the usage
// of workspaces with limits.
func (g *Gateway) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", admin.MetricsHandler(g.options.Meter, g.options.Logger))
	mux.HandleFunc("GET /quarantine", g.listSuspicions)
	mux.HandleFunc("DELETE /quarantine", g.liftQuarantine)
	mux.HandleFunc("GET /usage", g.usage.list)
	return mux
}
