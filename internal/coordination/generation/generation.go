// Package generation runs streams on one engine.
//
// A stream is started under an identifier, waits for its turn, is driven on
// the engine and buffered frame by frame. Readers come and go and read from
// any frame number. A stream that nobody reads for a while is cancelled,
// because its entry is gone; the engine's work is freed.
//
// # Usage
//
//	m := generation.New(generation.Options{Engine: engine, Tracker: t, Queue: q, ...})
//	refusal := m.Start(work)
//	frames, end, err := m.Read(ctx, id, 0)
//	m.Cancel(id)
//	m.Drain(ctx)
//
// Start answers at once, with a refusal when the work was not taken. Read
// tells a stream that was never started, or long ago, from a silent one. A
// stream whose tokens come out of order ends as incomplete, with KindOrder in
// its detail.
package generation

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"comfreyworks"
	"comfreyworks/internal/coordination/admission"
	"comfreyworks/internal/coordination/keep"
	"comfreyworks/internal/coordination/tracker"
	"comfreyworks/internal/state/stream"
)

// Kind classifies the errors of this package.
type Kind string

// KindOrder means that the engine's tokens did not come in order.
const KindOrder Kind = "tokens out of order"

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

const (
	// orphanTime is how long a stream lives without a reader.
	orphanTime = 15 * time.Second
	// lingerTime is how long a stream is kept after its end was read, for a
	// reader whose answer was lost.
	lingerTime = 5 * time.Second
	// sweepInterval is how often streams are looked over.
	sweepInterval = time.Second
	// drainPoll is how often Drain looks whether streams are left.
	drainPoll = 20 * time.Millisecond
	// busyRetry is when a caller may come back after a full queue.
	busyRetry = time.Second
)

// Options configures a Manager.
type Options struct {
	Engine  comfreyworks.Engine
	Clock   comfreyworks.Clock
	Tracker *tracker.Tracker
	Queue   *admission.Queue
	// Keeper moves prefixes from and to the store of kept cache; nil means that
	// there is none.
	Keeper *keep.Keeper
	// Limits returns the queue limits of a class.
	Limits func(comfreyworks.Class) admission.Request
}

// generation is one stream.
type generation struct {
	work      comfreyworks.GenerateAttempt
	buffer    *stream.Buffer
	cancel    context.CancelFunc
	lastRead  time.Time
	readers   int
	endRead   bool
	queueWait time.Duration
}

// Manager runs streams. It is safe for concurrent use.
type Manager struct {
	options Options
	group   errgroup.Group
	mu      sync.Mutex
	streams map[comfreyworks.StreamID]*generation
	leaving bool
}

// New returns a manager without streams.
func New(options Options) *Manager {
	return &Manager{options: options, streams: make(map[comfreyworks.StreamID]*generation)}
}

// Start takes work or refuses it. Starting an identifier again is harmless.
func (m *Manager) Start(work comfreyworks.GenerateAttempt) *comfreyworks.Refusal {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.streams[work.Stream] != nil {
		return nil
	}
	if refusal := m.refuse(work); refusal != nil {
		return refusal
	}
	ticket, err := m.options.Queue.Join(m.options.Limits(work.Class))
	if err != nil {
		return &comfreyworks.Refusal{Reason: comfreyworks.RefusedBusy, RetryAfter: busyRetry}
	}
	ctx, cancel := context.WithTimeout(context.Background(), work.Remaining)
	g := &generation{
		work:     work,
		buffer:   stream.New(),
		cancel:   cancel,
		lastRead: m.options.Clock.Now(),
	}
	m.streams[work.Stream] = g
	m.group.Go(func() error {
		defer cancel()
		m.run(ctx, g, ticket)
		return nil
	})
	return nil
}

func (m *Manager) refuse(work comfreyworks.GenerateAttempt) *comfreyworks.Refusal {
	weights := m.options.Tracker.Weights()
	switch {
	case m.leaving:
		return &comfreyworks.Refusal{Reason: comfreyworks.RefusedLeaving}
	case m.options.Tracker.Down():
		return &comfreyworks.Refusal{Reason: comfreyworks.RefusedUpstreamDown}
	case weights != "" && work.Request.Weights != "" && weights != work.Request.Weights:
		return &comfreyworks.Refusal{Reason: comfreyworks.RefusedOtherWeights}
	default:
		return nil
	}
}

