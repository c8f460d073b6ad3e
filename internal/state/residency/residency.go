// Package residency keeps what one engine's prefix cache holds, in levels.
//
// An engine reports its cache in blocks, late and with gaps. The router thinks
// in levels. The index joins the two: a request's chain says how many tokens
// each level has, the stored event of that request names its blocks in order,
// so the block in which a level ends stands for the whole level. Engines evict
// the deepest blocks of a prefix first, so a level is held as long as the
// block in which it ends is held.
//
// # Usage
//
//	index := residency.New(incarnation, blockTokens)
//	index.Expect(requestID, chain)
//	index.Apply(events)
//	index.Observe(requestID, usage.CachedTokens)
//	if index.Suspect() { index.Resync(snapshot) }
//	changes := index.Changes()
//
// An Index is not safe for concurrent use.
package residency

import "comfreyworks"

// maxExpected bounds the requests that await their stored event. Events may be
// lost, so an entry is dropped when newer ones fill the bound.
const maxExpected = 4096

// unknownBlock marks a level that was observed without its stored event.
const unknownBlock = 0

type level struct {
	root   uint64
	tokens int32
	block  uint64
}

// expectation is a request whose prompt is about to be stored.
type expectation struct {
	chain comfreyworks.PrefixChain
	// predicted is how many tokens the index believed in at the start.
	predicted int
	stored    bool
}

// Index is the content of one engine's cache, in levels.
type Index struct {
	incarnation comfreyworks.Incarnation
	blockTokens int
	sequence    uint64
	suspect     bool
	levels      map[uint64]level
	byBlock     map[uint64][]uint64
	expected    map[comfreyworks.RequestID]*expectation
	order       []comfreyworks.RequestID
	changes     []comfreyworks.PrefixLevelChange
}

// New returns an empty index of one engine incarnation. blockTokens is the
// number of tokens in a cached block and must be positive.
func New(incarnation comfreyworks.Incarnation, blockTokens int) *Index {
	return &Index{
		incarnation: incarnation,
		blockTokens: blockTokens,
		levels:      make(map[uint64]level),
		byBlock:     make(map[uint64][]uint64),
		expected:    make(map[comfreyworks.RequestID]*expectation),
	}
}

// Incarnation returns the engine incarnation that the index describes.
func (x *Index) Incarnation() comfreyworks.Incarnation { return x.incarnation }

// Len returns the number of levels held.
func (x *Index) Len() int { return len(x.levels) }

// Sequence returns the number of the last event applied.
func (x *Index) Sequence() uint64 { return x.sequence }

// Suspect reports whether events were lost since the last Resync.
func (x *Index) Suspect() bool { return x.suspect }

// Expect announces that the engine is about to compute the prompt of a request.
// It returns how many of its tokens the index believes to be cached.
func (x *Index) Expect(id comfreyworks.RequestID, chain comfreyworks.PrefixChain) int {
	predicted := x.predict(chain)
	if _, ok := x.expected[id]; ok {
		return predicted
	}
	if len(x.order) >= maxExpected {
		delete(x.expected, x.order[0])
		x.order = x.order[1:]
	}
	x.expected[id] = &expectation{chain: chain, predicted: predicted}
	x.order = append(x.order, id)
	return predicted
}

func (x *Index) predict(chain comfreyworks.PrefixChain) int {
	for i := len(chain) - 1; i >= 0; i-- {
		if _, ok := x.levels[chain[i].Hash]; ok {
			return x.countable(chain[i].Tokens)
		}
	}
	return 0
}

// Apply takes events in order. Events of another incarnation are ignored.
func (x *Index) Apply(batch comfreyworks.CacheEvents) {
	if batch.Incarnation != x.incarnation {
		return
	}
	for _, event := range batch.Events {
		if event.Sequence <= x.sequence {
			continue
		}
		if event.Sequence != x.sequence+1 {
			x.suspect = true
		}
		x.sequence = event.Sequence
		x.applyOne(event)
	}
}

func (x *Index) applyOne(event comfreyworks.CacheEvent) {
	switch event.Kind {
	case comfreyworks.BlocksStored:
		x.store(event.Request, event.Blocks)
	case comfreyworks.BlocksRemoved:
		for _, block := range event.Blocks {
			x.removeBlock(block)
		}
	}
}

func (x *Index) store(id comfreyworks.RequestID, blocks []uint64) {
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
		x.hold(expected.chain[0].Hash, l, blocks[last])
	}
}

func (x *Index) hold(root uint64, l comfreyworks.PrefixLevel, block uint64) {
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
		x.byBlock[block] = append(x.byBlock[block], l.Hash)
	}
}

func (l level) change(hash uint64, held bool) comfreyworks.PrefixLevelChange {
	return comfreyworks.PrefixLevelChange{Hash: hash, Root: l.root, Tokens: l.tokens, Held: held}
}

func (x *Index) removeBlock(block uint64) {
	hashes := x.byBlock[block]
	delete(x.byBlock, block)
	for _, hash := range hashes {
		x.lose(hash)
	}
}

func (x *Index) lose(hash uint64) {
	x.changes = append(x.changes, x.levels[hash].change(hash, false))
	delete(x.levels, hash)
}

// Observe compares a finished request's count of cached tokens with what the
// index believed when it started. Fewer tokens than believed mean that losses
// were missed, and the index becomes suspect. A request whose stored event did
// not come has left its prompt in the cache all the same: its levels are held
// without a known block until their event or a Resync.
func (x *Index) Observe(id comfreyworks.RequestID, cachedTokens int) {
	expected, ok := x.expected[id]
	if !ok {
		return
	}
	if cachedTokens < expected.predicted {
		x.suspect = true
	}
	if expected.stored {
		return
	}
	for _, l := range expected.chain {
		if x.countable(l.Tokens) > 0 {
			x.hold(expected.chain[0].Hash, l, unknownBlock)
		}
	}
}

// countable returns how many cached tokens an engine reports at most for a
// prefix: whole blocks, and never the last token, which it always computes.
func (x *Index) countable(tokens int) int {
	return (tokens - 1) / x.blockTokens * x.blockTokens
}

func (x *Index) drop(hash uint64, held level) {
	if held.block != unknownBlock {
		x.removeBlock(held.block)
		return
	}
	x.lose(hash)
}

// Resync replaces the block view by a snapshot: levels whose block is not in
// it are dropped, as are levels without a known block, and the index is no
// longer suspect.
//
// The snapshot is usually ahead of the events, which come late. Those events
// are still applied when they come: skipping them would leave the prompts that
// they store without a block, and a level without a block is believed in long
// after it was evicted.
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
			x.drop(hash, held)
		}
	}
	x.suspect = false
}

// Changes returns and forgets what changed since the last call.
func (x *Index) Changes() []comfreyworks.PrefixLevelChange {
	changes := x.changes
	x.changes = nil
	return changes
}

// LostTokens returns the length of the longest level that was lost since the
// last call of Changes.
func (x *Index) LostTokens() int {
	longest := int32(0)
	for _, change := range x.changes {
		if !change.Held {
			longest = max(longest, change.Tokens)
		}
	}
	return int(longest)
}

// All returns every level held, as gains.
func (x *Index) All() []comfreyworks.PrefixLevelChange {
	all := make([]comfreyworks.PrefixLevelChange, 0, len(x.levels))
	for hash, l := range x.levels {
		all = append(all, l.change(hash, true))
	}
	return all
}
