package entry

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/coordination/dispatch"
	"comfreyworks/internal/protocol/completion"
	"comfreyworks/internal/state/memory"
	"comfreyworks/internal/state/prefix"
	"comfreyworks/internal/state/settings"
)

// leavingRetryAfter is the Retry-After of requests that a stopping entry has not run; the
// load balancer sends them to another entry.
const leavingRetryAfter = time.Second

// memoryRetryAfter is the Retry-After of requests whose body there is no memory for.
const memoryRetryAfter = time.Second

func (e *Entry) serveModels(w http.ResponseWriter, _ *http.Request, _ caller) {
	list := completion.ModelList{Object: "list"}
	for _, model := range e.deployment().Models {
		list.Data = append(list.Data, completion.Model{ID: model.Name, Object: "model", OwnedBy: e.deployment().Name})
	}
	writeJSON(w, http.StatusOK, list)
}

func (e *Entry) serveChatCompletion(w http.ResponseWriter, r *http.Request, c caller) {
	e.serveCompletion(w, r, c, completion.ParseChat)
}

func (e *Entry) serveTextCompletion(w http.ResponseWriter, r *http.Request, c caller) {
	e.serveCompletion(w, r, c, completion.ParseText)
}

func (e *Entry) serveCompletion(w http.ResponseWriter, r *http.Request, c caller, parse func([]byte) (*completion.Request, error)) {
	start := e.options.Clock.Now()
	hold := e.holdBody(w)
	defer hold.Release()
	body, ok := e.readBody(w, r, c, hold)
	if !ok {
		return
	}
	request, err := parse(body)
	if err != nil {
		writeError(w, errorFromParse(err))
		return
	}
	model := e.deployment().Model(request.Model)
	if model == nil {
		writeError(w, unknownModelError(request.Model))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.class.Deadline)
	defer cancel()
	job := e.newJob(request, model, c, start)
	if last := r.Header.Get(HeaderLastEventID); last != "" && request.Stream {
		job.Request.ID, job.Resume, err = parseEventID(e.options.Instance.PeerSecret, c.workspace, last)
		if err != nil {
			writeError(w, badRequestError("invalid_value", HeaderLastEventID+": "+err.Error()))
			return
		}
	}
	writer := &completionWriter{
		entry: e, w: w, request: request, caller: c,
		id: job.Request.ID, created: start, start: start,
	}
	if job.Resume != nil {
		writer.tokens = job.Resume.Delivered
		writer.origin = job.Resume.Origin
	}
	e.options.Meter.Add("comfrey_requests_total", c.labels(), 1)
	result, err := e.dispatcher.Generate(ctx, job, writer.writeTokens)
	e.recordResult(c, result, err)
	writer.finish(result, err)
}

// isStopping reports whether a request is ended because the entry stops.
func isStopping(requestCtx context.Context) bool {
	return errors.Is(context.Cause(requestCtx), errStopping)
}

// holdBody returns a hold for the body of a request.
func (e *Entry) holdBody(w http.ResponseWriter) *memory.Hold {
	return e.options.Memory.Hold(memory.Body, func() { _ = http.NewResponseController(w).SetReadDeadline(time.Now()) })
}