func (m *Manager) run(ctx context.Context, g *generation, ticket *admission.Ticket) {
	defer ticket.Release()
	work := m.options.Tracker.Begin(g.work.Request.ID, g.work.Chain)
	waited, err := ticket.Wait(ctx)
	if err != nil {
		work.End(comfreyworks.Usage{}, false)
		g.buffer.Close(comfreyworks.StreamEnd{Reason: comfreyworks.EndCancelled, Detail: err.Error()})
		return
	}
	m.setQueueWait(g, waited)
	if m.options.Keeper != nil {
		work.SetCachedTokens(m.options.Keeper.Before(ctx, g.work, work.CachedTokens()))
	}
	usage, err := m.options.Engine.Generate(ctx, g.work.Request, func(piece comfreyworks.GeneratedToken) error {
		work.TokenReceived()
		return g.append(piece)
	})
	work.End(usage, err == nil)
	m.finish(ctx, g, usage, err)
	if m.options.Keeper != nil && err == nil {
		ticket.Release()
		m.options.Keeper.After(ctx, g.work, usage)
	}
}

// append buffers a token. Its index must be the next one: a gap would make an
// answer that looks complete and is not.
func (g *generation) append(piece comfreyworks.GeneratedToken) error {
	expected := g.work.Request.ResumeFrom + g.buffer.Len()
	if piece.Index != expected {
		return &Error{Op: "append", Kind: KindOrder, Err: fmt.Errorf("got %d, expected %d", piece.Index, expected)}
	}
	g.buffer.Append(piece.Text)
	return nil
}

func (m *Manager) finish(ctx context.Context, g *generation, usage comfreyworks.Usage, err error) {
	switch {
	case err == nil:
		g.buffer.Close(comfreyworks.StreamEnd{Reason: comfreyworks.EndComplete, Usage: usage})
	case ctx.Err() != nil:
		g.buffer.Close(comfreyworks.StreamEnd{Reason: comfreyworks.EndCancelled, Detail: err.Error()})
	default:
		m.options.Tracker.RequestRefresh()
		g.buffer.Close(comfreyworks.StreamEnd{Reason: comfreyworks.EndIncomplete, Detail: err.Error()})
	}
}

func (m *Manager) setQueueWait(g *generation, waited time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g.queueWait = waited
}

// Read returns the frames of a stream from a number on, waiting for news until
// ctx ends.
func (m *Manager) Read(ctx context.Context, id comfreyworks.StreamID, from int) (comfreyworks.StreamUpdate, error) {
	g := m.enter(id)
	if g == nil {
		return comfreyworks.StreamUpdate{Unknown: true}, nil
	}
	frames, end, err := g.buffer.Read(ctx, from)
	queueWait := m.leave(g, end != nil)
	if err != nil {
		// Frames that were never written belong to another stream.
		return comfreyworks.StreamUpdate{Unknown: true}, nil
	}
	return comfreyworks.StreamUpdate{Frames: frames, End: end, QueueWait: queueWait}, nil
}

func (m *Manager) enter(id comfreyworks.StreamID) *generation {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.streams[id]
	if g != nil {
		g.readers++
	}
	return g
}

func (m *Manager) leave(g *generation, endRead bool) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	g.readers--
	g.lastRead = m.options.Clock.Now()
	g.endRead = g.endRead || endRead
	return g.queueWait
}

// Cancel gives a stream up and frees the engine's work.
func (m *Manager) Cancel(id comfreyworks.StreamID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if g := m.streams[id]; g != nil {
		g.cancel()
		delete(m.streams, id)
	}
}

// Run sweeps streams until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	for {
		select {
		case <-m.options.Clock.After(sweepInterval):
			m.Sweep()
		case <-ctx.Done():
			return nil
		}
	}
}

// Sweep cancels streams without readers and forgets those that were read.
func (m *Manager) Sweep() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock.Now()
	for id, g := range m.streams {
		idle := now.Sub(g.lastRead)
		orphaned := g.readers == 0 && idle > orphanTime
		done := g.endRead && idle > lingerTime
		if orphaned || done {
			g.cancel()
			delete(m.streams, id)
		}
	}
}

// Drain refuses new work and waits until every stream has ended and its end
// has been read, or until ctx ends; then it cancels what is left.
func (m *Manager) Drain(ctx context.Context) error {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	for m.unread() > 0 && ctx.Err() == nil {
		select {
		case <-m.options.Clock.After(drainPoll):
		case <-ctx.Done():
		}
	}
	m.cancelAll()
	return errors.Join(m.group.Wait(), ctx.Err())
}

func (m *Manager) unread() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, g := range m.streams {
		if !g.endRead {
			n++
		}
	}
	return n
}

func (m *Manager) cancelAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, g := range m.streams {
		g.cancel()
	}
}

// Open returns the number of streams that the manager keeps.
func (m *Manager) Open() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.streams)
}
