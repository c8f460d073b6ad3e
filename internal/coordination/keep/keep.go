// Package keep decides which prefixes an engine exports to the cache store, a
// store of offloaded KV cache, and which it imports from there.
//
// Computing a long prefix occupies an engine for hundreds of milliseconds;
// importing it takes a fraction of that. Before a prompt with many uncached
// tokens is sent to its engine, the deepest of its shared prefix levels that the
// cache store has is imported. After the prefill of such a prompt, each of its
// shared levels is exported once.
//
// # Usage
//
//	o := keep.New(keep.Options{Engine: engine, Clock: clock, Logger: logger})
//	cachedTokens = o.Import(ctx, attempt, cachedTokens)
//	o.Export(ctx, attempt, usage)
//
// If the cache store does not answer, a prompt waits at most importTimeout and is
// then computed without it. No calls are made for failureBackoff after a failure.
package keep

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/golang-lru/v2"
	"go.uber.org/zap"

	"comfreyworks"
)

const (
	// minUncachedTokens is the minimum number of uncached tokens in a level for
	// which an import or export is worthwhile.
	minUncachedTokens = 2048
	// maxLevels is the maximum number of levels that are imported or exported for
	// one prompt.
	maxLevels = 3
	// importTimeout bounds all imports for one prompt together.
	importTimeout = 250 * time.Millisecond
	// exportTimeout bounds all exports for one prompt together.
	exportTimeout = 5 * time.Second
	// maxExportedKeys is the maximum number of exported levels that are remembered
	// so that they are not exported again.
	maxExportedKeys = 1 << 13
	// failureBackoff is how long no imports or exports start after a failure.
	failureBackoff = 2 * time.Second
)

// Options configures an Offloader.
type Options struct {
	Engine comfreyworks.CacheOffloader
	Clock  comfreyworks.Clock
	Logger *zap.Logger
}

// Offloader controls the imports and exports of one engine. It is safe for
// concurrent use.
type Offloader struct {
	options  Options
	exported *lru.Cache[uint64, struct{}]
	// failedAt is the time of the last failure in Unix nanoseconds, or zero if
	// there was none.
	failedAt atomic.Int64
}

// New returns an offloader that has exported nothing yet.
func New(options Options) *Offloader {
	exported, err := lru.New[uint64, struct{}](maxExportedKeys)
	if err != nil {
		panic("keep: maxExportedKeys must be positive")
	}
	return &Offloader{options: options, exported: exported}
}

// Import imports the deepest shared level of a prompt that the cache store has,
// if it saves enough computation. It returns how many tokens of the prompt the
// engine then has cached. It must be called before the prompt is sent to the
// engine.
func (o *Offloader) Import(ctx context.Context, attempt comfreyworks.GenerateAttempt, cachedTokens int) int {
	if o.backingOff() {
		return cachedTokens
	}
	ctx, cancel := context.WithTimeout(ctx, importTimeout)
	defer cancel()
	for _, level := range levelsToTransfer(attempt.Chain, cachedTokens) {
		tokens, err := o.options.Engine.Import(ctx, level.Hash)
		if err != nil {
			o.recordFailure(err)
			return cachedTokens
		}
		if tokens > 0 {
			return max(tokens, cachedTokens)
		}
	}
	return cachedTokens
}

// levelsToTransfer returns the levels to import or export, the deepest first. It
// omits the last level: that is the whole prompt, which other requests rarely
// share.
func levelsToTransfer(chain comfreyworks.PrefixChain, cachedTokens int) comfreyworks.PrefixChain {
	var levels comfreyworks.PrefixChain
	for i := len(chain) - 2; i >= 0 && len(levels) < maxLevels; i-- {
		if chain[i].Tokens-cachedTokens >= minUncachedTokens {
			levels = append(levels, chain[i])
		}
	}
	return levels
}

// Export exports those shared levels of a prompt of which the engine computed
// many tokens. It must be called after the prompt's prefill. The exports continue
// if ctx is cancelled.
func (o *Offloader) Export(ctx context.Context, attempt comfreyworks.GenerateAttempt, usage comfreyworks.Usage) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), exportTimeout)
	defer cancel()
	for _, level := range levelsToTransfer(attempt.Chain, usage.CachedTokens) {
		if o.backingOff() {
			return
		}
		if known, _ := o.exported.ContainsOrAdd(level.Hash, struct{}{}); known {
			continue
		}
		if err := o.options.Engine.Export(ctx, level.Hash, attempt.Request.ID, level.Tokens); err != nil {
			o.exported.Remove(level.Hash)
			o.recordFailure(err)
		}
	}
}

func (o *Offloader) backingOff() bool {
	failedAt := o.failedAt.Load()
	return failedAt != 0 && o.options.Clock.Since(time.Unix(0, failedAt)) < failureBackoff
}

func (o *Offloader) recordFailure(err error) {
	if !o.backingOff() {
		o.options.Logger.Warn("import or export of KV cache failed, pausing both", zap.Error(err))
	}
	o.failedAt.Store(o.options.Clock.Now().UnixNano())
}
