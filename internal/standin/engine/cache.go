package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// BlockTokens is the number of tokens in one cached block.
const BlockTokens = 16

const (
	// bytesPerToken is the length of every token of a prompt, in bytes.
	bytesPerToken = 4
	blockTokens   = BlockTokens
	// blockBytes is the length of the text of one block, in bytes.
	blockBytes = bytesPerToken * blockTokens
)

// tokens returns the length of a text in tokens, rounded up.
func tokens(text string) int {
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}

// blockHashes returns the hash of every complete block of a prompt. A hash
// covers the salt and all text up to the end of its block.
func blockHashes(salt, prompt string) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	digest := xxhash.New()
	_, _ = digest.WriteString(salt)
	previous := digest.Sum64()
	for start := 0; start+blockBytes <= len(prompt); start += blockBytes {
		digest.Reset()
		var seed [8]byte
		binary.LittleEndian.PutUint64(seed[:], previous)
		_, _ = digest.Write(seed[:])
		_, _ = digest.WriteString(prompt[start : start+blockBytes])
		previous = digest.Sum64()
		hashes = append(hashes, previous)
	}
	return hashes
}

// cache is an LRU set of block hashes. The blocks of a prompt are marked as used
// from the last to the first, so that the last ones are evicted first: a block
// is of no use without those before it.
type cache struct {
	lru *simplelru.LRU[uint64, struct{}]
	// evicted collects the blocks that one call of add evicts.
	evicted []uint64
}

func newCache(blocks int) *cache {
	c := new(cache)
	lru, err := simplelru.NewLRU(blocks, func(block uint64, _ struct{}) {
		c.evicted = append(c.evicted, block)
	})
	if err != nil {
		panic("engine: cache size must be at least one block")
	}
	c.lru = lru
	return c
}

// peek returns how many leading blocks are cached, without marking them as used.
func (c *cache) peek(blocks []uint64) int {
	n := 0
	for n < len(blocks) && c.lru.Contains(blocks[n]) {
		n++
	}
	return n
}

// touch returns how many leading blocks are cached and marks them as used.
func (c *cache) touch(blocks []uint64) int {
	n := c.peek(blocks)
	for i := n - 1; i >= 0; i-- {
		c.lru.Get(blocks[i])
	}
	return n
}

// add caches blocks and returns the blocks that were evicted for them.
func (c *cache) add(blocks []uint64) []uint64 {
	c.evicted = nil
	for i := len(blocks) - 1; i >= 0; i-- {
		c.lru.Add(blocks[i], struct{}{})
	}
	return c.evicted
}

func (c *cache) blocks() []uint64 { return c.lru.Keys() }
