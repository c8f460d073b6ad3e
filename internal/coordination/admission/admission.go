// Package admission implements the priority queue in which requests wait for an
// upstream.
//
// A queue lets a fixed number of requests run at once and orders the others by
// priority, then by arrival. Each class has a maximum number of waiting
// requests, so that under overload new requests are refused early instead of
// waiting until their deadline. The priority of a waiting request grows with
// its age, so that no class starves.
//
// # Usage
//
//	queue := admission.New(admission.Options{Clock: clock, Concurrency: 48})
//	ticket, err := queue.Join(admission.Request{Class: "review", Priority: 10, MaxWaiting: 64})
//	defer ticket.Release()
//	waited, err := ticket.Wait(ctx)
//
// Join fails at once with KindFull if the class already has its maximum of
// waiting requests. Wait fails with KindGivenUp if ctx ends first.
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

// ageingInterval is the waiting time after which the priority of a request
// grows by one.
const ageingInterval = 500 * time.Millisecond

// Options configures a Queue.
type Options struct {
	Clock comfreyworks.Clock
	// Concurrency is how many requests may run at once; it is at least one.
	Concurrency int
}

// Request describes a request that joins the queue.
type Request struct {
	Class    comfreyworks.Class
	Priority int
	// MaxWaiting is how many requests of the class may wait.
	MaxWaiting int
}

// Ticket is the position of a request in the queue and, once ready is closed,
// its permission to run.
type Ticket struct {
	queue    *Queue
	request  Request
	joinedAt time.Time
	sequence uint64
	ready    chan struct{}
	released bool
}

// Queue admits requests. It is safe for concurrent use.
type Queue struct {
	options        Options
	mu             sync.Mutex
	concurrency    int
	running        int
	lastSequence   uint64
	waiting        []*Ticket
	waitingByClass map[comfreyworks.Class]int
}

// New returns an empty queue.
func New(options Options) *Queue {
	return &Queue{options: options, concurrency: options.Concurrency, waitingByClass: make(map[comfreyworks.Class]int)}
}

// Join adds a request to the queue. If fewer requests run than allowed, its
// ticket is ready at once.
func (q *Queue) Join(request Request) (*Ticket, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	t := &Ticket{queue: q, request: request, joinedAt: q.options.Clock.Now(), ready: make(chan struct{})}
	if q.running < q.concurrency {
		q.running++
		close(t.ready)
		return t, nil
	}
	if q.waitingByClass[request.Class] >= request.MaxWaiting {
		return nil, &Error{Op: "join", Kind: KindFull}
	}
	q.lastSequence++
	t.sequence = q.lastSequence
	q.waiting = append(q.waiting, t)
	q.waitingByClass[request.Class]++
	return t, nil
}

// Wait waits until the request may run and returns how long it has waited since
// Join. After an error the ticket is released.
func (t *Ticket) Wait(ctx context.Context) (time.Duration, error) {
	select {
	case <-t.ready:
		return t.queue.options.Clock.Since(t.joinedAt), nil
	case <-ctx.Done():
		t.Release()
		return 0, &Error{Op: "wait", Kind: KindGivenUp, Err: context.Cause(ctx)}
	}
}

// Release removes a waiting request from the queue or frees the slot of a
// running one. Further calls have no effect.
func (t *Ticket) Release() {
	q := t.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.released {
		return
	}
	t.released = true
	select {
	case <-t.ready:
		q.freeSlot()
	default:
		q.remove(t)
	}
}

// SetConcurrency changes how many requests may run at once. A lower number
// takes effect as running requests are released.
func (q *Queue) SetConcurrency(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.concurrency = n
	for q.running < q.concurrency {
		next := q.mostUrgent()
		if next == nil {
			return
		}
		q.running++
		q.remove(next)
		close(next.ready)
	}
}

// freeSlot passes the slot of a request that ended to the most urgent waiting
// request, or frees it.
func (q *Queue) freeSlot() {
	next := q.mostUrgent()
	if next == nil || q.running > q.concurrency {
		q.running--
		return
	}
	q.remove(next)
	close(next.ready)
}

func (q *Queue) mostUrgent() *Ticket {
	now := q.options.Clock.Now()
	var best *Ticket
	for _, w := range q.waiting {
		if best == nil || w.precedes(best, now) {
			best = w
		}
	}
	return best
}

func (t *Ticket) precedes(other *Ticket, now time.Time) bool {
	mine, theirs := t.effectivePriority(now), other.effectivePriority(now)
	if mine != theirs {
		return mine > theirs
	}
	return t.sequence < other.sequence
}

func (t *Ticket) effectivePriority(now time.Time) int {
	return t.request.Priority + int(now.Sub(t.joinedAt)/ageingInterval)
}

func (q *Queue) remove(t *Ticket) {
	i := slices.Index(q.waiting, t)
	if i < 0 {
		return
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	q.waitingByClass[t.request.Class]--
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}
