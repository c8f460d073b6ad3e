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
	// blockTokens is the number of tokens in one cached block.
	blockTokens = BlockTokens
	// blockBytes is the length of the text of one block, in bytes.
	blockBytes = bytesPerToken * blockTokens
)

// tokens returns the length of a text in tokens.
func tokens(text string) int {
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}

// blockHashes returns the hash of every whole block of a prompt. A hash covers
// the salt and all text up to the end of its block.
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

// cache is an LRU set of blocks. A prompt's blocks are touched from the last to
// the first, so that eviction takes the deepest blocks of a prefix first.
type cache struct {
	lru     *simplelru.LRU[uint64, struct{}]
	evicted []uint64
}

func newCache(blocks int) *cache {
	c := new(cache)
	lru, err := simplelru.NewLRU(blocks, func(block uint64, _ struct{}) {
		c.evicted = append(c.evicted, block)
	})
	if err != nil {
		panic("engine: cache needs room for at least one block")
	}
	c.lru = lru
	return c
}

// peek returns how many of the first blocks are cached.
func (c *cache) peek(blocks []uint64) int {
	n := 0
	for n < len(blocks) && c.lru.Contains(blocks[n]) {
		n++
	}
	return n
}

// held returns how many of the first blocks are cached, and touches them.
func (c *cache) held(blocks []uint64) int {
	n := c.peek(blocks)
	for i := n - 1; i >= 0; i-- {
		c.lru.Get(blocks[i])
	}
	return n
}

// store adds blocks and returns the ones that had to go.
func (c *cache) store(blocks []uint64) []uint64 {
	c.evicted = nil
	for i := len(blocks) - 1; i >= 0; i-- {
		c.lru.Add(blocks[i], struct{}{})
	}
	return c.evicted
}

func (c *cache) blocks() []uint64 { return c.lru.Keys() }
