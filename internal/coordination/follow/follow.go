// Package follow keeps a catalog up to date. It reads the sources of declarations
// and upstreams repeatedly and logs when one of them becomes unavailable.
//
// # Usage
//
//	follower := follow.New(follow.Options{Declarations: source, Upstreams: source, Catalog: c, ...})
//	group.Go(func() error { return follower.Run(ctx) })
//
// Run returns when ctx ends.
package follow

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"comfreyworks"
	"comfreyworks/internal/state/catalog"
	"comfreyworks/internal/state/faults"
	"comfreyworks/internal/state/meter"
)

const (
	// declarationWait is the time between two moments as of which the declarations are known
	// to be complete: reads wait for changes until then, and at least minDeclarationWait.
	declarationWait    = 800 * time.Millisecond
	minDeclarationWait = 200 * time.Millisecond
	// upstreamInterval is the pause between two reads of the upstreams. Engines
	// stop no earlier than two seconds after they announced it.
	upstreamInterval = 800 * time.Millisecond
	// fallbackAge is the age of what is known to be complete at which a gateway that relies
	// on others reads the source itself. A change must be known everywhere within 2 s, also
	// if it was made just after the last confirmation that readers passed on before they
	// lost the source. When the next one arrives, what is known is as old as one read and
	// the time to pass it on to peers. Options.FallbackDelay extends it.
	fallbackAge = 1400 * time.Millisecond
	// substituteInterval is the pause between reads of the declarations by a gateway that
	// relies on others, as long as nothing newer than its own last read arrives. Readers
	// that can reach their peers and not the source would otherwise be replaced by one
	// read in declarationFallbackAge.
	substituteInterval = 800 * time.Millisecond
	// standbyInterval is the interval at which a gateway that relies on others
	// checks whether it still may.
	standbyInterval = 100 * time.Millisecond
	// responseTimeout is the time that a read may take in addition to its wait. A
	// slow store takes 0.4 s.
	responseTimeout = 1200 * time.Millisecond
	// retryInterval is the pause after the first failed read. It doubles with each
	// further failure up to maxReaderRetry or, for a gateway that relies on others,
	// maxStandbyRetry: while the source is down, all gateways read it, and the
	// readers tell the others when it is back.
	retryInterval   = 150 * time.Millisecond
	maxReaderRetry  = 600 * time.Millisecond
	maxStandbyRetry = 2400 * time.Millisecond
)

// errPanic means that a source could not be read because of a panic.
var errPanic = errors.New("panic while reading")

// Options configures a Follower.
type Options struct {
	Declarations comfreyworks.DeclarationSource
	Upstreams    comfreyworks.UpstreamSource
	Catalog      *catalog.Catalog
	// IsReader reports whether this gateway reads the sources. Other gateways
	// receive the results from readers and read the sources themselves if no
	// results arrive. Nil means that this gateway is a reader.
	IsReader func() bool
	// FallbackDelay returns how much longer than a reader's results usually take
	// this gateway waits for them; nil means no longer.
	FallbackDelay func() time.Duration
	// StartDelay returns how long after its start this gateway waits for the first
	// results; nil means not at all.
	StartDelay func() time.Duration
	// OnUpstreamsRead is called after this gateway has read the upstreams itself, as a
	// reader or not; it may be nil.
	OnUpstreamsRead func(reader bool)
	Clock           comfreyworks.Clock
	Logger          *zap.Logger
	Meter           *meter.Meter
	// Faults records panics, after which a source is read on.
	Faults *faults.Recorder
}

// Follower keeps one catalog up to date.
type Follower struct {
	options   Options
	startedAt time.Time
	// upstreamsRead is the position up to which this gateway, as a reader, has read the
	// upstreams itself. Readers read on from there and not from where a peer has
	// taken the catalog, so that a change that a peer lost is not lost for all.
	upstreamsRead atomic.Uint64
}

// New returns a follower.
func New(options Options) *Follower {
	return &Follower{options: options, startedAt: options.Clock.Now()}
}

// Run reads both sources until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return f.pollSource(ctx, f.declarations())
	})
	group.Go(func() error {
		return f.pollSource(ctx, poll{
			source: "upstreams", read: f.readUpstreams, confirmedAt: f.options.Catalog.UpstreamsConfirmedAt,
			doubtful: f.options.Catalog.UpstreamsDoubtful, interval: upstreamInterval,
		})
	})
	return group.Wait()
}

// declarations describes the reads of the declarations, which wait for changes.
func (f *Follower) declarations() poll {
	return poll{
		source: "declarations", read: f.readDeclarations, confirmedAt: f.declarationsCompleteAt,
		substituteInterval: substituteInterval,
		position: func() comfreyworks.Position {
			declared, _ := f.options.Catalog.SourceStates()
			return declared.Position
		},
	}
}

// poll describes the repeated reads of one source.
type poll struct {
	source string
	read   func(context.Context) error
	// confirmedAt returns the latest time as of which the known state is known to be complete.
	confirmedAt func() time.Time
	// doubtful reports whether the known state may be wrong, in which case every gateway
	// reads the source itself; nil means never.
	doubtful func() bool
	// substituteInterval takes the place of fallbackAge, counted from the end of the last read
	// of this gateway, while no newer state arrives; zero means that nothing does.
	substituteInterval time.Duration
	// interval is the pause after a successful read.
	interval time.Duration
	// position returns the position up to which the source was read; nil if reads do
	// not wait for changes. A read that brought none and its pause take at least
	// retryInterval.
	position func() comfreyworks.Position
}

