package engine

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreyworks"
)

// Rates holds the speed and the capacity of an engine.
type Rates struct {
	// PrefillTime is the time to prefill one prompt token.
	PrefillTime time.Duration
	// DecodeTime is the time that each decoding request adds to a step.
	DecodeTime time.Duration
	// StepTime is the fixed time of one step.
	StepTime time.Duration
	// MaxStepTokens is the maximum number of prompt tokens prefilled in one step.
	MaxStepTokens int
	// MaxBatch is the maximum number of requests in the batch.
	MaxBatch int
	// CacheBlocks is the size of the prefix cache, in blocks.
	CacheBlocks int
	// ImportTime is the time to import one block into the prefix cache.
	ImportTime time.Duration
}

// DefaultRates returns the rates of a small engine with slow prefill.
func DefaultRates() Rates {
	return Rates{
		PrefillTime:   40 * time.Microsecond,
		DecodeTime:    20 * time.Microsecond,
		StepTime:      4 * time.Millisecond,
		MaxStepTokens: 1024,
		MaxBatch:      48,
		CacheBlocks:   6000,
		ImportTime:    40 * time.Microsecond,
	}
}

// job is the state of one request in the scheduler.
type job struct {
	request comfreyworks.GenerateRequest
	// arrival orders requests of the same priority.
	arrival uint64
	// blocks are the hashes of the prompt's blocks.
	blocks []uint64
	// prefillTokens counts the tokens of the prompt and of the part of the
	// answer that the caller already has.
	prefillTokens int
	// cachedTokens counts the tokens that were in the cache when the prefill
	// began.
	cachedTokens int
	// computedTokens counts the tokens that were cached or have been prefilled.
	computedTokens int
	// expectedPrefill is the number of tokens that were neither cached nor
	// covered by a pending block when the request was submitted.
	expectedPrefill int
	// started means that the prefill has begun.
	started bool
	// pendingRemoved means that the blocks no longer count as pending.
	pendingRemoved bool
	// producedTokens counts the answer's tokens, including those that the caller
	// already has.
	producedTokens int
	// output is closed when the answer is complete or the job has failed.
	output chan comfreyworks.GeneratedToken
	// usage is set when the answer is complete.
	usage comfreyworks.Usage
	// done means that the job is no longer in the scheduler.
	done bool
	// failed means that the scheduler was reset before the answer was complete.
	failed bool
}

// remainingPrefill returns the number of tokens that are still to be prefilled.
func (j *job) remainingPrefill() int { return j.prefillTokens - j.computedTokens }

// scheduler processes requests in batched steps. It is a state machine without a
// clock: planStep returns the duration of a step, and the caller applies its
// results after that time.
type scheduler struct {
	rates Rates
	cache *cache
	// pendingBlocks counts, for each block, the requests whose prefill will
	// store it.
	pendingBlocks map[uint64]int
	// waiting is sorted by priority and arrival.
	waiting []*job
	// running is the batch.
	running []*job
	// arrivals counts the submitted requests.
	arrivals uint64
	// events are the cache events that have not been published yet.
	events []comfreyworks.CacheEvent
	// prefilledTokens counts the tokens prefilled so far.
	prefilledTokens int
}

func newScheduler(rates Rates) *scheduler {
	return &scheduler{rates: rates, cache: newCache(rates.CacheBlocks), pendingBlocks: make(map[uint64]int)}
}

// submit adds a request to the queue, which is sorted by priority and arrival.
func (s *scheduler) submit(request comfreyworks.GenerateRequest) *job {
	s.arrivals++
	j := &job{
		request:        request,
		arrival:        s.arrivals,
		blocks:         blockHashes(request.CacheSalt, request.Prompt),
		prefillTokens:  tokens(request.Prompt),
		producedTokens: request.ResumeFrom,
		output:         make(chan comfreyworks.GeneratedToken, max(request.MaxTokens, 1)),
	}
	// A resumed request also has to prefill the answer so far.
	j.prefillTokens += request.ResumeFrom
	j.expectedPrefill = j.prefillTokens - s.expectedBlocks(j.blocks)*blockTokens
	for _, block := range j.blocks {
		s.pendingBlocks[block]++
	}
	s.waiting = append(s.waiting, j)
	slices.SortStableFunc(s.waiting, func(a, b *job) int {
		if a.request.Priority != b.request.Priority {
			return b.request.Priority - a.request.Priority
		}
		return int(a.arrival) - int(b.arrival)
	})
	return j
}

// remove removes a request from the queue or the batch.
func (s *scheduler) remove(j *job) {
	same := func(other *job) bool { return other == j }
	s.waiting = slices.DeleteFunc(s.waiting, same)
	s.running = slices.DeleteFunc(s.running, same)
	s.removePending(j)
	j.done = true
}

// idle reports whether there are no requests.
func (s *scheduler) idle() bool { return len(s.waiting) == 0 && len(s.running) == 0 }

// planStep plans one step. It returns the step's duration and a function that
// applies its results, to be called after that time.
func (s *scheduler) planStep() (time.Duration, func()) {
	s.admit()
	budget := s.rates.MaxStepTokens
	decoding := 0
	duration := s.rates.StepTime
	chunks := make(map[*job]int)
	for _, j := range s.running {
		if j.remainingPrefill() == 0 {
			decoding++
			continue
		}
		if budget == 0 {
			continue
		}
		s.lookUpPrefix(j)
		chunk := min(budget, j.remainingPrefill())
		budget -= chunk
		chunks[j] = chunk
		duration += time.Duration(chunk) * s.rates.PrefillTime
	}
	duration += time.Duration(decoding) * s.rates.DecodeTime
	return duration, func() { s.applyStep(chunks) }
}