// readBody reads the body within the size limit, until the entry ends its requests. If
// that fails, or the request is late in a stop, it responds with an error and returns false. It clears the read deadline after the body, because
// the server keeps reading while the answer is written, to detect that the caller
// disconnects, and would treat an expired deadline as a disconnect.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, c caller, hold *memory.Hold) ([]byte, bool) {
	limit := int64(e.deployment().Callers.MaxBody)
	if e.options.Memory != nil {
		limit = min(limit, e.options.Memory.Largest()-1)
	}
	if r.ContentLength > limit {
		writeError(w, bodyTooLargeError(limit))
		return nil, false
	}
	controller := http.NewResponseController(w)
	stop := context.AfterFunc(r.Context(), func() { _ = controller.SetReadDeadline(time.Now()) })
	defer stop()
	expected := r.ContentLength
	if expected < 0 {
		expected = limit
	}
	body, err := hold.ReadAll(r.Context(), http.MaxBytesReader(w, r.Body, limit), expected)
	hold.Complete()
	var tooLarge *http.MaxBytesError
	switch {
	case hold.Evicted() || errors.Is(err, memory.ErrFull):
		writeError(w, refusedError(comfreyworks.Refusal{Reason: comfreyworks.RefusedMemory, RetryAfter: memoryRetryAfter}))
		return nil, false
	case errors.As(err, &tooLarge):
		writeError(w, bodyTooLargeError(limit))
		return nil, false
	case err != nil && isStopping(r.Context()), err == nil && e.isLate(c):
		writeError(w, refusedError(comfreyworks.Refusal{Reason: comfreyworks.RefusedLeaving, RetryAfter: leavingRetryAfter}))
		return nil, false
	case err != nil:
		writeError(w, badRequestError("unreadable_body", "the body could not be read"))
		return nil, false
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		e.options.Logger.Debug("read deadline of the connection not cleared", zap.Error(err))
	}
	return body, true
}

// errorFromParse returns the error response for an error of package completion.
func errorFromParse(err error) apiError {
	var e *completion.Error
	if errors.As(err, &e) && e.Kind == completion.KindMalformed {
		return badRequestError("malformed_json", e.Err.Error())
	}
	if errors.As(err, &e) {
		return badRequestError("invalid_value", e.Err.Error())
	}
	return badRequestError("invalid_value", err.Error())
}

// newJob returns the dispatcher's job for a parsed request.
func (e *Entry) newJob(request *completion.Request, model *settings.Model, c caller, start time.Time) dispatch.Job {
	seed := prefix.Seed{
		Workspace: c.workspace,
		Model:     model.Name,
		Weights:   model.Weights,
		Adapter:   model.Adapter,
	}
	return dispatch.Job{
		Workspace: c.workspace,
		Class:     c.class.Name,
		Pool:      e.deployment().PoolForModel(model.Name),
		Chain:     prefix.Compute(seed, request.PromptParts, model.BytesPerToken),
		Deadline:  start.Add(c.class.Deadline),
		Request: comfreyworks.GenerateRequest{
			ID:        newRequestID(e.options.Instance.PeerSecret, c.workspace),
			Model:     model.Name,
			Weights:   model.Weights,
			Adapter:   model.Adapter,
			CacheSalt: string(c.workspace),
			Prompt:    strings.Join(request.PromptParts, ""),
			MaxTokens: request.MaxTokens,
			Priority:  c.class.Priority,
		},
	}
}

// missToleranceTokens is how many cached tokens fewer than expected do not count
// as a miss. Engines cache only whole blocks, so a small difference is normal.
const missToleranceTokens = 64

// recordResult updates the metrics with the result of a request.
func (e *Entry) recordResult(c caller, result dispatch.Result, err error) {
	m := e.options.Meter
	labels := c.labels()
	m.Add("comfrey_attempts_total", labels, result.Attempts)
	m.Observe("comfrey_queue_wait_seconds", labels, result.QueueWait)
	var failure *dispatch.Error
	if errors.As(err, &failure) {
		m.Add("comfrey_failed_"+strings.ReplaceAll(string(failure.Kind), " ", "_")+"_total", labels, 1)
		return
	}
	m.Add("comfrey_prompt_tokens_total", labels, result.Usage.PromptTokens)
	m.Add("comfrey_cached_tokens_total", labels, result.Usage.CachedTokens)
	m.Add("comfrey_computed_tokens_total", labels, result.Usage.PromptTokens-result.Usage.CachedTokens)
	m.Add("comfrey_missed_tokens_total", labels, max(result.ExpectedTokens-result.Usage.CachedTokens-missToleranceTokens, 0))
	m.Add("comfrey_completion_tokens_total", labels, result.Usage.CompletionTokens)
}
