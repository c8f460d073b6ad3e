// Package kept is a small stand-in for the store of kept KV cache.
//
// # Usage
//
//	store := kept.New(100_000)
//	store.Put(key, blocks)
//	blocks, ok := store.Get(key)
//	store.SetOutage(true)
package kept

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Store keeps the blocks of prefixes under their keys, the least recently used
// going first. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	capacity int
	blocks   int
	prefixes *simplelru.LRU[uint64, []uint64]
	outage   bool
}

// New returns an empty store with room for a number of blocks.
func New(capacity int) *Store {
	s := &Store{capacity: capacity}
	prefixes, err := simplelru.NewLRU(capacity, func(_ uint64, blocks []uint64) { s.blocks -= len(blocks) })
	if err != nil {
		panic("kept: the store needs room for at least one block")
	}
	s.prefixes = prefixes
	return s
}

// Put keeps a prefix. It returns false during an outage.
func (s *Store) Put(key uint64, blocks []uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return false
	}
	s.prefixes.Remove(key)
	s.prefixes.Add(key, blocks)
	s.blocks += len(blocks)
	for s.blocks > s.capacity {
		s.prefixes.RemoveOldest()
	}
	return true
}

// Get returns a prefix. The second result is false during an outage.
func (s *Store) Get(key uint64) ([]uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return nil, false
	}
	blocks, _ := s.prefixes.Get(key)
	return blocks, true
}

// SetOutage makes every call fail, or ends that.
func (s *Store) SetOutage(outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = outage
}
