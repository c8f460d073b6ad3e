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
	// eventPoll is how often a waiting reader of events looks again.
	eventPoll = 10 * time.Millisecond
	// maxEventWait bounds the wait of a reader of events.
	maxEventWait = 5 * time.Second
)

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	router := mux.NewRouter()
	router.Use(e.refuseWhenDown)
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

// refuseWhenDown breaks connections while the engine is down, as a dead
// process would.
func (e *Engine) refuseWhenDown(next http.Handler) http.Handler {
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
	if !e.serves(body.Weights) {
		http.Error(w, "other weights are loaded", http.StatusConflict)
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

func (e *Engine) serves(weights comfreyworks.WeightsVersion) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return weights == "" || e.weights == "" || weights == e.weights
}

func (e *Engine) streamJob(w http.ResponseWriter, r *http.Request, j *job) {
	flush(w)
	for {
		select {
		case piece, open := <-j.output:
			if !open {
				e.endStream(w, j)
				return
			}
			writeEvent(w, upstream.CompletionChunk{Index: piece.Index, Text: piece.Text})
			flush(w)
		case <-r.Context().Done():
			e.cancel(j)
			return
		}
	}
}

func (e *Engine) endStream(w http.ResponseWriter, j *job) {
	usage, ok := e.result(j)
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
		case <-e.options.Clock.After(eventPoll):
		case <-r.Context().Done():
			return
		}
	}
}

// serveExport puts the first blocks of a request's prompt into the store.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	order, ok := e.keepOrder(w, r)
	if !ok {
		return
	}
	blocks := e.exportable(order)
	if !e.options.Kept.Put(order.Key, blocks) {
		http.Error(w, "the store does not answer", http.StatusBadGateway)
		return
	}
	writeJSON(w, upstream.KeepAnswer{Tokens: len(blocks) * blockTokens})
}

// exportable returns the blocks of an export that the engine still holds.
func (e *Engine) exportable(order upstream.KeepOrder) []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	prompt, _ := e.prompts.Get(order.Request)
	wanted := prompt[:min(order.Tokens/blockTokens, len(prompt))]
	return wanted[:e.core.cache.peek(wanted)]
}

// serveImport takes a prefix from the store. The blocks that the engine lacks
// take their time.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	order, ok := e.keepOrder(w, r)
	if !ok {
		return
	}
	blocks, ok := e.options.Kept.Get(order.Key)
	if !ok {
		http.Error(w, "the store does not answer", http.StatusBadGateway)
		return
	}
	e.mu.Lock()
	missing := len(blocks) - e.core.cache.peek(blocks)
	e.mu.Unlock()
	e.options.Clock.Sleep(time.Duration(missing) * e.options.Rates.ImportTime)
	e.mu.Lock()
	if removed := e.core.cache.store(blocks); len(removed) > 0 {
		e.core.emit(comfreyworks.CacheEvent{Kind: comfreyworks.BlocksRemoved, Blocks: removed})
		e.publish()
	}
	e.mu.Unlock()
	writeJSON(w, upstream.KeepAnswer{Tokens: len(blocks) * blockTokens})
}

func (e *Engine) keepOrder(w http.ResponseWriter, r *http.Request) (upstream.KeepOrder, bool) {
	var order upstream.KeepOrder
	if e.options.Kept == nil {
		http.Error(w, "no store of kept cache", http.StatusNotImplemented)
		return order, false
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return order, false
	}
	return order, true
}

// serveOrder loads other weights. The cache is emptied, as a new incarnation.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order upstream.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.acceptFencing(order.Fencing) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	if e.options.Store != nil {
		if err := e.options.Store.Fetch(r.Context(), order.Model, order.Weights); err != nil {
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

func (e *Engine) acceptFencing(fencing uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksFencing && fencing <= e.fencing {
		return false
	}
	e.fencing = max(e.fencing, fencing)
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