func (p *poll) currentPosition() comfreyworks.Position {
	if p.position == nil {
		return 0
	}
	return p.position()
}

func (f *Follower) declarationsCompleteAt() time.Time {
	declared, _ := f.options.Catalog.SourceStates()
	return declared.CompleteAt
}

// ownRead is the last successful read of a source by this gateway: the time as of which
// it confirmed the state, and when it ended.
type ownRead struct{ confirmedAt, endedAt time.Time }

// onStandby reports whether this gateway currently relies on others to read a
// source.
func (f *Follower) onStandby(p *poll, last ownRead) bool {
	if f.isReader() || (p.doubtful != nil && p.doubtful()) {
		return false
	}
	confirmedAt := p.confirmedAt()
	if p.substituteInterval > 0 && !confirmedAt.IsZero() && confirmedAt.Equal(last.confirmedAt) {
		return f.options.Clock.Since(last.endedAt) < p.substituteInterval
	}
	if confirmedAt.IsZero() {
		return f.options.StartDelay != nil && f.options.Clock.Since(f.startedAt) < f.options.StartDelay()
	}
	limit := fallbackAge
	if f.options.FallbackDelay != nil {
		limit += f.options.FallbackDelay()
	}
	return f.options.Clock.Since(confirmedAt) < limit
}

// ReadOnce reads both sources once.
func (f *Follower) ReadOnce(ctx context.Context) error {
	return errors.Join(f.readDeclarations(ctx), f.readUpstreams(ctx))
}

func (f *Follower) isReader() bool { return f.options.IsReader == nil || f.options.IsReader() }

// pollSource reads a source until ctx ends. It logs when the source becomes
// unavailable and when it is available again.
func (f *Follower) pollSource(ctx context.Context, p poll) error {
	logger := f.options.Logger.With(zap.String("source", p.source))
	var failedAt time.Time
	failures := 0
	var last ownRead
	for ctx.Err() == nil {
		if f.onStandby(&p, last) {
			comfreyworks.Sleep(ctx, f.options.Clock, standbyInterval)
			continue
		}
		before, startedAt := p.currentPosition(), f.options.Clock.Now()
		err := errPanic
		f.options.Faults.Run("follow-"+p.source, func() { err = p.read(ctx) })
		wait := p.interval
		if err == nil {
			last = ownRead{p.confirmedAt(), f.options.Clock.Now()}
		}
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			wait = f.retryPause(failures)
			failures++
			f.options.Meter.Add("comfrey_source_errors_total", meter.Labels{}, 1)
			if failedAt.IsZero() {
				failedAt = f.options.Clock.Now()
				logger.Warn("source unavailable", zap.Error(err))
			}
		case !failedAt.IsZero():
			logger.Info("source available again", zap.Duration("after", f.options.Clock.Since(failedAt)))
			failedAt, failures = time.Time{}, 0
		}
		if p.position != nil && p.currentPosition() == before {
			wait = max(wait, retryInterval-f.options.Clock.Since(startedAt))
		}
		if wait > 0 {
			comfreyworks.Sleep(ctx, f.options.Clock, wait)
		}
	}
	return nil
}

// retryPause returns the pause after a failed read that follows the given number of
// consecutive failures.
func (f *Follower) retryPause(failures int) time.Duration {
	limit := maxStandbyRetry
	if f.isReader() {
		limit = maxReaderRetry
	}
	pause := retryInterval
	for ; failures > 0 && pause < limit; failures-- {
		pause *= 2
	}
	return min(pause, limit)
}

func (f *Follower) readDeclarations(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, declarationWait+responseTimeout)
	defer cancel()
	declared, _ := f.options.Catalog.SourceStates()
	requestedAt := f.options.Clock.Now()
	wait := min(max(declared.CompleteAt.Add(declarationWait).Sub(requestedAt), minDeclarationWait), declarationWait)
	declaration, err := f.options.Declarations.Declarations(ctx, declared.Position, wait)
	if err != nil {
		return err
	}
	change := f.options.Catalog.ApplyDeclaration(declaration, requestedAt)
	f.log(&change, declaration.Next, requestedAt)
	return nil
}

func (f *Follower) readUpstreams(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	_, listed := f.options.Catalog.SourceStates()
	doubtful := f.options.Catalog.UpstreamsDoubtful()
	after := listed.Position
	switch {
	case doubtful:
		after = 0
	case f.isReader():
		after = comfreyworks.Position(f.upstreamsRead.Load())
	}
	requestedAt := f.options.Clock.Now()
	changes, err := f.options.Upstreams.Upstreams(ctx, after, 0)
	if err != nil {
		return err
	}
	change := f.options.Catalog.ApplyUpstreams(changes, requestedAt)
	if _, listed = f.options.Catalog.SourceStates(); listed.Position == changes.Next && (f.isReader() || doubtful) {
		f.upstreamsRead.Store(uint64(changes.Next))
	}
	if doubtful {
		f.options.Catalog.UpstreamsVerified()
	}
	f.log(&change, changes.Next, requestedAt)
	if f.options.OnUpstreamsRead != nil {
		f.options.OnUpstreamsRead(f.isReader())
	}
	return nil
}

func (f *Follower) log(change *catalog.Change, position comfreyworks.Position, requestedAt time.Time) {
	change.Log(f.options.Logger, zap.Uint64("position", uint64(position)), zap.Duration("age", f.options.Clock.Since(requestedAt)))
}
