package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/coordination/dispatch"
	"comfreyworks/internal/protocol/completion"
	"comfreyworks/internal/state/prefix"
	"comfreyworks/internal/state/settings"
)

func (e *Entry) serveModels(w http.ResponseWriter, _ *http.Request, _ caller) {
	list := completion.ModelList{Object: "list"}
	for _, model := range e.deployment().Models {
		list.Data = append(list.Data, completion.Model{ID: model.Name, Object: "model", OwnedBy: e.deployment().Name})
	}
	writeJSON(w, http.StatusOK, list)
}

func (e *Entry) serveChat(w http.ResponseWriter, r *http.Request, c caller) {
	e.serveCompletion(w, r, c, completion.ParseChat)
}

func (e *Entry) serveText(w http.ResponseWriter, r *http.Request, c caller) {
	e.serveCompletion(w, r, c, completion.ParseText)
}

func (e *Entry) serveCompletion(w http.ResponseWriter, r *http.Request, c caller, parse func([]byte) (*completion.Call, error)) {
	start := e.options.Clock.Now()
	body, ok := e.readBody(w, r)
	if !ok {
		return
	}
	call, err := parse(body)
	if err != nil {
		writeProblem(w, parseProblem(err))
		return
	}
	model := e.deployment().Model(call.Model)
	if model == nil {
		writeProblem(w, problemModel(call.Model))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.class.Deadline)
	defer cancel()
	job := e.job(call, model, c, start)
	if last := r.Header.Get(HeaderLastEventID); last != "" && call.Stream {
		job.Request.ID, job.Resume, err = parseEventID(e.options.Instance.PeerSecret, c.workspace, last)
		if err != nil {
			writeProblem(w, problemBody("invalid_value", HeaderLastEventID+": "+err.Error()))
			return
		}
	}
	answer := &answer{
		entry: e, w: w, call: call, caller: c,
		id: job.Request.ID, created: start, start: start,
	}
	if job.Resume != nil {
		answer.tokens = job.Resume.Delivered
		answer.place = job.Resume.Place
	}
	e.options.Meter.Count("comfrey_requests_total", c.labels(), 1)
	result, err := e.dispatcher.Generate(ctx, job, answer.emit)
	e.record(c, result, err)
	answer.end(r.Context(), result, err)
}

// readBody reads a body within the size limit, or answers why not. The time
// limit on reading ends with the body: while the answer is written the server
// still reads, to notice that the caller leaves, and would take the passing of
// the limit for just that.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	limit := int64(e.deployment().Callers.MaxBody)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeProblem(w, problemTooLarge(limit))
		return nil, false
	case err != nil:
		writeProblem(w, problemBody("unreadable_body", "the body could not be read"))
		return nil, false
	}
	if err := http.NewResponseController(w).SetReadDeadline(time.Time{}); err != nil {
		e.options.Logger.Debug("read deadline not cleared", zap.Error(err))
	}
	return body, true
}

func parseProblem(err error) problem {
	var e *completion.Error
	if errors.As(err, &e) && e.Kind == completion.KindMalformed {
		return problemBody("malformed_json", e.Err.Error())
	}
	if errors.As(err, &e) {
		return problemBody("invalid_value", e.Err.Error())
	}
	return problemBody("invalid_value", err.Error())
}

func (e *Entry) job(call *completion.Call, model *settings.Model, c caller, start time.Time) dispatch.Job {
	seed := prefix.Seed{
		Workspace: c.workspace,
		Model:     model.Name,
		Weights:   model.Weights,
		Adapter:   model.Adapter,
	}
	return dispatch.Job{
		Workspace: c.workspace,
		Class:     c.class.Name,
		Pool:      e.deployment().PoolOf(model.Name),
		Chain:     prefix.Compute(seed, call.Parts, model.BytesPerToken),
		Deadline:  start.Add(c.class.Deadline),
		Request: comfreyworks.GenerateRequest{
			ID:        newRequestID(e.options.Instance.PeerSecret, c.workspace),
			Model:     model.Name,
			Weights:   model.Weights,
			Adapter:   model.Adapter,
			CacheSalt: string(c.workspace),
			Prompt:    strings.Join(call.Parts, ""),
			MaxTokens: call.MaxTokens,
			Priority:  c.class.Priority,
		},
	}
}

// missTolerance is how many tokens fewer than expected an engine may find
// without anything being wrong: it caches whole blocks only.
const missTolerance = 64

// record counts how a request ended.
func (e *Entry) record(c caller, result dispatch.Result, err error) {
	m := e.options.Meter
	labels := c.labels()
	m.Count("comfrey_attempts_total", labels, result.Attempts)
	m.Observe("comfrey_queue_wait_seconds", labels, result.QueueWait)
	var failure *dispatch.Error
	if errors.As(err, &failure) {
		m.Count("comfrey_failed_"+strings.ReplaceAll(string(failure.Kind), " ", "_")+"_total", labels, 1)
		return
	}
	m.Count("comfrey_prompt_tokens_total", labels, result.Usage.PromptTokens)
	m.Count("comfrey_cached_tokens_total", labels, result.Usage.CachedTokens)
	m.Count("comfrey_computed_tokens_total", labels, result.Usage.PromptTokens-result.Usage.CachedTokens)
	m.Count("comfrey_missed_tokens_total", labels, max(result.ExpectedTokens-result.Usage.CachedTokens-missTolerance, 0))
	m.Count("comfrey_completion_tokens_total", labels, result.Usage.CompletionTokens)
}
