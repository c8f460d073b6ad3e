package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"comfreyworks"
	"comfreyworks/internal/protocol/upstream"
)

const (
	// eventPollInterval is the interval at which a waiting read checks for new
	// cache events.
	eventPollInterval = 10 * time.Millisecond
	// maxEventWait is the maximum time that a read of cache events waits.
	maxEventWait = 5 * time.Second
)

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	router := mux.NewRouter()
	router.Use(e.abortWhenDown)
	router.HandleFunc(upstream.PathCompletions, e.serveCompletion).Methods(http.MethodPost)
	router.HandleFunc(upstream.PathEvents, e.serveEvents).Methods(http.MethodGet)
	router.HandleFunc(upstream.PathSnapshot, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, e.snapshot())
	}).Methods(http.MethodGet)
	router.HandleFunc(upstream.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, e.currentLoad())
	}).Methods(http.MethodGet)
	router.HandleFunc(upstream.PathExport, e.serveExport).Methods(http.MethodPost)
	router.HandleFunc(upstream.PathImport, e.serveImport).Methods(http.MethodPost)
	router.HandleFunc(upstream.PathOrders, e.serveOrder).Methods(http.MethodPost)
	return router
}

// abortWhenDown aborts connections while the engine is down, as if its process
// had died.
func (e *Engine) abortWhenDown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		down := e.isDown()
		e.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var body upstream.CompletionRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.servesWeights(body.Weights) {
		http.Error(w, "requested weights are not loaded", http.StatusConflict)
		return
	}
	j := e.submit(comfreyworks.GenerateRequest{
		ID:         body.RequestID,
		Model:      body.Model,
		CacheSalt:  body.CacheSalt,
		Prompt:     body.Prompt,
		MaxTokens:  body.MaxTokens,
		Priority:   body.Priority,
		ResumeFrom: body.ResumeFrom,
	})
	if j == nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	e.streamJob(w, r, j)
}

func (e *Engine) servesWeights(weights comfreyworks.WeightsVersion) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return weights == "" || e.weights == "" || weights == e.weights
}

func (e *Engine) streamJob(w http.ResponseWriter, r *http.Request, j *job) {
	flush(w)
	for {
		select {
		case token, ok := <-j.output:
			if !ok {
				e.endStream(w, j)
				return
			}
			writeEvent(w, upstream.CompletionChunk{Index: token.Index, Text: token.Text})
			flush(w)
		case <-r.Context().Done():
			e.cancel(j)
			return
		}
	}
}

func (e *Engine) endStream(w http.ResponseWriter, j *job) {
	usage, ok := e.recordResult(j)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	writeEvent(w, upstream.CompletionChunk{Index: usage.CompletionTokens, Usage: &upstream.CompletionUsage{
		PromptTokens:     usage.PromptTokens,
		CompletionTokens: usage.CompletionTokens,
		Details:          upstream.UsageDetails{CachedTokens: usage.CachedTokens},
	}})
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
	flush(w)
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	deadline := e.options.Clock.Now().Add(min(wait, maxEventWait))
	for {
		batch := e.visibleEvents(after)
		if len(batch.Events) > 0 || !e.options.Clock.Now().Before(deadline) {
			writeJSON(w, batch)
			return
		}
		select {
		case <-e.options.Clock.After(eventPollInterval):
		case <-r.Context().Done():
			return
		}
	}
}

// serveExport copies the leading blocks of a request's prompt into the cache
// store.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	request, ok := e.decodeOffloadRequest(w, r)
	if !ok {
		return
	}
	blocks := e.exportableBlocks(request)
	if !e.options.CacheStore.Put(request.Key, blocks) {
		http.Error(w, "cache store does not respond", http.StatusBadGateway)
		return
	}
	writeJSON(w, upstream.OffloadResponse{Tokens: len(blocks) * blockTokens})
}

// exportableBlocks returns the requested leading blocks that are still cached.
func (e *Engine) exportableBlocks(request upstream.OffloadRequest) []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	prompt, _ := e.recentPrompts.Get(request.Request)
	wanted := prompt[:min(request.Tokens/blockTokens, len(prompt))]
	return wanted[:e.scheduler.cache.peek(wanted)]
}

// serveImport copies a prefix from the cache store into the prefix cache. This
// takes Rates.ImportTime for each block that is not cached yet.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	request, ok := e.decodeOffloadRequest(w, r)
	if !ok {
		return
	}
	blocks, ok := e.options.CacheStore.Get(request.Key)
	if !ok {
		http.Error(w, "cache store does not respond", http.StatusBadGateway)
		return
	}
	e.mu.Lock()
	missing := len(blocks) - e.scheduler.cache.peek(blocks)
	e.mu.Unlock()
	e.options.Clock.Sleep(time.Duration(missing) * e.options.Rates.ImportTime)
	e.mu.Lock()
	if removed := e.scheduler.cache.add(blocks); len(removed) > 0 {
		e.scheduler.emit(comfreyworks.CacheEvent{Kind: comfreyworks.BlocksRemoved, Blocks: removed})
		e.publish()
	}
	e.mu.Unlock()
	writeJSON(w, upstream.OffloadResponse{Tokens: len(blocks) * blockTokens})
}

func (e *Engine) decodeOffloadRequest(w http.ResponseWriter, r *http.Request) (upstream.OffloadRequest, bool) {
	var request upstream.OffloadRequest
	if e.options.CacheStore == nil {
		http.Error(w, "engine has no cache store", http.StatusNotImplemented)
		return request, false
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return request, false
	}
	return request, true
}

// serveOrder loads other weights and restarts the engine with an empty cache.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order upstream.WeightsOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.acceptFencingToken(order.Fencing) {
		http.Error(w, "fencing token is not greater than the last one", http.StatusConflict)
		return
	}
	if e.options.WeightsStore != nil {
		if err := e.options.WeightsStore.Fetch(r.Context(), order.Model, order.Weights); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
	}
	e.mu.Lock()
	e.restart()
	e.weights = order.Weights
	e.mu.Unlock()
	writeJSON(w, order)
}

func (e *Engine) acceptFencingToken(token uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksFencing && token <= e.fencingToken {
		return false
	}
	e.fencingToken = max(e.fencingToken, token)
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func writeEvent(w http.ResponseWriter, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write([]byte("data: "))
	_, _ = w.Write(text)
	_, _ = w.Write([]byte("\n\n"))
}

func flush(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
}
