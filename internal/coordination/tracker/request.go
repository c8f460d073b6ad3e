package tracker

import (
	"time"

	"comfreyworks"
)

// Request is one request at the engine, from its admission to its end.
type Request struct {
	tracker        *Tracker
	id             comfreyworks.RequestID
	chain          comfreyworks.PrefixChain
	uncachedTokens int
	arrivedAt      time.Time
	// prefillTime is the estimated time that the engine spent on the prompt.
	prefillTime time.Duration
	prefilled   bool
	ended       bool
}

// Begin records a request that is about to wait for the engine or be sent to
// it.
func (t *Tracker) Begin(id comfreyworks.RequestID, chain comfreyworks.PrefixChain) *Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	predicted := 0
	if t.index != nil {
		predicted = t.index.Expect(id, chain)
	}
	predicted = max(predicted, t.pendingTokens(chain))
	r := &Request{
		tracker:        t,
		id:             id,
		chain:          chain,
		uncachedTokens: max(chain.Tokens()-predicted, 0),
		arrivedAt:      t.options.Clock.Now(),
	}
	t.queued[r] = struct{}{}
	for _, level := range chain {
		t.pendingLevels[level.Hash]++
	}
	t.running++
	t.requestReport()
	if r.uncachedTokens >= urgentTokens {
		notify(t.urgentChange)
	}
	return r
}

// CachedTokens returns how many of the prompt's tokens the engine is expected
// to have cached.
func (r *Request) CachedTokens() int {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	return max(r.chain.Tokens()-r.uncachedTokens, 0)
}

// SetCachedTokens corrects the number of prompt tokens that the engine is
// expected to have cached.
func (r *Request) SetCachedTokens(tokens int) {
	t := r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	r.uncachedTokens = max(r.chain.Tokens()-tokens, 0)
	t.requestReport()
}

// TokenReceived records that the engine sent a token. The first call ends the
// prefill of the prompt.
func (r *Request) TokenReceived() {
	t := r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Clock.Now()
	t.lastResponse = now
	if r.prefilled {
		return
	}
	r.prefilled = true
	r.prefillTime = now.Sub(t.prefillStart(r))
	t.lastPrefill = now
	t.dequeue(r)
	t.requestReport()
}

// pendingTokens returns how many tokens of a chain a queued request is about to
// store in the cache. The mutex must be held.
func (t *Tracker) pendingTokens(chain comfreyworks.PrefixChain) int {
	for i := len(chain) - 1; i >= 0; i-- {
		if t.pendingLevels[chain[i].Hash] > 0 {
			return chain[i].Tokens
		}
	}
	return 0
}

// dequeue removes a request from those whose prompt is not yet prefilled. The
// mutex must be held.
func (t *Tracker) dequeue(r *Request) {
	if _, queued := t.queued[r]; !queued {
		return
	}
	delete(t.queued, r)
	for _, level := range r.chain {
		t.pendingLevels[level.Hash]--
		if t.pendingLevels[level.Hash] == 0 {
			delete(t.pendingLevels, level.Hash)
		}
	}
}

// End records that the request has left the engine. The usage is evaluated only
// if the answer is complete.
func (r *Request) End(usage comfreyworks.Usage, complete bool) {
	t := r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	t.dequeue(r)
	t.running--
	if complete && t.index != nil {
		t.index.Observe(r.id, usage.CachedTokens)
		t.estimator.add(usage.PromptTokens-usage.CachedTokens, r.prefillTime)
	}
	t.requestReport()
}

// prefillStart returns when the engine began to work on a request. It computes
// one prompt after another, so it began when the previous prompt was done or,
// if that is later, when the request arrived. The mutex must be held.
func (t *Tracker) prefillStart(r *Request) time.Time {
	if t.lastPrefill.After(r.arrivedAt) {
		return t.lastPrefill
	}
	return r.arrivedAt
}

// queuedTokens returns the prefill backlog in tokens: the uncached tokens of all
// queued prompts, less the estimated number that the engine has already computed
// of the oldest one. The mutex must be held.
func (t *Tracker) queuedTokens() int {
	sum := 0
	var oldest *Request
	for r := range t.queued {
		sum += r.uncachedTokens
		if oldest == nil || r.arrivedAt.Before(oldest.arrivedAt) {
			oldest = r
		}
	}
	if oldest == nil {
		return 0
	}
	elapsed := t.options.Clock.Since(t.prefillStart(oldest))
	done := min(int(elapsed/t.estimator.timePerToken()), oldest.uncachedTokens)
	return sum - done
}
