// Package generation runs streams on one engine.
//
// A stream is started under an ID, waits in the queue, runs on the engine and
// is buffered frame by frame. Readers may reconnect and read from any frame
// number. A stream that nobody has read for a while is cancelled to free the
// engine, because its entry has probably been lost.
//
// # Usage
//
//	m := generation.New(generation.Options{Engine: engine, Tracker: t, Queue: q, ...})
//	refusal := m.Start(attempt)
//	update, err := m.Read(ctx, id, 0)
//	m.Cancel(id)
//	m.Drain(ctx)
//
// Start returns at once, with a refusal if the attempt was not accepted. Read
// sets Unknown for a stream that was never started or has been removed, but not
// for a stream that merely has no new frames. A stream whose tokens arrive out
// of order ends as incomplete, with KindOrder in its detail.
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

// KindOrder means that the engine sent tokens out of order.
const KindOrder Kind = "tokens out of order"

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

const (
	// orphanTimeout is how long a stream is kept without a reader.
	orphanTimeout = 15 * time.Second
	// endRetention is how long a stream is kept after its end was read, in case
	// the answer to that read was lost and the read is repeated.
	endRetention = 5 * time.Second
	// sweepInterval is the time between two calls of Sweep.
	sweepInterval = time.Second
	// drainPollInterval is how often Drain checks for remaining streams.
	drainPollInterval = 20 * time.Millisecond
	// busyRetryAfter is the RetryAfter of a refusal because the queue is full.
	busyRetryAfter = time.Second
)

// Options configures a Manager.
type Options struct {
	Engine  comfreyworks.Engine
	Clock   comfreyworks.Clock
	Tracker *tracker.Tracker
	Queue   *admission.Queue
	// Offloader imports prefixes from the cache store and exports them to it; nil
	// means that there is no cache store.
	Offloader *keep.Offloader
	// Limits returns the queue parameters of a class.
	Limits func(comfreyworks.Class) admission.Request
}

// generation is one stream with its buffered frames.
type generation struct {
	attempt   comfreyworks.GenerateAttempt
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

// Start accepts an attempt or refuses it. Starting a stream again with the same
// ID has no effect, except that it counts as a read: its entry is still there.
func (m *Manager) Start(attempt comfreyworks.GenerateAttempt) *comfreyworks.Refusal {
	m.mu.Lock()
	defer m.mu.Unlock()
	if g := m.streams[attempt.Stream]; g != nil {
		g.lastRead = m.options.Clock.Now()
		return nil
	}
	if refusal := m.refusalFor(attempt); refusal != nil {
		return refusal
	}
	ticket, err := m.options.Queue.Join(m.options.Limits(attempt.Class))
	if err != nil {
		return &comfreyworks.Refusal{Reason: comfreyworks.RefusedBusy, RetryAfter: busyRetryAfter}
	}
	ctx, cancel := context.WithTimeout(context.Background(), attempt.Remaining)
	g := &generation{
		attempt:  attempt,
		buffer:   stream.New(),
		cancel:   cancel,
		lastRead: m.options.Clock.Now(),
	}
	m.streams[attempt.Stream] = g
	m.group.Go(func() error {
		defer cancel()
		m.run(ctx, g, ticket)
		return nil
	})
	return nil
}

func (m *Manager) refusalFor(attempt comfreyworks.GenerateAttempt) *comfreyworks.Refusal {
	weights := m.options.Tracker.Weights()
	switch {
	case m.leaving:
		return &comfreyworks.Refusal{Reason: comfreyworks.RefusedLeaving}
	case m.options.Tracker.Down():
		return &comfreyworks.Refusal{Reason: comfreyworks.RefusedUpstreamDown}
	case weights != "" && attempt.Request.Weights != "" && weights != attempt.Request.Weights:
		return &comfreyworks.Refusal{Reason: comfreyworks.RefusedOtherWeights}
	default:
		return nil
	}
}

func (m *Manager) run(ctx context.Context, g *generation, ticket *admission.Ticket) {
	defer ticket.Release()
	request := m.options.Tracker.Begin(g.attempt.Request.ID, g.attempt.Chain)
	waited, err := ticket.Wait(ctx)
	if err != nil {
		request.End(comfreyworks.Usage{}, false)
		g.buffer.Close(comfreyworks.StreamEnd{Reason: comfreyworks.EndCancelled, Detail: err.Error()})
		return
	}
	m.setQueueWait(g, waited)
	if m.options.Offloader != nil {
		request.SetCachedTokens(m.options.Offloader.Import(ctx, g.attempt, request.CachedTokens()))
	}
	usage, err := m.options.Engine.Generate(ctx, g.attempt.Request, func(token comfreyworks.GeneratedToken) error {
		request.TokenReceived()
		return g.appendToken(token)
	})
	request.End(usage, err == nil)
	m.finish(ctx, g, usage, err)
	if m.options.Offloader != nil && err == nil {
		ticket.Release()
		m.options.Offloader.Export(ctx, g.attempt, usage)
	}
}

// appendToken buffers a token. Its index must be the next one, because after a
// gap the answer would look complete although tokens are missing.
func (g *generation) appendToken(token comfreyworks.GeneratedToken) error {
	expected := g.attempt.Request.ResumeFrom + g.buffer.Len()
	if token.Index != expected {
		return &Error{Op: "append", Kind: KindOrder, Err: fmt.Errorf("got %d, expected %d", token.Index, expected)}
	}
	g.buffer.Append(token.Text)
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
		g.buffer.Close(comfreyworks.StreamEnd{
			Reason: comfreyworks.EndIncomplete, Detail: err.Error(),
			NotSent: errors.Is(err, comfreyworks.ErrNotSent),
		})
	}
}

