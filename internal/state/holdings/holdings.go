// Package holdings keeps an index of the parts of prompts that engines hold in
// their caches, according to the engines' cache events and to the requests that
// this process sent.
//
// The index may be wrong, because events arrive late and may be lost. Its users
// must be able to handle a part that an engine no longer holds.
//
// # Usage
//
//	index := holdings.New()
//	index.Add(engine, holdings.Part{Salt: salt, Model: model, ID: "5c1e", Tokens: 800})
//	held := index.PrefixTokens(salt, model, parts) // tokens by engine
package holdings

import (
	"strconv"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"comfreyworks"
)

// blockTokens is the number of tokens in one cache block of an engine. A part
// counts as held completely if less than one block of it is missing.
const blockTokens = 16

// maxPartsPerEngine is the maximum number of parts recorded per engine. It
// exceeds what fits into an engine's memory and bounds the index for engines
// whose evictions are not reported.
const maxPartsPerEngine = 4096

// Part is one part of a prompt that an engine holds. Tokens is the number of its
// tokens that are held.
type Part struct {
	Salt   string
	Model  comfreyworks.Model
	ID     string
	Tokens int
}

// key identifies a part independently of the engines that hold it.
type key struct {
	salt  string
	model comfreyworks.Model
	id    string
}

// Index records which engines hold which parts. It is safe for concurrent use.
type Index struct {
	mu sync.RWMutex
	// holders maps each part to the number of tokens held by each engine.
	holders map[key]map[comfreyworks.InstanceID]int
	// parts lists the parts that each engine holds, by the time at which they
	// were last added.
	parts map[comfreyworks.InstanceID]*simplelru.LRU[key, struct{}]
}

// New returns an empty index.
func New() *Index {
	return &Index{
		holders: make(map[key]map[comfreyworks.InstanceID]int),
		parts:   make(map[comfreyworks.InstanceID]*simplelru.LRU[key, struct{}]),
	}
}

// Salt returns the cache salt for a cache scope and a revision of the weights.
// The scope keeps isolated workspaces apart; the revision keeps parts that were
// computed with other weights from being used.
func Salt(scope string, weights comfreyworks.WeightsRevision) string {
	return scope + "/" + strconv.FormatUint(uint64(weights), 10)
}

// Add records that an engine holds a number of tokens of a part. Zero tokens
// remove the part.
func (x *Index) Add(engine comfreyworks.InstanceID, part Part) {
	k := key{part.Salt, part.Model, part.ID}
	x.mu.Lock()
	defer x.mu.Unlock()
	if part.Tokens <= 0 {
		x.remove(engine, k)
		return
	}
	if x.holders[k] == nil {
		x.holders[k] = make(map[comfreyworks.InstanceID]int)
	}
	x.holders[k][engine] = part.Tokens
	x.partsOf(engine).Add(k, struct{}{})
}

// partsOf returns the parts of an engine. Adding a part beyond the maximum
// removes the one that was added the longest ago.
func (x *Index) partsOf(engine comfreyworks.InstanceID) *simplelru.LRU[key, struct{}] {
	if x.parts[engine] == nil {
		// The only error is a size below one.
		x.parts[engine], _ = simplelru.NewLRU(maxPartsPerEngine, func(k key, _ struct{}) { x.removeHolder(engine, k) })
	}
	return x.parts[engine]
}

// removeHolder removes an engine from the holders of a part.
func (x *Index) removeHolder(engine comfreyworks.InstanceID, k key) {
	delete(x.holders[k], engine)
	if len(x.holders[k]) == 0 {
		delete(x.holders, k)
	}
}

// remove removes a part of an engine; the eviction callback then updates the
// holders.
func (x *Index) remove(engine comfreyworks.InstanceID, k key) {
	if parts := x.parts[engine]; parts != nil {
		parts.Remove(k)
	}
}

// RemoveEngine removes all parts of an engine.
func (x *Index) RemoveEngine(engine comfreyworks.InstanceID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if parts := x.parts[engine]; parts != nil {
		parts.Purge()
	}
	delete(x.parts, engine)
}

// PrefixTokens returns the number of tokens from the start of a prompt that each
// engine holds. A part counts only if the engine holds all parts before it
// completely.
func (x *Index) PrefixTokens(salt string, model comfreyworks.Model, parts []comfreyworks.PromptPart) map[comfreyworks.InstanceID]int {
	x.mu.RLock()
	defer x.mu.RUnlock()
	held := make(map[comfreyworks.InstanceID]int)
	before := 0
	for i, part := range parts {
		holders := x.holders[key{salt, model, part.ID}]
		for engine, tokens := range holders {
			if i == 0 || held[engine] == before {
				held[engine] = before + roundUpToPart(tokens, part.Tokens)
			}
		}
		before += part.Tokens
	}
	return held
}

// roundUpToPart returns the length of a part if less than one block of it is
// missing, and otherwise the number of tokens held.
func roundUpToPart(tokens, length int) int {
	if tokens+blockTokens > length {
		return length
	}
	return tokens
}
