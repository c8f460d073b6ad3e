// Package memory accounts for the bytes that a process holds for callers and upstreams, so
// that all of them together stay within a limit.
//
// Each request, header or answer that is being read has a Hold, which grows as its bytes
// arrive, and not by what was announced. Callers' bytes compete by age: if there is no room,
// a hold whose bytes have stopped arriving gives way, else one that is younger than the one
// that grows, else that one itself. The oldest one thus always completes, however many
// there are. Holds that stay small may use a reserve that the others cannot. Of answers,
// which have a share of their own, the largest gives way.
//
// # Usage
//
//	budget := memory.New(memory.Options{Limit: 32 << 20, Clock: clock, Meter: m})
//	hold := budget.Hold(memory.Body, func() { _ = conn.SetReadDeadline(time.Now()) })
//	defer hold.Release()
//	body, err := hold.ReadAll(ctx, r.Body, r.ContentLength)
//	hold.Complete()
//
// A nil Budget has no limit; its holds are nil and do nothing.
package memory

import (
	"cmp"
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"comfreyworks"
	"comfreyworks/internal/state/meter"
)

// Kind is the kind of what is held.
type Kind string

// Kinds of holds.
const (
	// Header is a request's header.
	Header Kind = "header"
	// Body is a request's body.
	Body Kind = "body"
	// Answer is an answer to a call of the process itself.
	Answer Kind = "answer"
)

// ErrFull means that there is no room, or that a hold gave way to another one.
var ErrFull = errors.New("no memory left for it")

const (
	// smallHold is the size up to which holds may use the reserve.
	smallHold = 64 << 10
	// reserveShare is the part of the limit that is reserved for small holds.
	reserveShare = 0.25
	// stallTime is how long no byte arrives for a hold until it is the first to give way.
	stallTime = time.Second
	// evictionWait is how long a hold waits in all for room that others are giving back.
	evictionWait = time.Second
	// minBuffer is the first size of the buffer of ReadAll.
	minBuffer = 4 << 10
	// A buffer of one part in largeBuffer of what a single hold may have grows by a quarter and
	// is not doubled: its unused end would take the room that the rest needs.
	largeBuffer = 4
)

// Options configures a Budget.
type Options struct {
	// Limit is the number of bytes that all holds may have together.
	Limit int64
	// AnswerShare is the part of it that answers may use; zero means RelayedAnswers.
	AnswerShare float64
	Clock       comfreyworks.Clock
	Meter       *meter.Meter
}

// Budget is the account of a process. It is safe for concurrent use.
type Budget struct {
	options Options

	mu sync.Mutex
	// total and answers are the bytes of all holds and of answers, yielding those of holds that
	// were told to give way.
	total, answers, yielding int64
	// holds contains the holds that may be told to give way.
	holds map[*Hold]struct{}
	next  uint64
	// released is closed, and replaced, when a hold is released.
	released chan struct{}
}

// Values of Options.AnswerShare, for processes that pass answers on as they arrive, and for
// those that need a whole one.
const (
	RelayedAnswers = 0.25
	WholeAnswers   = 0.75
)

// New returns an account without holds.
func New(options Options) *Budget {
	options.AnswerShare = cmp.Or(options.AnswerShare, RelayedAnswers)
	return &Budget{options: options, holds: make(map[*Hold]struct{}), released: make(chan struct{})}
}

// Hold is what is held for one request, header or answer.
type Hold struct {
	budget *Budget
	kind   Kind
	// age is lower for older holds.
	age uint64
	// evict makes the owner release the hold.
	evict func()

	// The mutex of the budget protects what follows.
	bytes             int64
	grownAt           time.Time
	evicted, released bool
}

// Hold returns a hold without bytes. evict is called at most once, in the goroutine of
// another hold, if this one has to give way before Complete; its owner then has to call
// Release soon.
func (b *Budget) Hold(kind Kind, evict func()) *Hold {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	h := &Hold{budget: b, kind: kind, age: b.next, evict: evict, grownAt: b.options.Clock.Now()}
	b.holds[h] = struct{}{}
	return h
}

// Largest returns the maximum size of a single hold of callers' bytes.
func (b *Budget) Largest() int64 {
	return b.options.Limit - int64(reserveShare*float64(b.options.Limit))
}

// fits reports whether a hold may grow. The mutex must be held.
func (b *Budget) fits(h *Hold, n int64) bool {
	limit := b.options.Limit
	switch {
	case h.kind == Answer:
		return b.answers+n <= int64(b.options.AnswerShare*float64(limit)) && b.total+n <= limit
	case h.bytes+n <= smallHold:
		return b.total+n <= limit
	default:
		return b.total+n <= b.Largest()
	}
}

