// Package keep decides which prefixes go to the store of kept KV cache and
// which come back.
//
// Computing a long prefix holds an engine for hundreds of milliseconds;
// importing it takes a fraction of that. Before a prompt with much to compute
// goes to its engine, the deepest of its shared levels that the store has is
// imported. After such a prompt was computed, its shared levels are exported,
// once each.
//
// # Usage
//
//	k := keep.New(keep.Options{Engine: engine, Clock: clock})
//	imported := k.Before(ctx, work, cachedTokens)
//	k.After(ctx, work, usage)
//
// A store that does not answer costs at most a short wait: then the prompt is
// computed as if there were none.
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
	// worthTokens is the least number of tokens that are worth an import.
	worthTokens = 2048
	// maxTries bounds the levels that are asked for.
	maxTries = 3
	// importTimeout bounds all imports for one prompt.
	importTimeout = 250 * time.Millisecond
	// exportTimeout bounds one export.
	exportTimeout = 5 * time.Second
	// knownKeys is how many exported levels are remembered, so that they are
	// not exported again.
	knownKeys = 1 << 13
	// pauseAfterFailure is how long the store is left alone after it failed.
	pauseAfterFailure = 2 * time.Second
)

// Options configures a Keeper.
type Options struct {
	Engine comfreyworks.CacheOffloader
	Clock  comfreyworks.Clock
	Logger *zap.Logger
}

// Keeper moves prefixes for one engine. It is safe for concurrent use.
type Keeper struct {
	options  Options
	exported *lru.Cache[uint64, struct{}]
	// failedAt is the time of the last failure, in nanoseconds; zero is none.
	failedAt atomic.Int64
}

// New returns a keeper that knows of no exports.
func New(options Options) *Keeper {
	exported, err := lru.New[uint64, struct{}](knownKeys)
	if err != nil {
		panic("keep: the size of the set of exports is a positive constant")
	}
	return &Keeper{options: options, exported: exported}
}

// Before imports the deepest shared level of a prompt that the store has and
// that is worth it, and returns how many tokens the engine holds then.
func (k *Keeper) Before(ctx context.Context, work comfreyworks.GenerateAttempt, cachedTokens int) int {
	if k.resting() {
		return cachedTokens
	}
	ctx, cancel := context.WithTimeout(ctx, importTimeout)
	defer cancel()
	for _, level := range worthwhile(work.Chain, cachedTokens) {
		tokens, err := k.options.Engine.Import(ctx, level.Hash)
		if err != nil {
			k.fail(err)
			return cachedTokens
		}
		if tokens > 0 {
			return max(tokens, cachedTokens)
		}
	}
	return cachedTokens
}

// worthwhile lists the levels to ask for, the deepest first. The last level is
// the whole prompt, which hardly anybody else has.
func worthwhile(chain comfreyworks.PrefixChain, cachedTokens int) comfreyworks.PrefixChain {
	var levels comfreyworks.PrefixChain
	for i := len(chain) - 2; i >= 0 && len(levels) < maxTries; i-- {
		if chain[i].Tokens-cachedTokens >= worthTokens {
			levels = append(levels, chain[i])
		}
	}
	return levels
}

// After exports the shared levels of a prompt of which much was computed.
func (k *Keeper) After(ctx context.Context, work comfreyworks.GenerateAttempt, usage comfreyworks.Usage) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), exportTimeout)
	defer cancel()
	for _, level := range worthwhile(work.Chain, usage.CachedTokens) {
		if k.resting() {
			return
		}
		if known, _ := k.exported.ContainsOrAdd(level.Hash, struct{}{}); known {
			continue
		}
		if err := k.options.Engine.Export(ctx, level.Hash, work.Request.ID, level.Tokens); err != nil {
			k.exported.Remove(level.Hash)
			k.fail(err)
		}
	}
}

func (k *Keeper) resting() bool {
	failedAt := k.failedAt.Load()
	return failedAt != 0 && k.options.Clock.Since(time.Unix(0, failedAt)) < pauseAfterFailure
}

func (k *Keeper) fail(err error) {
	if !k.resting() {
		k.options.Logger.Warn("store of kept cache left alone for a while", zap.Error(err))
	}
	k.failedAt.Store(k.options.Clock.Now().UnixNano())
}
