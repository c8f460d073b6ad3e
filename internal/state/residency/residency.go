// Package residency keeps an index of the prefix levels that one engine's cache
// holds.
//
// An engine reports its cache in blocks, with a delay and with gaps, while the
// router works with prefix levels. The index maps blocks to levels: the chain
// of a request contains the length of each level in tokens, and the stored
// event of the request lists its blocks in order. The last whole block of a
// level represents the level: engines evict the deepest blocks of a prefix
// first, so a level is held as long as that block is held.
//
// # Usage
//
//	index := residency.New(incarnation, blockTokens)
//	index.Expect(requestID, chain)
//	index.Apply(events)
//	index.Observe(requestID, usage.CachedTokens)
//	if index.Stale() { index.Resync(snapshot) }
//	changes := index.Changes()
//
// An Index is not safe for concurrent use.
package residency

import "comfreyworks"

// maxExpected limits the requests that wait for their stored event. Events may
// be lost, so the oldest request is dropped when the limit is reached.
const maxExpected = 4096

// unknownBlock is the block of a level that was added without a stored event.
const unknownBlock = 0

// level is a prefix level in the engine's cache.
type level struct {
	// root is the hash of the first level of the chain.
	root   uint64
	tokens int32
	// block is the level's last whole block, or unknownBlock.
	block uint64
}

// expectedRequest is a request whose prompt the engine is about to store.
type expectedRequest struct {
	chain comfreyworks.PrefixChain
	// predictedTokens is how many tokens of the prompt the index listed as
	// cached when the request started.
	predictedTokens int
	stored          bool
}

// Index lists the prefix levels in one engine's cache.
type Index struct {
	incarnation   comfreyworks.Incarnation
	blockTokens   int
	sequence      uint64
	stale         bool
	levels        map[uint64]level
	levelsByBlock map[uint64][]uint64
	expected      map[comfreyworks.RequestID]*expectedRequest
	expectedOrder []comfreyworks.RequestID
	changes       []comfreyworks.PrefixLevelChange
}

// New returns an empty index for one engine incarnation. blockTokens is the
// number of tokens in one cached block and must be positive.
func New(incarnation comfreyworks.Incarnation, blockTokens int) *Index {
	return &Index{
		incarnation:   incarnation,
		blockTokens:   blockTokens,
		levels:        make(map[uint64]level),
		levelsByBlock: make(map[uint64][]uint64),
		expected:      make(map[comfreyworks.RequestID]*expectedRequest),
	}
}

// Incarnation returns the engine incarnation that the index describes.
func (x *Index) Incarnation() comfreyworks.Incarnation { return x.incarnation }

// Len returns the number of levels held.
func (x *Index) Len() int { return len(x.levels) }

// Sequence returns the sequence number of the last event applied.
func (x *Index) Sequence() uint64 { return x.sequence }

// Stale reports whether the index may list levels that the engine no longer
// holds, because events were lost since the last Resync.
func (x *Index) Stale() bool { return x.stale }

// Expect records that the engine is about to compute the prompt of a request.
// It returns how many of the prompt's tokens the index lists as cached.
func (x *Index) Expect(id comfreyworks.RequestID, chain comfreyworks.PrefixChain) int {
	predicted := x.predictCachedTokens(chain)
	if _, ok := x.expected[id]; ok {
		return predicted
	}
	if len(x.expectedOrder) >= maxExpected {
		delete(x.expected, x.expectedOrder[0])
		x.expectedOrder = x.expectedOrder[1:]
	}
	x.expected[id] = &expectedRequest{chain: chain, predictedTokens: predicted}
	x.expectedOrder = append(x.expectedOrder, id)
	return predicted
}

func (x *Index) predictCachedTokens(chain comfreyworks.PrefixChain) int {
	for i := len(chain) - 1; i >= 0; i-- {
		if _, ok := x.levels[chain[i].Hash]; ok {
			return x.maxReportedTokens(chain[i].Tokens)
		}
	}
	return 0
}

// Apply applies events in order. It ignores events of another incarnation and
// events that were applied before.
func (x *Index) Apply(batch comfreyworks.CacheEvents) {
	if batch.Incarnation != x.incarnation {
		return
	}
	for _, event := range batch.Events {
		if event.Sequence <= x.sequence {
			continue
		}
		if event.Sequence != x.sequence+1 {
			x.stale = true
		}
		x.sequence = event.Sequence
		x.applyEvent(event)
	}
}

func (x *Index) applyEvent(event comfreyworks.CacheEvent) {
	switch event.Kind {
	case comfreyworks.BlocksStored:
		x.applyStored(event.Request, event.Blocks)
	case comfreyworks.BlocksRemoved:
		for _, block := range event.Blocks {
			x.removeBlock(block)
		}
	}
}

