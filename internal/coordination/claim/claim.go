// Package claim runs calls that may not be repeated at most once, with no store
// of its own: what has to be agreed goes through the platform's log.
//
// Before a call runs, its sidecar appends a claim to the pool's stream and
// reads the stream back. It runs only if its claim is the first for the key.
// Claims do not expire while a key is valid, so a holder that pauses after
// winning cannot race a successor: there is none. Leases would not do: a holder
// that pauses between checking its lease and sending the call sends it after
// the lease has gone to another.
//
// A key is a UUID of version 7, which carries its time of issue. A key older
// than the window is answered with "unknown", since the records that could
// tell may be gone.
//
// # Usage
//
//	e := claim.New(claim.Options{Log: log, Service: service, Stream: "claims/dispatch", ...})
//	group.Go(func() error { return e.Run(ctx) })
//	outcome := e.Do(ctx, work)
//	err := e.Drain(ctx)
//
// Do always answers, and its answer is true: RunStateRan with the service's
// answer, RunStateNotRun when the call was not and will not be given to the
// service for this request, RunStateUnknown otherwise.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"comfreyworks"
	"comfreyworks/internal/state/ledger"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindKey means that an idempotency key is not a UUID of version 7 or was
	// issued in the future.
	KindKey Kind = "bad key"
	// KindBacklog means that too many records wait for the log.
	KindBacklog Kind = "backlog full"
)

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

const (
	// claimTimeout bounds the wait for the log before a call is answered with
	// "not run".
	claimTimeout = 3 * time.Second
	// logRetry is when a caller may come back while the log is down.
	logRetry = 2 * time.Second
	// maxSkew is how far ahead a caller's clock may be.
	maxSkew = time.Minute
	// keptAnswerBytes is the longest answer that is kept for a repeated key.
	keptAnswerBytes = 4 << 10
	// forgetInterval is how often old keys are forgotten.
	forgetInterval = 10 * time.Second
	// memoryWindows is how many windows a key is remembered. More than one, so
	// that clocks that differ cannot make one sidecar forget a key that
	// another still takes.
	memoryWindows = 2
)

// Options configures an Executor.
type Options struct {
	Log     comfreyworks.Log
	Service comfreyworks.Service
	Clock   comfreyworks.Clock
	Logger  *zap.Logger
	// Stream is the log stream of the pool's claims.
	Stream string
	// Window is how long a key is valid after its issue. The log must keep
	// records for longer.
	Window time.Duration
}

// Executor runs calls. It is safe for concurrent use.
type Executor struct {
	options Options
	batch   *batcher
	mu      sync.Mutex
	ledger  *ledger.Ledger
	news    chan struct{}
	ready   bool
	// skipReadBack breaks the logic on purpose: a call runs as soon as its
	// claim is queued. Tests show with it that they would notice.
	skipReadBack bool
}

// New returns an executor that has read nothing yet.
func New(options Options) *Executor {
	return &Executor{
		options: options,
		batch:   newBatcher(options),
		ledger:  ledger.New(),
		news:    make(chan struct{}),
	}
}

// Run reads and writes the log until ctx ends.
func (e *Executor) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return e.follow(ctx) })
	group.Go(func() error { return e.batch.run(ctx) })
	group.Go(func() error { return e.forget(ctx) })
	return group.Wait()
}

// Drain waits until every record is on the log, or until ctx ends.
func (e *Executor) Drain(ctx context.Context) error { return e.batch.drain(ctx) }

// Keys returns the number of keys remembered.
func (e *Executor) Keys() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ledger.Len()
}

// CheckKey reads the time of issue out of a key.
func CheckKey(key string, now time.Time) (time.Time, error) {
	id, err := uuid.Parse(key)
	if err != nil {
		return time.Time{}, &Error{Op: "key", Kind: KindKey, Err: err}
	}
	if id.Version() != 7 {
		return time.Time{}, &Error{Op: "key", Kind: KindKey, Err: errors.New("expected a UUID of version 7")}
	}
	seconds, nanos := id.Time().UnixTime()
	issued := time.Unix(seconds, nanos)
	if issued.After(now.Add(maxSkew)) {
		return time.Time{}, &Error{Op: "key", Kind: KindKey, Err: errors.New("issued in the future")}
	}
	return issued, nil
}

// attempt is one call on its way.
type attempt struct {
	work   comfreyworks.ServiceAttempt
	key    ledger.Key
	issued time.Time
	digest string
	// claim is this attempt's claim; empty until it is appended.
	claim string
	item  *item
}

// Do runs a call at most once for its key.
func (e *Executor) Do(ctx context.Context, work comfreyworks.ServiceAttempt) comfreyworks.ServiceOutcome {
	issued, err := CheckKey(work.Call.IdempotencyKey, e.options.Clock.Now())
	if err != nil {
		return unknown(err.Error())
	}
	a := &attempt{
		work:   work,
		key:    ledger.Key{Workspace: work.Workspace, ID: work.Call.IdempotencyKey},
		issued: issued,
		digest: digest(work),
	}
	claimed := e.options.Clock.After(claimTimeout)
	for {
		entry, held, ready, news := e.look(a.key)
		switch {
		case e.expired(a):
			return e.giveUp(a, unknown("the key is older than the window"))
		case held && entry.Digest != a.digest:
			return e.giveUp(a, comfreyworks.ServiceOutcome{Run: comfreyworks.RunStateNotRun, Conflict: true})
		case held && entry.Outcome != nil:
			return replay(entry.Outcome)
		case held && entry.Claim == a.claim:
			return e.runHeld(ctx, a)
		case !held && ready && a.claim == "":
			if err := e.claim(a); err != nil {
				return notRun(comfreyworks.RefusedLogDown)
			}
			if e.skipReadBack {
				return e.runHeld(ctx, a)
			}
			continue
		}
		select {
		case <-news:
		case <-claimed:
			return e.giveUp(a, e.late(held))
		case <-ctx.Done():
			return e.giveUp(a, e.late(held))
		}
	}
}

