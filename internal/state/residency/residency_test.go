package residency

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"comfreyworks"
)

const blockTokens = 16

// chain has levels of 16, 32, 48, ... tokens.
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

// newIndex holds levels 1, 2, 3 in blocks 101, 102, 103.
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
	t.Run("a stored prompt holds its levels", func(t *testing.T) {
		expectHeld(t, newIndex(), 1, 2, 3)
	})
	t.Run("a removed block loses its level", func(t *testing.T) {
		x := newIndex()
		apply(x, removed(2, 103))
		expectHeld(t, x, 1, 2)
	})
	t.Run("levels that share a block go together", func(t *testing.T) {
		x := newIndex()
		x.Expect("r2", chain(1, 2, 4))
		apply(x, stored(2, "r2", 101, 102, 103), removed(3, 103))
		expectHeld(t, x, 1, 2)
	})
	t.Run("the longest loss is known until it is told", func(t *testing.T) {
		x := newIndex()
		x.Changes()
		assert.Equal(t, x.LostTokens(), 0)
		apply(x, removed(2, 102), removed(3, 103))
		assert.Equal(t, x.LostTokens(), 3*blockTokens)
		x.Changes()
		assert.Equal(t, x.LostTokens(), 0)
	})
	t.Run("changes are told once", func(t *testing.T) {
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
	t.Run("a gap makes the index suspect until a snapshot", func(t *testing.T) {
		x := newIndex()
		apply(x, removed(3, 103))
		assert.Assert(t, x.Suspect())
		x.Resync(comfreyworks.CacheSnapshot{Incarnation: 1, Sequence: 3, Blocks: []uint64{101}})
		assert.Assert(t, !x.Suspect())
		expectHeld(t, x, 1)
	})
	t.Run("fewer cached tokens than believed make it suspect", func(t *testing.T) {
		x := newIndex()
		assert.Equal(t, x.Expect("r2", chain(1, 2, 3)), 2*blockTokens)
		x.Observe("r2", blockTokens)
		assert.Assert(t, x.Suspect())
	})
	t.Run("a prompt whose stored event was lost is held", func(t *testing.T) {
		x := newIndex()
		x.Expect("r2", chain(1, 2, 9))
		x.Observe("r2", 2*blockTokens)
		expectHeld(t, x, 1, 2, 3, 9)
		x.Resync(comfreyworks.CacheSnapshot{Incarnation: 1, Sequence: 1, Blocks: []uint64{101, 102, 103}})
		expectHeld(t, x, 1, 2, 3)
	})
	t.Run("events that a snapshot overtook still count", func(t *testing.T) {
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

// TestNeverOptimisticAfterResync drives an index with random events and losses.
// After a snapshot it believes in no level whose block the engine does not
// hold, whatever was lost before.
func TestNeverOptimisticAfterResync(t *testing.T) {
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
				t.Fatalf("level %d is believed in, but its block is gone", change.Hash)
			}
		}
	})
}
