package tracker

import (
	"time"

	"comfreyworks"
)

// Work is one request at the engine, from admission to its end.
type Work struct {
	tracker  *Tracker
	id       comfreyworks.RequestID
	uncached int
	since    time.Time
	started  bool
	ended    bool
}

// Begin records that a request is about to wait for or go to the engine.
func (t *Tracker) Begin(id comfreyworks.RequestID, chain comfreyworks.Chain) *Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	predicted := 0
	if t.index != nil {
		predicted = t.index.Expect(id, chain)
	}
	w := &Work{tracker: t, id: id, uncached: max(chain.Tokens()-predicted, 0), since: t.options.Clock.Now()}
	t.work[w] = struct{}{}
	t.running++
	t.touch()
	return w
}

// FirstToken records that the prompt has been computed.
func (w *Work) FirstToken() {
	t := w.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if w.started {
		return
	}
	w.started = true
	now := t.options.Clock.Now()
	t.learn(w, now)
	t.lastPrefill = now
	delete(t.work, w)
	t.touch()
}

// learn improves the prefill time. While there is work the engine computes one
// prompt after the other, so the time since the last one ended, or since this
// request came if that was later, was spent on this request's tokens.
func (t *Tracker) learn(w *Work, now time.Time) {
	if w.uncached < rateTokens {
		return
	}
	from := w.since
	if t.lastPrefill.After(from) {
		from = t.lastPrefill
	}
	sample := float64(now.Sub(from)) / float64(w.uncached)
	t.prefillTime = time.Duration((1-rateWeight)*float64(t.prefillTime) + rateWeight*sample)
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
	delete(t.work, w)
	t.running--
	if complete && t.index != nil {
		t.index.Observe(w.id, usage.CachedTokens)
	}
	t.touch()
}

// queuedTokens is the prefill work ahead of a new request. The mutex must be
// held.
func (t *Tracker) queuedTokens() int {
	sum := 0
	for w := range t.work {
		sum += w.uncached
	}
	return sum
}