// victim returns the hold that has to give way for h, or nil. The mutex must be held.
func (b *Budget) victim(h *Hold, now time.Time) (victim *Hold) {
	for other := range b.holds {
		switch {
		case other == h || other.bytes == 0 || (other.kind == Answer) != (h.kind == Answer):
		case h.kind == Answer:
			if other.bytes > h.bytes && (victim == nil || other.bytes > victim.bytes) {
				victim = other
			}
		case now.Sub(other.grownAt) >= stallTime:
			if victim == nil || other.grownAt.Before(victim.grownAt) {
				victim = other
			}
		case other.age > h.age && (victim == nil || (now.Sub(victim.grownAt) < stallTime && other.age > victim.age)):
			victim = other
		}
	}
	return victim
}

// TryGrow adds n bytes unless there is no room. Then it tells another hold to give way, so
// that there may be room later, and returns false.
func (h *Hold) TryGrow(n int64) bool {
	if h == nil {
		return true
	}
	grown, _, _ := h.tryGrow(n)
	return grown
}

// tryGrow also returns whether others are giving way, and the channel that is closed when one
// has done so.
func (h *Hold) tryGrow(n int64) (grown, waits bool, released <-chan struct{}) {
	b := h.budget
	b.mu.Lock()
	now := b.options.Clock.Now()
	if h.evicted || h.released {
		b.mu.Unlock()
		return false, false, nil
	}
	if b.fits(h, n) {
		h.add(n)
		h.grownAt = now
		b.mu.Unlock()
		return true, false, nil
	}
	released = b.released
	var victim *Hold
	if b.yielding < n {
		if victim = b.victim(h, now); victim != nil {
			victim.evicted = true
			b.yielding += victim.bytes
			delete(b.holds, victim)
		}
	}
	waits = b.yielding > 0
	b.mu.Unlock()
	if victim != nil {
		b.count("comfrey_memory_evicted_total", victim.kind)
		victim.evict()
	}
	return false, waits, released
}

// add adds n bytes, which may be negative. The mutex must be held.
func (h *Hold) add(n int64) {
	b := h.budget
	h.bytes += n
	b.total += n
	if h.kind == Answer {
		b.answers += n
	}
	b.options.Meter.SetGauge("comfrey_memory_held_bytes", float64(b.total))
	b.options.Meter.SetGauge("comfrey_memory_answers_bytes", float64(b.answers))
}

// Grow adds n bytes. If there is no room, it tells others to give way and waits for them; if
// there are none that have to, or they take too long, it returns ErrFull.
func (h *Hold) Grow(ctx context.Context, n int64) error {
	if h == nil {
		return nil
	}
	var timeout <-chan time.Time
	for {
		grown, waits, released := h.tryGrow(n)
		if grown {
			return nil
		}
		if !waits {
			h.budget.count("comfrey_memory_refused_total", h.kind)
			return ErrFull
		}
		if timeout == nil {
			timer := h.budget.options.Clock.NewTimer(evictionWait)
			defer timer.Stop()
			timeout = timer.Chan()
		}
		select {
		case <-released:
		case <-timeout:
			h.budget.count("comfrey_memory_refused_total", h.kind)
			return ErrFull
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// Complete tells that all bytes have arrived: from now on the hold does not give way.
func (h *Hold) Complete() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	delete(h.budget.holds, h)
}

// Evicted reports whether the hold had to give way.
func (h *Hold) Evicted() bool {
	if h == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.evicted
}

// Release ends the hold. Further calls have no effect.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.released {
		return
	}
	h.released = true
	delete(b.holds, h)
	h.empty()
}

// Empty gives all bytes back; the hold may grow again.
func (h *Hold) Empty() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.empty()
}

// empty gives all bytes back. The mutex must be held.
func (h *Hold) empty() {
	b := h.budget
	if h.bytes == 0 {
		return
	}
	if h.evicted {
		b.yielding -= h.bytes
	}
	h.add(-h.bytes)
	close(b.released)
	b.released = make(chan struct{})
}

// ReadAll reads until the end, like io.ReadAll. The buffer grows as bytes arrive; up to
// expected bytes, the announced length or the limit of the reader, it does not exceed that.
func (h *Hold) ReadAll(ctx context.Context, r io.Reader, expected int64) ([]byte, error) {
	if h == nil {
		return io.ReadAll(r)
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			size := max(int64(2*cap(body)), minBuffer)
			if int64(cap(body)) >= h.budget.Largest()/largeBuffer {
				size = int64(cap(body) + cap(body)/4)
			}
			if int64(cap(body)) <= expected {
				// One byte more finds the end without another growth.
				size = min(size, expected+1)
			}
			if err := h.Grow(ctx, size-int64(cap(body))); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return body, err
		}
		if n > 0 {
			h.arrived()
		}
	}
}

// arrived tells that bytes have arrived for which the hold has grown before.
func (h *Hold) arrived() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.grownAt = h.budget.options.Clock.Now()
}

func (b *Budget) count(name string, kind Kind) {
	b.options.Meter.Add(name, meter.Labels{Class: comfreyworks.Class(kind)}, 1)
}