func (x *Index) applyStored(id comfreyworks.RequestID, blocks []uint64) {
	expected, ok := x.expected[id]
	if !ok {
		return
	}
	expected.stored = true
	for _, l := range expected.chain {
		last := l.Tokens/x.blockTokens - 1
		if last < 0 || last >= len(blocks) {
			continue
		}
		x.addLevel(expected.chain[0].Hash, l, blocks[last])
	}
}

func (x *Index) addLevel(root uint64, l comfreyworks.PrefixLevel, block uint64) {
	held, ok := x.levels[l.Hash]
	if ok && (held.block != unknownBlock || block == unknownBlock) {
		return
	}
	if !ok {
		held = level{root: root, tokens: int32(l.Tokens)}
		x.changes = append(x.changes, held.change(l.Hash, true))
	}
	held.block = block
	x.levels[l.Hash] = held
	if block != unknownBlock {
		x.levelsByBlock[block] = append(x.levelsByBlock[block], l.Hash)
	}
}

func (l level) change(hash uint64, held bool) comfreyworks.PrefixLevelChange {
	return comfreyworks.PrefixLevelChange{Hash: hash, Root: l.root, Tokens: l.tokens, Held: held}
}

func (x *Index) removeBlock(block uint64) {
	hashes := x.levelsByBlock[block]
	delete(x.levelsByBlock, block)
	for _, hash := range hashes {
		x.removeLevel(hash)
	}
}

func (x *Index) removeLevel(hash uint64) {
	x.changes = append(x.changes, x.levels[hash].change(hash, false))
	delete(x.levels, hash)
}

// Observe compares the number of cached tokens of a completed request with what
// the index listed when the request started. If it is lower, removals were
// missed and the index becomes stale. A request whose stored event did not
// arrive has still left its prompt in the cache: its levels are added with an
// unknown block until the event or a Resync.
func (x *Index) Observe(id comfreyworks.RequestID, cachedTokens int) {
	expected, ok := x.expected[id]
	if !ok {
		return
	}
	if cachedTokens < expected.predictedTokens {
		x.stale = true
	}
	if expected.stored {
		return
	}
	for _, l := range expected.chain {
		if x.maxReportedTokens(l.Tokens) > 0 {
			x.addLevel(expected.chain[0].Hash, l, unknownBlock)
		}
	}
}

// maxReportedTokens returns the highest number of cached tokens that an engine
// reports for a prefix. It counts whole blocks and never the last token of a
// prompt, which the engine always computes.
func (x *Index) maxReportedTokens(tokens int) int {
	return (tokens - 1) / x.blockTokens * x.blockTokens
}

// dropLevel removes a level and, if its block is known, the others that share the
// block.
func (x *Index) dropLevel(hash uint64, held level) {
	if held.block != unknownBlock {
		x.removeBlock(held.block)
		return
	}
	x.removeLevel(hash)
}

// Resync removes the levels whose block is unknown or not in the snapshot. The
// index is no longer stale then. An older snapshot, or one of another
// incarnation, has no effect.
//
// The snapshot is usually ahead of the events, which arrive with a delay. Those
// events are still applied when they arrive: if they were skipped, the prompts
// that they store would have no block, and a level without a block stays in the
// index long after it was evicted.
func (x *Index) Resync(snapshot comfreyworks.CacheSnapshot) {
	if snapshot.Incarnation != x.incarnation || snapshot.Sequence < x.sequence {
		return
	}
	present := make(map[uint64]struct{}, len(snapshot.Blocks))
	for _, block := range snapshot.Blocks {
		present[block] = struct{}{}
	}
	for hash, held := range x.levels {
		if _, ok := present[held.block]; !ok {
			x.dropLevel(hash, held)
		}
	}
	x.stale = false
}

// Changes returns the changes since the last call.
func (x *Index) Changes() []comfreyworks.PrefixLevelChange {
	changes := x.changes
	x.changes = nil
	return changes
}

// LongestLostTokens returns the length of the longest level that was removed
// since the last call to Changes, or zero.
func (x *Index) LongestLostTokens() int {
	longest := int32(0)
	for _, change := range x.changes {
		if !change.Held {
			longest = max(longest, change.Tokens)
		}
	}
	return int(longest)
}

// All returns every level in the index as a change with Held set.
func (x *Index) All() []comfreyworks.PrefixLevelChange {
	all := make([]comfreyworks.PrefixLevelChange, 0, len(x.levels))
	for hash, l := range x.levels {
		all = append(all, l.change(hash, true))
	}
	return all
}
