package residency

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"comfreyworks"
)

const blockTokens = 16

// chain returns a chain whose levels have 16, 32, 48, ... tokens.
func chain(hashes ...uint64) comfreyworks.PrefixChain {
	var c comfreyworks.PrefixChain
	for i, hash := range hashes {
		c = append(c, comfreyworks.PrefixLevel{Hash: hash, Tokens: (i + 1) * blockTokens})
	}
	return c
}

func stored(sequence uint64, id comfreyworks.RequestID, blocks ...uint64) comfreyworks.CacheEvent {
	return comfreyworks.CacheEvent{Sequence: sequence, Kind: comfreyworks.BlocksStored, Request: id, Blocks: blocks}
}

func removed(sequence uint64, blocks ...uint64) comfreyworks.CacheEvent {
	return comfreyworks.CacheEvent{Sequence: sequence, Kind: comfreyworks.BlocksRemoved, Blocks: blocks}
}

func expectHeld(t *testing.T, x *Index, hashes ...uint64) {
	t.Helper()
	held := make(map[uint64]bool)
	for _, change := range x.All() {
		held[change.Hash] = true
	}
	expected := make(map[uint64]bool)
	for _, hash := range hashes {
		expected[hash] = true
	}
	assert.DeepEqual(t, held, expected)
}

// newIndex returns an index with levels 1, 2 and 3 in blocks 101, 102 and 103.
func newIndex() *Index {
	x := New(1, blockTokens)
	x.Expect("r1", chain(1, 2, 3))
	x.Apply(comfreyworks.CacheEvents{Incarnation: 1, Events: []comfreyworks.CacheEvent{stored(1, "r1", 101, 102, 103)}})
	return x
}

func apply(x *Index, events ...comfreyworks.CacheEvent) {
	x.Apply(comfreyworks.CacheEvents{Incarnation: 1, Events: events})
}

func TestIndex(t *testing.T) {
	t.Run("a stored prompt adds its levels", func(t *testing.T) {
		expectHeld(t, newIndex(), 1, 2, 3)
	})
	t.Run("a removed block removes its level", func(t *testing.T) {
		x := newIndex()
		apply(x, removed(2, 103))
		expectHeld(t, x, 1, 2)
	})
	t.Run("levels that share a block are removed together", func(t *testing.T) {
		x := newIndex()
		x.Expect("r2", chain(1, 2, 4))
		apply(x, stored(2, "r2", 101, 102, 103), removed(3, 103))
		expectHeld(t, x, 1, 2)
	})
	t.Run("LongestLostTokens covers the removals since Changes", func(t *testing.T) {
		x := newIndex()
		x.Changes()
		assert.Equal(t, x.LongestLostTokens(), 0)
		apply(x, removed(2, 102), removed(3, 103))
		assert.Equal(t, x.LongestLostTokens(), 3*blockTokens)
		x.Changes()
		assert.Equal(t, x.LongestLostTokens(), 0)
	})
	t.Run("changes are returned once", func(t *testing.T) {
		x := newIndex()
		assert.Equal(t, len(x.Changes()), 3)
		assert.Equal(t, len(x.Changes()), 0)
	})
	t.Run("events of another incarnation are ignored", func(t *testing.T) {
		x := newIndex()
		x.Apply(comfreyworks.CacheEvents{Incarnation: 2, Events: []comfreyworks.CacheEvent{removed(2, 101)}})
		expectHeld(t, x, 1, 2, 3)
	})
	t.Run("repeated events are ignored", func(t *testing.T) {
		x := newIndex()
		apply(x, removed(2, 103), removed(2, 102))
		expectHeld(t, x, 1, 2)
	})
}

func TestLostEvents(t *testing.T) {
	t.Run("a gap makes the index stale until a snapshot", func(t *testing.T) {
		x := newIndex()
		apply(x, removed(3, 103))
		assert.Assert(t, x.Stale())
		x.Resync(comfreyworks.CacheSnapshot{Incarnation: 1, Sequence: 3, Blocks: []uint64{101}})
		assert.Assert(t, !x.Stale())
		expectHeld(t, x, 1)
	})
	t.Run("fewer cached tokens than listed make the index stale", func(t *testing.T) {
		x := newIndex()
		assert.Equal(t, x.Expect("r2", chain(1, 2, 3)), 2*blockTokens)
		x.Observe("r2", blockTokens)
		assert.Assert(t, x.Stale())
	})
	t.Run("a prompt is added although its stored event was lost", func(t *testing.T) {
		x := newIndex()
		x.Expect("r2", chain(1, 2, 9))
		x.Observe("r2", 2*blockTokens)
		expectHeld(t, x, 1, 2, 3, 9)
		x.Resync(comfreyworks.CacheSnapshot{Incarnation: 1, Sequence: 1, Blocks: []uint64{101, 102, 103}})
		expectHeld(t, x, 1, 2, 3)
	})
	t.Run("events older than a snapshot are still applied", func(t *testing.T) {
		x := newIndex()
		x.Expect("r2", chain(1, 2, 9))
		x.Resync(comfreyworks.CacheSnapshot{Incarnation: 1, Sequence: 3, Blocks: []uint64{101, 102, 109}})
		x.Observe("r2", 2*blockTokens)
		expectHeld(t, x, 1, 2, 9)
		apply(x, stored(2, "r2", 101, 102, 109), removed(3, 103), removed(4, 109))
		expectHeld(t, x, 1, 2)
	})
	t.Run("an older snapshot changes nothing", func(t *testing.T) {
		x := newIndex()
		x.Resync(comfreyworks.CacheSnapshot{Incarnation: 1, Sequence: 0})
		expectHeld(t, x, 1, 2, 3)
	})
}

// TestResyncRemovesLevelsNotHeld applies random events to an index and loses
// some of them. After a snapshot, the index must not list a level whose block
// the engine no longer holds.
func TestResyncRemovesLevelsNotHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := New(1, blockTokens)
		engine := make(map[uint64]bool)
		sequence := uint64(0)
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			sequence++
			n := rapid.Uint64Range(1, 20).Draw(t, "prompt")
			id := comfreyworks.RequestID(rune('a' + step))
			event := removed(sequence, n*10, n*10+1)
			if rapid.Bool().Draw(t, "store") {
				x.Expect(id, chain(n*10, n*10+1))
				event = stored(sequence, id, n*10, n*10+1)
			}
			for _, block := range event.Blocks {
				engine[block] = event.Kind == comfreyworks.BlocksStored
			}
			if rapid.IntRange(0, 9).Draw(t, "lost") > 0 {
				apply(x, event)
			}
		}
		var blocks []uint64
		for block, held := range engine {
			if held {
				blocks = append(blocks, block)
			}
		}
		x.Resync(comfreyworks.CacheSnapshot{Incarnation: 1, Sequence: sequence, Blocks: blocks})
		for _, change := range x.All() {
			if !engine[change.Hash] {
				t.Fatalf("level %d is in the index, but the engine does not hold its block", change.Hash)
			}
		}
	})
}
