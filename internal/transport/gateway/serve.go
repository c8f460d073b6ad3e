package gateway

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/coordination/forward"
	"comfreyworks/internal/protocol/listener"
	"comfreyworks/internal/state/memory"
	"comfreyworks/internal/state/meter"
)

// earlyAnswerWait is how long a rejection waits for the rest of a body, so that the
// connection can be kept. Else it is closed after the answer.
const earlyAnswerWait = 100 * time.Millisecond

// reasonPanic is the reason of requests that end because of a panic.
const reasonPanic = "panic"

// requestHandler handles callers' requests.
func (g *Gateway) requestHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := g.options.Memory.Hold(memory.Body, func() { _ = http.NewResponseController(w).SetReadDeadline(time.Now()) })
		defer body.Release()
		request, rejected := g.admit(w, r, body)
		if rejected != nil {
			if r.Body != http.NoBody && r.Context().Err() == nil {
				// The server reads the rest of a body before it writes the header.
				_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(earlyAnswerWait))
			}
			g.reject(w, r, rejected)
			g.options.Faults.Run("record", func() { g.recordRejection(r, rejected) })
			return
		}
		s := &sink{
			writer: w, controller: http.NewResponseController(w), id: request.Message.ID,
			names:        &g.options.Settings.Headers,
			announceIdle: func(header http.Header) { g.announceIdle(r.Context(), header) },
		}
		outcome := g.forward(r, request, s)
		g.options.Faults.Run("record", func() {
			if outcome.Runs == 0 {
				g.usage.giveBack(request.Workspace, request.Usage)
			}
			g.recordOutcome(request, &outcome, listener.CallerOf(r.Context()))
		})
		g.respond(w, r, &outcome, s.began)
	})
}

// admit returns the request to forward, or the rejection to respond with.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request, hold *memory.Hold) (request *forward.Request, rejected *rejection) {
	received := g.options.Clock.Now()
	admitted := g.options.Faults.Run("request", func() {
		request, rejected = g.prepareRequest(w, r, hold, received)
		if rejected == nil && g.isLate(request) {
			g.usage.giveBack(request.Workspace, request.Usage)
			rejected = &rejection{http.StatusServiceUnavailable, "stopping", staleRetryAfter}
		}
	})
	if !admitted {
		rejected = &rejection{http.StatusServiceUnavailable, reasonPanic, staleRetryAfter}
	}
	return request, rejected
}

// forward forwards a request. If that panics, an upstream may have run it.
func (g *Gateway) forward(r *http.Request, request *forward.Request, s *sink) (outcome forward.Outcome) {
	if g.options.Faults.Run("request", func() { outcome = g.forwarder.Forward(r.Context(), request, s) }) {
		return outcome
	}
	if s.began {
		return forward.Outcome{Verdict: forward.Broken, Reason: reasonPanic, Runs: 1}
	}
	// What the sink received does not belong to the answer of the gateway.
	clear(s.writer.Header())
	return forward.Outcome{Verdict: forward.Failed, Reason: reasonPanic, Runs: 1}
}

// isLate reports whether a request was complete so late in a stop that it might be cut
// off at the end.
func (g *Gateway) isLate(request *forward.Request) bool {
	stoppedAt := g.stoppedAt.Load()
	if stoppedAt == nil || g.options.Clock.Since(*stoppedAt) < lateRequest {
		return false
	}
	return request.Deadline.After(stoppedAt.Add(g.options.Settings.Bounds.StopGrace - shutdownMargin))
}

// announceIdle adds to the header of a response how long its caller may keep the
// connection idle, or that a stopping gateway closes it. It must be called when the response
// begins, because the request may have begun before a change.
func (g *Gateway) announceIdle(ctx context.Context, header http.Header) {
	// Once a read has failed, the server cancels later requests on the connection too.
	if g.leaving.Load() || ctx.Err() != nil {
		header.Set("Connection", "close")
		return
	}
	if seconds := int(listener.CallerOf(ctx).AnnounceIdle() / time.Second); seconds > 0 {
		header.Set("Keep-Alive", "timeout="+strconv.Itoa(seconds))
	}
}

// respond sends an error response if the sink has received no response, and
// closes the connection if the response was cut off. A caller that seems to have left
// may have closed only its sending side.
func (g *Gateway) respond(w http.ResponseWriter, r *http.Request, outcome *forward.Outcome, began bool) {
	switch outcome.Verdict {
	case forward.Delivered:
	case forward.Broken, forward.Abandoned:
		switch {
		case began:
			abort(w, r)
		case outcome.Runs == 0:
			g.reject(w, r, &rejection{http.StatusServiceUnavailable, outcome.Reason, staleRetryAfter})
		default:
			g.reject(w, r, &rejection{status: http.StatusBadGateway, reason: outcome.Reason})
		}
	case forward.Refused:
		g.reject(w, r, &rejection{http.StatusServiceUnavailable, outcome.Reason, outcome.RetryAfter})
	case forward.Quarantined:
		status := http.StatusServiceUnavailable
		if outcome.RetryAfter == 0 {
			// A status that callers do not repeat.
			status = http.StatusBadRequest
		}
		g.reject(w, r, &rejection{status, outcome.Reason, outcome.RetryAfter})
	case forward.TimedOut:
		g.reject(w, r, &rejection{status: http.StatusGatewayTimeout, reason: outcome.Reason})
	default:
		g.reject(w, r, &rejection{status: http.StatusBadGateway, reason: outcome.Reason})
	}
}

