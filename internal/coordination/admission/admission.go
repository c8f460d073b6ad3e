// Package admission decides which waiting request a sidecar gives to its
// upstream next.
//
// A queue lets a fixed number of requests run and holds the others back by
// priority, then by arrival. Each class has a bound on how many may wait, so
// that an overload is refused early instead of being kept until it is late.
// A waiting request gains priority with age, so that no class starves.
//
// # Usage
//
//	queue := admission.New(admission.Options{Clock: clock, Concurrency: 48})
//	ticket, err := queue.Join(admission.Request{Class: "review", Priority: 10, Bound: 64})
//	defer ticket.Leave()
//	waited, err := ticket.Wait(ctx)
//
// Join fails at once with KindFull when the class's bound is reached; Wait
// fails with KindGivenUp when ctx ends first.
package admission

import (
	"context"
	"slices"
	"sync"
	"time"

	"comfreyworks"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindFull    Kind = "queue full"
	KindGivenUp Kind = "given up"
)

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

// ageingStep is the wait after which a request gains one step of priority.
const ageingStep = 500 * time.Millisecond

// Options configures a Queue.
type Options struct {
	Clock comfreyworks.Clock
	// Concurrency is how many requests run at once; at least one.
	Concurrency int
}

// Request describes a request that wants to run.
type Request struct {
	Class    comfreyworks.Class
	Priority int
	// Bound is how many requests of the class may wait.
	Bound int
}

// Ticket is a place in the queue and, once it is ready, the right to run.
type Ticket struct {
	queue   *Queue
	request Request
	since   time.Time
	order   uint64
	ready   chan struct{}
	left    bool
}

// Queue admits requests. It is safe for concurrent use.
type Queue struct {
	options     Options
	mu          sync.Mutex
	concurrency int
	running     int
	order       uint64
	waiting     []*Ticket
	byClass     map[comfreyworks.Class]int
}

// New returns an empty queue.
func New(options Options) *Queue {
	return &Queue{options: options, concurrency: options.Concurrency, byClass: make(map[comfreyworks.Class]int)}
}

// Join takes a place in the queue, or runs at once when there is room.
func (q *Queue) Join(request Request) (*Ticket, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	t := &Ticket{queue: q, request: request, since: q.options.Clock.Now(), ready: make(chan struct{})}
	if q.running < q.concurrency {
		q.running++
		close(t.ready)
		return t, nil
	}
	if q.byClass[request.Class] >= request.Bound {
		return nil, &Error{Op: "join", Kind: KindFull}
	}
	q.order++
	t.order = q.order
	q.waiting = append(q.waiting, t)
	q.byClass[request.Class]++
	return t, nil
}

// Wait returns how long the request waited for the right to run. After an
// error the ticket has been given back.
func (t *Ticket) Wait(ctx context.Context) (time.Duration, error) {
	select {
	case <-t.ready:
		return t.queue.options.Clock.Since(t.since), nil
	case <-ctx.Done():
		t.Leave()
		return 0, &Error{Op: "wait", Kind: KindGivenUp, Err: context.Cause(ctx)}
	}
}

// Leave gives the ticket back, whether it is still waiting or runs. Further
// calls do nothing.
func (t *Ticket) Leave() {
	q := t.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.left {
		return
	}
	t.left = true
	select {
	case <-t.ready:
		q.release()
	default:
		q.remove(t)
	}
}

// SetConcurrency changes how many requests run at once. Fewer take effect as
// requests leave.
func (q *Queue) SetConcurrency(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.concurrency = n
	for q.running < q.concurrency {
		next := q.best()
		if next == nil {
			return
		}
		q.running++
		q.remove(next)
		close(next.ready)
	}
}

// release hands a place to the best waiter or frees it.
func (q *Queue) release() {
	next := q.best()
	if next == nil || q.running > q.concurrency {
		q.running--
		return
	}
	q.remove(next)
	close(next.ready)
}

func (q *Queue) best() *Ticket {
	now := q.options.Clock.Now()
	var best *Ticket
	for _, w := range q.waiting {
		if best == nil || w.before(best, now) {
			best = w
		}
	}
	return best
}

func (t *Ticket) before(other *Ticket, now time.Time) bool {
	mine, theirs := t.urgency(now), other.urgency(now)
	if mine != theirs {
		return mine > theirs
	}
	return t.order < other.order
}

func (t *Ticket) urgency(now time.Time) int {
	return t.request.Priority + int(now.Sub(t.since)/ageingStep)
}

func (q *Queue) remove(t *Ticket) {
	i := slices.Index(q.waiting, t)
	if i < 0 {
		return
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	q.byClass[t.request.Class]--
}

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}
