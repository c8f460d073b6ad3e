package entry

import (
	"context"
	"fmt"
	"net/http"

	"github.com/gorilla/mux"

	"comfreyworks"
	"comfreyworks/internal/coordination/claim"
	"comfreyworks/internal/protocol/httpclient"
	"comfreyworks/internal/protocol/upstream"
	"comfreyworks/internal/state/settings"
)

// serveService forwards a call to a plain service and reports whether it ran.
func (e *Entry) serveService(w http.ResponseWriter, r *http.Request, c caller) {
	pool := e.deployment().Pool(comfreyworks.Pool(mux.Vars(r)["pool"]))
	if pool == nil || pool.Kind != settings.PoolService {
		writeError(w, unknownServiceError(mux.Vars(r)["pool"]))
		return
	}
	path := mux.Vars(r)["path"]
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	repeatable := pool.Repeatable(r.Method, path)
	key := r.Header.Get(upstream.HeaderIdempotencyKey)
	if key != "" && !repeatable {
		if _, err := claim.CheckKey(key, e.options.Clock.Now()); err != nil {
			writeError(w, badRequestError("invalid_key", upstream.HeaderIdempotencyKey+": expected a UUID of version 7: "+err.Error()))
			return
		}
	}
	hold := e.holdBody(w)
	defer hold.Release()
	body, ok := e.readBody(w, r, c, hold)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.class.Deadline)
	defer cancel()
	e.options.Meter.Add("comfrey_calls_total", c.labels(), 1)
	outcome := e.dispatcher.Call(ctx, pool, comfreyworks.ServiceAttempt{
		Workspace:  c.workspace,
		Class:      c.class.Name,
		Repeatable: repeatable,
		Remaining:  c.class.Deadline,
		Call: comfreyworks.ServiceCall{
			Method:         r.Method,
			Path:           path,
			ContentType:    r.Header.Get("Content-Type"),
			Body:           body,
			IdempotencyKey: key,
		},
	})
	e.options.Meter.Add("comfrey_calls_"+metricName(outcome.Run)+"_total", c.labels(), 1)
	writeOutcome(w, outcome)
}

// metricName returns the run state as it appears in metric names, in which
// hyphens are not allowed.
func metricName(run comfreyworks.RunState) string {
	if run == comfreyworks.RunStateNotRun {
		return "not_run"
	}
	return string(run)
}

func writeOutcome(w http.ResponseWriter, outcome comfreyworks.ServiceOutcome) {
	switch {
	case outcome.Conflict:
		writeError(w, keyConflictError())
	case outcome.Run == comfreyworks.RunStateRan && !httpclient.IsFinalStatus(outcome.Answer.Status):
		// Outcomes that were recorded before services' answers were checked can be replayed.
		writeError(w, runUnknownError(fmt.Sprintf("answer with status %03d", outcome.Answer.Status)))
	case outcome.Run == comfreyworks.RunStateRan:
		w.Header().Set(HeaderRun, string(outcome.Run))
		if outcome.Answer.ContentType != "" {
			w.Header().Set("Content-Type", outcome.Answer.ContentType)
		}
		w.WriteHeader(outcome.Answer.Status)
		_, _ = w.Write(outcome.Answer.Body)
	case outcome.Run == comfreyworks.RunStateNotRun && outcome.Refusal != nil:
		writeError(w, refusedError(*outcome.Refusal))
	default:
		writeError(w, runUnknownError(outcome.Detail))
	}
}
