// Package kept provides a test double of a cache store, which holds offloaded KV
// cache.
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

// Store maps keys to the blocks of prefixes and evicts the least recently used
// prefixes. It is safe for concurrent use.
type Store struct {
	mu sync.Mutex
	// capacity is the maximum number of blocks.
	capacity int
	// blocks is the number of blocks of all prefixes.
	blocks   int
	prefixes *simplelru.LRU[uint64, []uint64]
	outage   bool
}

// New returns an empty store with a capacity in blocks.
func New(capacity int) *Store {
	s := &Store{capacity: capacity}
	prefixes, err := simplelru.NewLRU(capacity, func(_ uint64, blocks []uint64) { s.blocks -= len(blocks) })
	if err != nil {
		panic("kept: capacity must be at least one block")
	}
	s.prefixes = prefixes
	return s
}

// Put stores the blocks of a prefix and replaces those stored under its key
// before. It returns false during an outage.
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

// Get returns the blocks of a prefix, or nil if the store does not have it. The
// second result is false during an outage.
func (s *Store) Get(key uint64) ([]uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return nil, false
	}
	blocks, _ := s.prefixes.Get(key)
	return blocks, true
}

// SetOutage begins or ends an outage, during which Put and Get return false.
func (s *Store) SetOutage(outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = outage
}