// admit moves waiting requests into the batch until it is full.
func (s *scheduler) admit() {
	for len(s.running) < s.rates.MaxBatch && len(s.waiting) > 0 {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running = append(s.running, j)
	}
}

// lookUpPrefix looks up the cached prefix of a prompt. This happens only when its
// prefill begins, so that it finds blocks that other requests stored while it
// waited. At least one token is always left to prefill.
func (s *scheduler) lookUpPrefix(j *job) {
	if j.started {
		return
	}
	j.started = true
	j.cachedTokens = min(s.cache.touch(j.blocks)*blockTokens, (j.prefillTokens-1)/blockTokens*blockTokens)
	j.computedTokens = j.cachedTokens
}

// applyStep applies the results of a step: it advances the prefill of each prompt
// by its chunk, and each request whose prefill is complete produces one token.
func (s *scheduler) applyStep(chunks map[*job]int) {
	for _, j := range slices.Clone(s.running) {
		chunk := chunks[j]
		s.prefilledTokens += chunk
		if j.remainingPrefill() > 0 {
			j.computedTokens += chunk
			s.cacheComputedBlocks(j)
			if j.remainingPrefill() > 0 {
				continue
			}
			s.reportStored(j)
		}
		s.produceToken(j)
	}
}

// cacheComputedBlocks caches the blocks that have been prefilled completely and
// reports the blocks evicted for them.
func (s *scheduler) cacheComputedBlocks(j *job) {
	complete := min(j.computedTokens/blockTokens, len(j.blocks))
	if removed := s.cache.add(j.blocks[:complete]); len(removed) > 0 {
		s.emit(comfreyworks.CacheEvent{Kind: comfreyworks.BlocksRemoved, Blocks: removed})
	}
}

// reportStored reports that the whole prompt is cached, unless it was found in
// the cache when the prefill began.
func (s *scheduler) reportStored(j *job) {
	s.removePending(j)
	if j.cachedTokens/blockTokens < len(j.blocks) {
		s.emit(comfreyworks.CacheEvent{Kind: comfreyworks.BlocksStored, Request: j.request.ID, Blocks: j.blocks})
	}
}

// removePending removes the blocks of a request from the pending blocks.
func (s *scheduler) removePending(j *job) {
	if j.pendingRemoved {
		return
	}
	j.pendingRemoved = true
	for _, block := range j.blocks {
		s.pendingBlocks[block]--
		if s.pendingBlocks[block] == 0 {
			delete(s.pendingBlocks, block)
		}
	}
}

// expectedBlocks returns how many leading blocks are cached or pending.
func (s *scheduler) expectedBlocks(blocks []uint64) int {
	n := s.cache.peek(blocks)
	for n < len(blocks) && s.pendingBlocks[blocks[n]] > 0 {
		n++
	}
	return n
}

func (s *scheduler) emit(event comfreyworks.CacheEvent) { s.events = append(s.events, event) }

// produceToken emits the next token of an answer and removes the request after
// the last one.
func (s *scheduler) produceToken(j *job) {
	if j.producedTokens < j.request.MaxTokens {
		j.output <- comfreyworks.GeneratedToken{Index: j.producedTokens, Text: OutputToken(j.request.ID, j.producedTokens)}
		j.producedTokens++
	}
	if j.producedTokens < j.request.MaxTokens {
		return
	}
	j.usage = comfreyworks.Usage{
		PromptTokens:     tokens(j.request.Prompt),
		CachedTokens:     min(j.cachedTokens, tokens(j.request.Prompt)),
		CompletionTokens: j.producedTokens,
	}
	s.remove(j)
	close(j.output)
}

// reset fails all requests and empties the cache.
func (s *scheduler) reset() {
	for _, j := range slices.Concat(s.running, s.waiting) {
		j.failed = true
		j.done = true
		close(j.output)
	}
	s.running = nil
	s.waiting = nil
	s.events = nil
	s.cache = newCache(s.rates.CacheBlocks)
	s.pendingBlocks = make(map[uint64]int)
}

// queuedTokens estimates the number of tokens that are still to be prefilled.
func (s *scheduler) queuedTokens() int {
	sum := 0
	for _, list := range [][]*job{s.running, s.waiting} {
		for _, j := range list {
			if j.started {
				sum += j.remainingPrefill()
			} else {
				sum += j.expectedPrefill
			}
		}
	}
	return sum
}

// CommonPrefixTokens returns the length in tokens of the longest common prefix of
// two prompts, given the hashes of their blocks.
func CommonPrefixTokens(a, b []uint64) int { return commonPrefixBlocks(a, b) * blockTokens }

func commonPrefixBlocks(a, b []uint64) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// OutputToken returns the token of an answer at an index. It depends only on the
// request ID and the index, so that any engine can continue an answer and any
// client can check it.
func OutputToken(id comfreyworks.RequestID, index int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	hash := xxhash.Sum64String(string(id) + "/" + strconv.Itoa(index))
	text := []byte{letters[hash%26], letters[hash>>8%26], letters[hash>>16%26], ' '}
	return string(text)
}
