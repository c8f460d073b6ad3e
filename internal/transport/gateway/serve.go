package gateway

import (
	"net/http"
	"slices"
	"strconv"

	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/coordination/forward"
	"comfreyworks/internal/state/meter"
)

// handler serves callers.
func (g *Gateway) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received := g.options.Clock.Now()
		if g.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		request, rejected := g.admit(w, r, received)
		if rejected != nil {
			g.reject(w, r, rejected)
			g.logRejection(r, rejected)
			return
		}
		s := &sink{writer: w, controller: http.NewResponseController(w), id: request.Message.ID, names: &g.options.Settings.Headers}
		outcome := g.forwarder.Forward(r.Context(), request, s)
		g.logOutcome(request, &outcome)
		g.answer(w, r, &outcome)
	})
}

// answer sends the final answer of a request that the sink did not get.
func (g *Gateway) answer(w http.ResponseWriter, r *http.Request, outcome *forward.Outcome) {
	switch outcome.Verdict {
	case forward.Delivered:
	case forward.Broken, forward.Abandoned:
		// Closes the connection, so that the answer does not look complete.
		panic(http.ErrAbortHandler)
	case forward.Refused:
		g.reject(w, r, &rejection{http.StatusServiceUnavailable, outcome.Reason, outcome.RetryAfter})
	case forward.TimedOut:
		g.reject(w, r, &rejection{status: http.StatusGatewayTimeout, reason: outcome.Reason})
	default:
		g.reject(w, r, &rejection{status: http.StatusBadGateway, reason: outcome.Reason})
	}
}

func (g *Gateway) reject(w http.ResponseWriter, r *http.Request, rejected *rejection) {
	names := &g.options.Settings.Headers
	if id := r.Header.Get(names.RequestID); id != "" {
		w.Header().Set(names.RequestID, id)
	}
	if rejected.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(rejected.retryAfter.Seconds(), 'f', 3, 64))
	}
	http.Error(w, rejected.reason, rejected.status)
}

func (g *Gateway) logRejection(r *http.Request, rejected *rejection) {
	table, provenAt := g.catalog.Routing()
	fields := []zap.Field{
		zap.String("request", r.Header.Get(g.options.Settings.Headers.RequestID)),
		zap.Int("status", rejected.status), zap.String("reason", rejected.reason),
	}
	if table != nil {
		fields = append(fields, zap.Uint64("routing", uint64(table.Version())), zap.Duration("routing-age", g.options.Clock.Since(provenAt)))
	}
	g.options.Logger.Info("rejected", fields...)
	g.options.Meter.Count("comfrey_rejected_total", meter.Labels{Class: comfreyworks.Class(strconv.Itoa(rejected.status))}, 1)
}

func (g *Gateway) logOutcome(request *forward.Request, outcome *forward.Outcome) {
	took := g.options.Clock.Since(request.Received)
	labels := meter.Labels{Class: comfreyworks.Class(request.Route.Name)}
	if request.Workspace != nil {
		labels.Workspace = request.Workspace.Name
	}
	g.options.Logger.Info("request",
		zap.String("request", string(request.Message.ID)),
		zap.String("route", request.Route.Name),
		zap.String("workspace", string(labels.Workspace)),
		zap.String("verdict", string(outcome.Verdict)),
		zap.Int("status", outcome.Status),
		zap.String("reason", outcome.Reason),
		zap.Int("sends", outcome.Sends), zap.Int("runs", outcome.Runs),
		zap.Duration("allowed", request.Deadline.Sub(request.Received)),
		zap.Duration("took", took),
	)
	g.options.Meter.Count("comfrey_requests_"+string(outcome.Verdict)+"_total", labels, 1)
	g.options.Meter.Observe("comfrey_request_seconds", labels, took)
}

// sink passes an answer on to the caller.
type sink struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	id         comfreyworks.RequestID
	names      *comfreyworks.HeaderNames
}

var _ forward.Sink = (*sink)(nil)

// Begin implements forward.Sink.
func (s *sink) Begin(status int, header http.Header, length int64) {
	target := s.writer.Header()
	for name, values := range header {
		if !slices.Contains(hopHeaders, name) {
			target[name] = slices.Clone(values)
		}
	}
	target.Set(s.names.RequestID, string(s.id))
	if length >= 0 {
		target.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	s.writer.WriteHeader(status)
}

// Write implements forward.Sink.
func (s *sink) Write(p []byte) (int, error) {
	n, err := s.writer.Write(p)
	if err != nil {
		return n, err
	}
	return n, s.controller.Flush()
}