// abort closes the connection, so that the response does not look complete. To an
// HTTP/1.0 caller, only a reset tells a response that was cut off from a complete one
// without a length.
func abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			if c, ok := conn.(interface{ SetLinger(sec int) error }); ok {
				_ = c.SetLinger(0)
			}
			_ = conn.Close()
		}
	}
	panic(http.ErrAbortHandler)
}

// reject writes an error response.
func (g *Gateway) reject(w http.ResponseWriter, r *http.Request, rejected *rejection) {
	g.announceIdle(r.Context(), w.Header())
	names := &g.options.Settings.Headers
	if id := r.Header.Get(names.RequestID); id != "" {
		w.Header().Set(names.RequestID, id)
	}
	if rejected.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(rejected.retryAfter.Seconds(), 'f', 3, 64))
	}
	http.Error(w, rejected.reason, rejected.status)
}

// recordRejection logs and counts a rejection.
func (g *Gateway) recordRejection(r *http.Request, rejected *rejection) {
	table, confirmedAt := g.catalog.Routing()
	fields := []zap.Field{
		zap.String("request", r.Header.Get(g.options.Settings.Headers.RequestID)),
		zap.Int("status", rejected.status), zap.String("reason", rejected.reason),
	}
	if table != nil {
		fields = append(fields, zap.Uint64("routing", uint64(table.Version())), zap.Duration("routing-age", g.options.Clock.Since(confirmedAt)))
	}
	g.options.Logger.Info("request rejected", fields...)
	g.options.Meter.Add("comfrey_rejected_total", meter.Labels{Class: comfreyworks.Class(strconv.Itoa(rejected.status))}, 1)
}

// recordOutcome logs and counts a forwarded request.
func (g *Gateway) recordOutcome(request *forward.Request, outcome *forward.Outcome, caller listener.Caller) {
	elapsed := g.options.Clock.Since(request.Received)
	labels := meter.Labels{Class: comfreyworks.Class(request.Route.Name)}
	if request.Workspace != nil {
		labels.Workspace = request.Workspace.Name
	}
	fields := []zap.Field{
		zap.String("request", string(request.Message.ID)), zap.String("request-key", forward.FormatSuspectKey(outcome.RequestKey)),
		zap.String("route", request.Route.Name),
		zap.String("workspace", string(labels.Workspace)),
		zap.String("verdict", string(outcome.Verdict)),
		zap.Int("status", outcome.Status),
		zap.String("reason", outcome.Reason),
		zap.Int("sends", outcome.Sends), zap.Int("runs", outcome.Runs),
		zap.Duration("allowed", request.Deadline.Sub(request.Received)),
		zap.Duration("took", elapsed),
	}
	if outcome.Verdict == forward.Abandoned || outcome.Verdict == forward.Broken {
		fields = append(fields, zap.String("caller-left", string(caller.Departure())), zap.Int64("written", caller.Written()))
	}
	g.options.Logger.Info("request finished", fields...)
	if outcome.Suspect != 0 {
		g.recordQuarantine(request, outcome)
	}
	g.options.Meter.Add("comfrey_requests_"+string(outcome.Verdict)+"_total", labels, 1)
	g.options.Meter.Observe("comfrey_request_seconds", labels, elapsed)
}

// sink writes an upstream's response to the caller.
type sink struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	id         comfreyworks.RequestID
	names      *comfreyworks.HeaderNames
	// announceIdle adds to a header how long the connection may be kept.
	announceIdle func(http.Header)
	// began means that a part of the response may have reached the caller.
	began bool
}

var _ forward.Sink = (*sink)(nil)

// Begin implements forward.Sink.
func (s *sink) Begin(status int, header http.Header, length int64) {
	responseHeader := s.writer.Header()
	for name, values := range header {
		if !slices.Contains(hopByHopHeaders, name) {
			responseHeader[name] = slices.Clone(values)
		}
	}
	responseHeader.Set(s.names.RequestID, string(s.id))
	if length >= 0 {
		responseHeader.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	s.announceIdle(responseHeader)
	s.writer.WriteHeader(status)
	s.began = true
}

// Write implements forward.Sink.
func (s *sink) Write(p []byte) (int, error) {
	n, err := s.writer.Write(p)
	if err != nil {
		return n, err
	}
	return n, s.controller.Flush()
}
