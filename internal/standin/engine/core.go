package engine

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreyworks"
)

// Rates describes an engine's speed and size.
type Rates struct {
	// PrefillTime is the time to compute one prompt token.
	PrefillTime time.Duration
	// DecodeTime is the time that one running sequence adds to a step.
	DecodeTime time.Duration
	// StepTime is the fixed time of one step.
	StepTime time.Duration
	// StepTokens bounds the prompt tokens of one step.
	StepTokens int
	// Batch bounds the sequences that run at once.
	Batch int
	// CacheBlocks is the size of the prefix cache, in blocks.
	CacheBlocks int
	// ImportTime is the time to import one cached block.
	ImportTime time.Duration
}

// DefaultRates is a small engine whose prefill is costly.
func DefaultRates() Rates {
	return Rates{
		PrefillTime: 40 * time.Microsecond,
		DecodeTime:  20 * time.Microsecond,
		StepTime:    4 * time.Millisecond,
		StepTokens:  1024,
		Batch:       48,
		CacheBlocks: 6000,
		ImportTime:  40 * time.Microsecond,
	}
}

// job is one sequence.
type job struct {
	request  comfreyworks.GenerateRequest
	order    uint64
	blocks   []uint64
	prompt   int
	cached   int
	computed int
	// fresh is how many tokens nobody ahead was going to compute on arrival.
	fresh    int
	started  bool
	stored   bool
	produced int
	output   chan comfreyworks.GeneratedToken
	usage    comfreyworks.Usage
	done     bool
	failed   bool
}

// remaining is the number of prompt tokens still to compute.
func (j *job) remaining() int { return j.prompt - j.computed }

// core is the engine's scheduler: a pure state machine that says how long each
// step takes and what it brings.
type core struct {
	rates Rates
	cache *cache
	// coming counts the requests that are going to store each block.
	coming  map[uint64]int
	waiting []*job
	running []*job
	order   uint64
	events  []comfreyworks.CacheEvent
	// prefilledTokens counts the prompt tokens computed so far.
	prefilledTokens int
}

func newCore(rates Rates) *core {
	return &core{rates: rates, cache: newCache(rates.CacheBlocks), coming: make(map[uint64]int)}
}

// submit queues a request by priority, then by arrival.
func (c *core) submit(request comfreyworks.GenerateRequest) *job {
	c.order++
	j := &job{
		request:  request,
		order:    c.order,
		blocks:   blockHashes(request.CacheSalt, request.Prompt),
		prompt:   tokens(request.Prompt),
		produced: request.ResumeFrom,
		output:   make(chan comfreyworks.GeneratedToken, max(request.MaxTokens, 1)),
	}
	// The answer so far has to be computed again on a resumed request.
	j.prompt += request.ResumeFrom
	j.fresh = j.prompt - c.outlook(j.blocks)*blockTokens
	for _, block := range j.blocks {
		c.coming[block]++
	}
	c.waiting = append(c.waiting, j)
	slices.SortStableFunc(c.waiting, func(a, b *job) int {
		if a.request.Priority != b.request.Priority {
			return b.request.Priority - a.request.Priority
		}
		return int(a.order) - int(b.order)
	})
	return j
}

// cancel takes a request out wherever it is.
func (c *core) cancel(j *job) {
	same := func(other *job) bool { return other == j }
	c.waiting = slices.DeleteFunc(c.waiting, same)
	c.running = slices.DeleteFunc(c.running, same)
	c.arrived(j)
	j.done = true
}

// idle reports whether there is nothing to do.
func (c *core) idle() bool { return len(c.waiting) == 0 && len(c.running) == 0 }

// step plans one step. It returns the step's duration and a function that
// carries its results out once that time has passed.
func (c *core) step() (time.Duration, func()) {
	c.admit()
	budget := c.rates.StepTokens
	decoding := 0
	duration := c.rates.StepTime
	chunks := make(map[*job]int)
	for _, j := range c.running {
		if j.remaining() == 0 {
			decoding++
			continue
		}
		if budget == 0 {
			continue
		}
		c.begin(j)
		chunk := min(budget, j.remaining())
		budget -= chunk
		chunks[j] = chunk
		duration += time.Duration(chunk) * c.rates.PrefillTime
	}
	duration += time.Duration(decoding) * c.rates.DecodeTime
	return duration, func() { c.finish(chunks) }
}