func (m *Manager) setQueueWait(g *generation, waited time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g.queueWait = waited
}

// Read returns the frames of a stream, starting with frame number from. If
// there are none yet, it waits until there are, or the stream or ctx ends.
func (m *Manager) Read(ctx context.Context, id comfreyworks.StreamID, from int) (comfreyworks.StreamUpdate, error) {
	g := m.addReader(id)
	if g == nil {
		return comfreyworks.StreamUpdate{Unknown: true}, nil
	}
	frames, end, err := g.buffer.Read(ctx, from)
	queueWait := m.removeReader(g, end != nil)
	if err != nil {
		// A reader that asks for more frames than were written has read
		// another stream.
		return comfreyworks.StreamUpdate{Unknown: true}, nil
	}
	return comfreyworks.StreamUpdate{Frames: frames, End: end, QueueWait: queueWait}, nil
}

func (m *Manager) addReader(id comfreyworks.StreamID) *generation {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.streams[id]
	if g != nil {
		g.readers++
	}
	return g
}

func (m *Manager) removeReader(g *generation, endRead bool) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	g.readers--
	g.lastRead = m.options.Clock.Now()
	g.endRead = g.endRead || endRead
	return g.queueWait
}

// Cancel stops a stream, removes it and frees the engine.
func (m *Manager) Cancel(id comfreyworks.StreamID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if g := m.streams[id]; g != nil {
		g.cancel()
		delete(m.streams, id)
	}
}

// Run calls Sweep periodically until ctx ends.
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

// Sweep cancels and removes streams without a reader, and removes streams whose
// end was read some time ago.
func (m *Manager) Sweep() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock.Now()
	for id, g := range m.streams {
		idle := now.Sub(g.lastRead)
		orphaned := g.readers == 0 && idle > orphanTimeout
		done := g.endRead && idle > endRetention
		if orphaned || done {
			g.cancel()
			delete(m.streams, id)
		}
	}
}

// Drain refuses new streams and waits until every stream has ended and its end
// has been read, or until ctx ends. Then it cancels the remaining streams.
func (m *Manager) Drain(ctx context.Context) error {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	for m.countUnread() > 0 && ctx.Err() == nil {
		select {
		case <-m.options.Clock.After(drainPollInterval):
		case <-ctx.Done():
		}
	}
	m.cancelAll()
	return errors.Join(m.group.Wait(), ctx.Err())
}

func (m *Manager) countUnread() int {
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

// StreamCount returns the number of streams in memory, including ended ones.
func (m *Manager) StreamCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.streams)
}
