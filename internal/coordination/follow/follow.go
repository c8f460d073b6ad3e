// Package follow keeps a catalog current: it asks the sources of declarations
// and upstreams again and again, and notices when one stops answering.
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
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"comfreyworks"
	"comfreyworks/internal/state/catalog"
	"comfreyworks/internal/state/meter"
)

const (
	// declarationWait is how long a question for declarations waits for news.
	// Its answer proves the routing as of the time of the question.
	declarationWait = 1200 * time.Millisecond
	// upstreamInterval is the pause between questions for upstreams; engines
	// leave at the earliest two seconds after they said so.
	upstreamInterval = 600 * time.Millisecond
	// fallbackAge is the age of a proof from which on a process asks that leaves
	// the questions to others: more than a wait or a pause and the way to peers.
	fallbackAge = 1800 * time.Millisecond
	// idleInterval is the pause of a process that leaves the questions to others
	// before it looks again whether they ask.
	idleInterval = 100 * time.Millisecond
	// answerTimeout bounds a question beyond its wait; a slow store takes
	// 0.4 s.
	answerTimeout = 1200 * time.Millisecond
	// retryInterval is the pause after a question without an answer.
	retryInterval = 150 * time.Millisecond
)

// Options configures a Follower.
type Options struct {
	Declarations comfreyworks.DeclarationSource
	Upstreams    comfreyworks.UpstreamSource
	Catalog      *catalog.Catalog
	// Reader reports whether this process asks the sources; the others learn
	// from it, and ask when they do not. Nil means that it does.
	Reader func() bool
	Clock  comfreyworks.Clock
	Logger *zap.Logger
	Meter  *meter.Meter
}

// Follower keeps one catalog current.
type Follower struct {
	options Options
}

// New returns a follower.
func New(options Options) *Follower { return &Follower{options: options} }

// Run follows both sources until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return f.repeat(ctx, question{source: "declarations", ask: f.askDeclarations, provenAt: f.declaredAt})
	})
	group.Go(func() error {
		return f.repeat(ctx, question{
			source: "upstreams", ask: f.askUpstreams, provenAt: f.options.Catalog.UpstreamsProven, pause: upstreamInterval,
		})
	})
	return group.Wait()
}

// question is what one source is asked again and again.
type question struct {
	source   string
	ask      func(context.Context) error
	provenAt func() time.Time
	// pause is the time between an answer and the next question.
	pause time.Duration
}

func (f *Follower) declaredAt() time.Time {
	declared, _ := f.options.Catalog.Proofs()
	return declared.At
}

// leaves reports whether this process leaves a question to others for now.
func (f *Follower) leaves(q *question) bool {
	if f.options.Reader == nil || f.options.Reader() {
		return false
	}
	return f.options.Clock.Since(q.provenAt()) < fallbackAge
}

// Ask asks both sources once.
func (f *Follower) Ask(ctx context.Context) error {
	return errors.Join(f.askDeclarations(ctx), f.askUpstreams(ctx))
}

// repeat asks a source until ctx ends and logs when it is lost and regained.
func (f *Follower) repeat(ctx context.Context, q question) error {
	logger := f.options.Logger.With(zap.String("source", q.source))
	var lostAt time.Time
	for ctx.Err() == nil {
		if f.leaves(&q) {
			comfreyworks.Sleep(ctx, f.options.Clock, idleInterval)
			continue
		}
		err := q.ask(ctx)
		wait := q.pause
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			wait = retryInterval
			f.options.Meter.Count("comfrey_source_errors_total", meter.Labels{}, 1)
			if lostAt.IsZero() {
				lostAt = f.options.Clock.Now()
				logger.Warn("source lost", zap.Error(err))
			}
		case !lostAt.IsZero():
			logger.Info("source regained", zap.Duration("after", f.options.Clock.Since(lostAt)))
			lostAt = time.Time{}
		}
		if wait > 0 {
			comfreyworks.Sleep(ctx, f.options.Clock, wait)
		}
	}
	return nil
}

func (f *Follower) askDeclarations(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, declarationWait+answerTimeout)
	defer cancel()
	declared, _ := f.options.Catalog.Proofs()
	askedAt := f.options.Clock.Now()
	declaration, err := f.options.Declarations.Declarations(ctx, declared.Position, declarationWait)
	if err != nil {
		return err
	}
	change := f.options.Catalog.ApplyDeclaration(declaration, askedAt)
	f.log(&change, declaration.Next, askedAt)
	return nil
}

func (f *Follower) askUpstreams(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	_, listed := f.options.Catalog.Proofs()
	askedAt := f.options.Clock.Now()
	changes, err := f.options.Upstreams.Upstreams(ctx, listed.Position, 0)
	if err != nil {
		return err
	}
	change := f.options.Catalog.ApplyUpstreams(changes, askedAt)
	f.log(&change, changes.Next, askedAt)
	return nil
}

func (f *Follower) log(change *catalog.Change, position comfreyworks.Position, askedAt time.Time) {
	change.Log(f.options.Logger, zap.Uint64("position", uint64(position)), zap.Duration("age", f.options.Clock.Since(askedAt)))
}