// admit moves waiting requests into the batch.
func (c *core) admit() {
	for len(c.running) < c.rates.Batch && len(c.waiting) > 0 {
		j := c.waiting[0]
		c.waiting = c.waiting[1:]
		c.running = append(c.running, j)
	}
}

// begin looks up a prompt's prefix when its first tokens are to be computed,
// so that it finds what requests ahead of it have stored meanwhile.
func (c *core) begin(j *job) {
	if j.started {
		return
	}
	j.started = true
	j.cached = min(c.cache.held(j.blocks)*blockTokens, (j.prompt-1)/blockTokens*blockTokens)
	j.computed = j.cached
}

// finish applies a step: prompts advance, and every sequence whose prompt is
// complete produces one token.
func (c *core) finish(chunks map[*job]int) {
	for _, j := range slices.Clone(c.running) {
		chunk := chunks[j]
		c.prefilledTokens += chunk
		if j.remaining() > 0 {
			j.computed += chunk
			c.storeComputed(j)
			if j.remaining() > 0 {
				continue
			}
			c.storePrompt(j)
		}
		c.produce(j)
	}
}

// storeComputed caches the blocks that are complete so far.
func (c *core) storeComputed(j *job) {
	complete := min(j.computed/blockTokens, len(j.blocks))
	if removed := c.cache.store(j.blocks[:complete]); len(removed) > 0 {
		c.emit(comfreyworks.CacheEvent{Kind: comfreyworks.BlocksRemoved, Blocks: removed})
	}
}

// storePrompt tells that a whole prompt is cached, unless it was before.
func (c *core) storePrompt(j *job) {
	c.arrived(j)
	if j.cached/blockTokens < len(j.blocks) {
		c.emit(comfreyworks.CacheEvent{Kind: comfreyworks.BlocksStored, Request: j.request.ID, Blocks: j.blocks})
	}
}

// arrived takes back what a request was going to store.
func (c *core) arrived(j *job) {
	if j.stored {
		return
	}
	j.stored = true
	for _, block := range j.blocks {
		c.coming[block]--
		if c.coming[block] == 0 {
			delete(c.coming, block)
		}
	}
}

// outlook returns how many of the first blocks are cached or coming.
func (c *core) outlook(blocks []uint64) int {
	n := c.cache.peek(blocks)
	for n < len(blocks) && c.coming[blocks[n]] > 0 {
		n++
	}
	return n
}

func (c *core) emit(event comfreyworks.CacheEvent) { c.events = append(c.events, event) }

func (c *core) produce(j *job) {
	if j.produced < j.request.MaxTokens {
		j.output <- comfreyworks.GeneratedToken{Index: j.produced, Text: OutputToken(j.request.ID, j.produced)}
		j.produced++
	}
	if j.produced < j.request.MaxTokens {
		return
	}
	j.usage = comfreyworks.Usage{
		PromptTokens:     tokens(j.request.Prompt),
		CachedTokens:     min(j.cached, tokens(j.request.Prompt)),
		CompletionTokens: j.produced,
	}
	c.cancel(j)
	close(j.output)
}

// crash fails every request and empties the cache.
func (c *core) crash() {
	for _, j := range slices.Concat(c.running, c.waiting) {
		j.failed = true
		j.done = true
		close(j.output)
	}
	c.running = nil
	c.waiting = nil
	c.events = nil
	c.cache = newCache(c.rates.CacheBlocks)
	c.coming = make(map[uint64]int)
}

// queuedTokens is the number of prompt tokens still to compute.
func (c *core) queuedTokens() int {
	sum := 0
	for _, list := range [][]*job{c.running, c.waiting} {
		for _, j := range list {
			if j.started {
				sum += j.remaining()
			} else {
				sum += j.fresh
			}
		}
	}
	return sum
}

// CommonTokens returns the length of the prefix that two prompts share.
func CommonTokens(a, b []uint64) int { return commonPrefix(a, b) * blockTokens }

func commonPrefix(a, b []uint64) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// OutputToken returns one token of the answer to a request. It depends on
// nothing else, so that an answer can be checked and continued anywhere.
func OutputToken(id comfreyworks.RequestID, index int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	sum := xxhash.Sum64String(string(id) + "/" + strconv.Itoa(index))
	word := []byte{letters[sum%26], letters[sum>>8%26], letters[sum>>16%26], ' '}
	return string(word)
}