// look returns what is known of a key and a channel that closes on news.
func (e *Executor) look(key ledger.Key) (ledger.Entry, bool, bool, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry, held := e.ledger.Find(key)
	return entry, held, e.ready, e.news
}

func (e *Executor) expired(a *attempt) bool {
	return e.options.Clock.Since(a.issued) > e.options.Window
}

// late is the answer when time runs out. While another attempt holds the key
// it may have run; otherwise nothing has.
func (e *Executor) late(held bool) comfreyworks.ServiceOutcome {
	if held {
		return unknown("another attempt holds the key and has not ended")
	}
	return notRun(comfreyworks.RefusedLogDown)
}

// claim queues a new claim for the log.
func (e *Executor) claim(a *attempt) error {
	id := uuid.NewString()
	added, err := e.batch.add(a.record(ledger.KindClaim, id, nil))
	if err != nil {
		return err
	}
	a.claim = id
	a.item = added
	return nil
}

func (a *attempt) record(kind ledger.Kind, claim string, outcome *ledger.Outcome) ledger.Record {
	return ledger.Record{
		Kind: kind, Key: a.key, Claim: claim, Issued: a.issued, Digest: a.digest, Outcome: outcome,
	}
}

// giveUp makes sure that this attempt never runs, also when its claim turns
// out to be the first. A claim that was never tried is just taken back.
func (e *Executor) giveUp(a *attempt, outcome comfreyworks.ServiceOutcome) comfreyworks.ServiceOutcome {
	if a.claim != "" && !e.batch.takeBack(a.item) {
		e.append(a.record(ledger.KindAbandon, a.claim, nil))
	}
	return outcome
}

// append queues a record that nobody waits for. If there is no room the key
// stays held and later attempts are told "unknown", which is true.
func (e *Executor) append(record ledger.Record) {
	if _, err := e.batch.add(record); err != nil {
		e.options.Logger.Warn("record dropped", zap.String("kind", string(record.Kind)), zap.Error(err))
	}
}

// runHeld runs a call whose claim holds the key.
func (e *Executor) runHeld(ctx context.Context, a *attempt) comfreyworks.ServiceOutcome {
	if ctx.Err() != nil {
		return e.giveUp(a, notRun(comfreyworks.RefusedUpstreamDown))
	}
	answer, err := e.options.Service.Do(ctx, a.work.Call)
	if errors.Is(err, comfreyworks.ErrNotSent) {
		return e.giveUp(a, notRun(comfreyworks.RefusedUpstreamDown))
	}
	outcome := comfreyworks.ServiceOutcome{Run: comfreyworks.RunStateRan, Answer: answer}
	if err != nil {
		outcome = unknown(err.Error())
	}
	e.append(a.record(ledger.KindOutcome, a.claim, kept(outcome)))
	return outcome
}

// kept is the part of an outcome that goes on the log.
func kept(outcome comfreyworks.ServiceOutcome) *ledger.Outcome {
	k := &ledger.Outcome{Run: outcome.Run, Answer: outcome.Answer, Detail: outcome.Detail}
	if len(k.Answer.Body) > keptAnswerBytes {
		k.Answer.Body = nil
		k.Detail = "the call ran; its answer was too long to keep"
	}
	return k
}

// replay answers a repeated key with the outcome of its first run.
func replay(outcome *ledger.Outcome) comfreyworks.ServiceOutcome {
	return comfreyworks.ServiceOutcome{Run: outcome.Run, Answer: outcome.Answer, Detail: outcome.Detail}
}

func unknown(detail string) comfreyworks.ServiceOutcome {
	return comfreyworks.ServiceOutcome{Run: comfreyworks.RunStateUnknown, Detail: detail}
}

func notRun(reason comfreyworks.RefusalReason) comfreyworks.ServiceOutcome {
	return comfreyworks.ServiceOutcome{
		Run:     comfreyworks.RunStateNotRun,
		Refusal: &comfreyworks.Refusal{Reason: reason, RetryAfter: logRetry},
	}
}

// digest identifies a call apart from its key.
func digest(work comfreyworks.ServiceAttempt) string {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(work.Call.Method), []byte(work.Call.Path), work.Call.Body} {
		_, _ = hash.Write(part)
		_, _ = hash.Write([]byte{0})
	}
	return hex.EncodeToString(hash.Sum(nil)[:16])
}

// forget drops old keys now and then.
func (e *Executor) forget(ctx context.Context) error {
	for {
		select {
		case <-e.options.Clock.After(forgetInterval):
			e.mu.Lock()
			e.ledger.RemoveIssuedBefore(e.options.Clock.Now().Add(-memoryWindows * e.options.Window))
			e.mu.Unlock()
		case <-ctx.Done():
			return nil
		}
	}
}
