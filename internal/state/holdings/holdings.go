// Package holdings knows which engine holds which parts of prompts, as far as
// the engines' events and this process's own requests tell.
//
// What it says may be wrong: events are late and some are lost. Whoever acts on
// it must be able to bear a part that is not there.
//
// # Usage
//
//	index := holdings.New()
//	index.Add(engine, holdings.Part{Salt: salt, Model: model, ID: "5c1e", Tokens: 800})
//	held := index.Prefix(salt, model, parts) // tokens by engine
package holdings

import (
	"strconv"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"comfreyworks"
)

// blockTokens is the unit in which engines keep tokens; a part is held whole
// if less than a block of it is missing.
const blockTokens = 16

// maxParts bounds the parts that are remembered of one engine: more than fit
// into its memory, for engines whose evictions are not followed.
const maxParts = 4096

// Part is one part of a prompt that an engine holds.
type Part struct {
	Salt   string
	Model  comfreyworks.Model
	ID     string
	Tokens int
}

// key identifies a part over all engines.
type key struct {
	salt  string
	model comfreyworks.Model
	id    string
}

// Index is safe for concurrent use.
type Index struct {
	mu      sync.RWMutex
	holders map[key]map[comfreyworks.InstanceID]int
	// held are the parts of each engine, those added last first.
	held map[comfreyworks.InstanceID]*simplelru.LRU[key, struct{}]
}

// New returns an index that knows nothing.
func New() *Index {
	return &Index{
		holders: make(map[key]map[comfreyworks.InstanceID]int),
		held:    make(map[comfreyworks.InstanceID]*simplelru.LRU[key, struct{}]),
	}
}

// Salt separates cached parts by the wall of a workspace and by weights: a part
// computed under other weights must never be found.
func Salt(wall string, weights comfreyworks.WeightsRevision) string {
	return wall + "/" + strconv.FormatUint(uint64(weights), 10)
}

// Add records that an engine holds a number of tokens of a part.
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

// partsOf returns the parts of an engine; the oldest go when there are too many.
func (x *Index) partsOf(engine comfreyworks.InstanceID) *simplelru.LRU[key, struct{}] {
	if x.held[engine] == nil {
		// The only error is a size below one.
		x.held[engine], _ = simplelru.NewLRU(maxParts, func(k key, _ struct{}) { x.drop(engine, k) })
	}
	return x.held[engine]
}

// drop forgets that an engine holds a part.
func (x *Index) drop(engine comfreyworks.InstanceID, k key) {
	delete(x.holders[k], engine)
	if len(x.holders[k]) == 0 {
		delete(x.holders, k)
	}
}

func (x *Index) remove(engine comfreyworks.InstanceID, k key) {
	if parts := x.held[engine]; parts != nil {
		parts.Remove(k)
	}
}

// Forget records that nothing is known about an engine.
func (x *Index) Forget(engine comfreyworks.InstanceID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if parts := x.held[engine]; parts != nil {
		parts.Purge()
	}
	delete(x.held, engine)
}

// Prefix returns how many tokens from the start of a prompt each engine holds.
// A part counts only behind parts that are held whole.
func (x *Index) Prefix(salt string, model comfreyworks.Model, parts []comfreyworks.PromptPart) map[comfreyworks.InstanceID]int {
	x.mu.RLock()
	defer x.mu.RUnlock()
	held := make(map[comfreyworks.InstanceID]int)
	before := 0
	for i, part := range parts {
		holders := x.holders[key{salt, model, part.ID}]
		for engine, tokens := range holders {
			if i == 0 || held[engine] == before {
				held[engine] = before + whole(tokens, part.Tokens)
			}
		}
		before += part.Tokens
	}
	return held
}

// whole rounds up to the length of a part if less than a block is missing.
func whole(tokens, length int) int {
	if tokens+blockTokens > length {
		return length
	}
	return tokens
}
