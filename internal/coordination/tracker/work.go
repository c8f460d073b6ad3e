package tracker

import (
	"time"

	"comfreyworks"
)

// Work is one request at the engine, from admission to its end.
type Work struct {
	tracker  *Tracker
	id       comfreyworks.RequestID
	chain    comfreyworks.PrefixChain
	uncached int
	since    time.Time
	// prefill is how long the engine worked on the prompt, by all we know.
	prefill time.Duration
	started bool
	ended   bool
}

// Begin records that a request is about to wait for or go to the engine.
func (t *Tracker) Begin(id comfreyworks.RequestID, chain comfreyworks.PrefixChain) *Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	predicted := 0
	if t.index != nil {
		predicted = t.index.Expect(id, chain)
	}
	predicted = max(predicted, t.comingTokens(chain))
	w := &Work{
		tracker:  t,
		id:       id,
		chain:    chain,
		uncached: max(chain.Tokens()-predicted, 0),
		since:    t.options.Clock.Now(),
	}
	t.work[w] = struct{}{}
	for _, level := range chain {
		t.coming[level.Hash]++
	}
	t.running++
	t.touch()
	if w.uncached >= urgentTokens {
		signal(t.urgent)
	}
	return w
}

// CachedTokens is how many of the prompt's tokens the engine should find.
func (w *Work) CachedTokens() int {
	w.tracker.mu.Lock()
	defer w.tracker.mu.Unlock()
	return max(w.chain.Tokens()-w.uncached, 0)
}

// Cached corrects how many of the prompt's tokens the engine will find.
func (w *Work) Cached(tokens int) {
	t := w.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	w.uncached = max(w.chain.Tokens()-tokens, 0)
	t.touch()
}

// FirstToken records that the prompt has been computed.
func (w *Work) FirstToken() {
	t := w.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Clock.Now()
	t.heardAt = now
	if w.started {
		return
	}
	w.started = true
	w.prefill = now.Sub(t.busySince(w))
	t.lastPrefill = now
	t.forget(w)
	t.touch()
}

// comingTokens returns how many tokens of a chain a request ahead is about to
// store. The mutex must be held.
func (t *Tracker) comingTokens(chain comfreyworks.PrefixChain) int {
	for i := len(chain) - 1; i >= 0; i-- {
		if t.coming[chain[i].Hash] > 0 {
			return chain[i].Tokens
		}
	}
	return 0
}

// forget takes a request off the queue. The mutex must be held.
func (t *Tracker) forget(w *Work) {
	if _, queued := t.work[w]; !queued {
		return
	}
	delete(t.work, w)
	for _, level := range w.chain {
		t.coming[level.Hash]--
		if t.coming[level.Hash] == 0 {
			delete(t.coming, level.Hash)
		}
	}
}

// End records that the request has left the engine. The usage counts only if
// the answer is complete.
func (w *Work) End(usage comfreyworks.Usage, complete bool) {
	t := w.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if w.ended {
		return
	}
	w.ended = true
	t.forget(w)
	t.running--
	if complete && t.index != nil {
		t.index.Observe(w.id, usage.CachedTokens)
		t.speed.add(usage.PromptTokens-usage.CachedTokens, w.prefill)
	}
	t.touch()
}

// busySince returns when the engine began to work on a request: it computes one
// prompt after the other, so when the last one ended or, if that was later,
// when this one came. The mutex must be held.
func (t *Tracker) busySince(w *Work) time.Time {
	if t.lastPrefill.After(w.since) {
		return t.lastPrefill
	}
	return w.since
}

// queuedTokens is the prefill work ahead of a new request, less what the engine
// should have done of the oldest prompt by now. The mutex must be held.
func (t *Tracker) queuedTokens() int {
	sum := 0
	var oldest *Work
	for w := range t.work {
		sum += w.uncached
		if oldest == nil || w.since.Before(oldest.since) {
			oldest = w
		}
	}
	if oldest == nil {
		return 0
	}
	worked := t.options.Clock.Since(t.busySince(oldest))
	done := min(int(worked/t.speed.prefillTime()), oldest.uncached)
	return sum - done
}
