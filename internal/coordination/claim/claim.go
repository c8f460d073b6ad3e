// Package claim runs each non-repeatable call at most once per idempotency key.
// Sidecars agree on who runs a call through the platform's log, without a
// database of their own.
//
// Before a sidecar runs a call, it appends a claim to the pool's stream and
// reads the stream until it sees the claim. It runs the call only if its claim
// is the first one for the key. Claims do not expire while a key is valid, so
// no other sidecar takes over while a holder is paused. A lease would not
// suffice: a holder that is paused between checking its lease and sending the
// call would send it after the lease has passed to another holder.
//
// A key is a version 7 UUID, which contains the time at which it was issued. A
// call with a key older than the window gets the result "unknown", because the
// records of an earlier run may have been dropped.
//
// # Usage
//
//	e := claim.New(claim.Options{Log: log, Service: service, Stream: "claims/dispatch", ...})
//	group.Go(func() error { return e.Run(ctx) })
//	outcome := e.Do(ctx, attempt)
//	err := e.Drain(ctx)
//
// Do reports RunStateRan with the service's answer if the call ran,
// RunStateNotRun if the call was not and will not be sent to the service for
// this request, and RunStateUnknown if neither is certain.
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
	// KindInvalidKey means that an idempotency key is not a version 7 UUID or was
	// issued in the future.
	KindInvalidKey Kind = "bad key"
	// KindBacklogFull means that a record cannot be queued for the log.
	KindBacklogFull Kind = "backlog full"
)

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

const (
	// decisionTimeout bounds the wait until a call's claim holds the key or the
	// outcome of the attempt that holds it is known.
	decisionTimeout = 3 * time.Second
	// retryAfter is how long a caller should wait before it retries a call that
	// did not run because the log or the upstream is down.
	retryAfter = 2 * time.Second
	// maxClockSkew is how far a caller's clock may be ahead of the local clock.
	maxClockSkew = time.Minute
	// maxLoggedBodyBytes is the maximum length of an answer body that is appended
	// to the log, from where repeated calls with the key get it.
	maxLoggedBodyBytes = 4 << 10
	// evictionInterval is how often old keys are removed from memory.
	evictionInterval = 10 * time.Second
	// retainedWindows is how long a key stays in memory, in multiples of the
	// window. With one window, a sidecar whose clock is ahead would remove a key
	// that another sidecar still accepts.
	retainedWindows = 2
)

// Options configures an Executor.
type Options struct {
	Log     comfreyworks.Log
	Service comfreyworks.Service
	Clock   comfreyworks.Clock
	Logger  *zap.Logger
	// Stream is the log stream of the pool's claims.
	Stream string
	// Window is how long a key is valid after it was issued. The log must retain
	// records for longer than that.
	Window time.Duration
}

// Executor runs each call at most once per key. It is safe for concurrent use.
type Executor struct {
	options Options
	batcher *batcher
	mu      sync.Mutex
	ledger  *ledger.Ledger
	// updated is closed and replaced after each read of the stream.
	updated chan struct{}
	// ready means that the stream has been read to its end once.
	ready bool
	// skipReadBack makes a call run as soon as its claim is queued, which is
	// wrong. A test sets it to verify that its checks detect duplicate runs.
	skipReadBack bool
}

// New returns an executor. It runs no calls until Run has read the stream.
func New(options Options) *Executor {
	return &Executor{
		options: options,
		batcher: newBatcher(options),
		ledger:  ledger.New(),
		updated: make(chan struct{}),
	}
}

// Run reads the stream, appends queued records and evicts old keys until ctx
// ends.
func (e *Executor) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return e.followLog(ctx) })
	group.Go(func() error { return e.batcher.run(ctx) })
	group.Go(func() error { return e.evict(ctx) })
	return group.Wait()
}

// Drain waits until every queued record is on the log. It returns an error if
// ctx ends first.
func (e *Executor) Drain(ctx context.Context) error { return e.batcher.drain(ctx) }

// Keys returns the number of keys in memory.
func (e *Executor) Keys() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ledger.Len()
}

// CheckKey returns the time at which a key was issued. It returns an error of
// kind KindInvalidKey if the key is not a version 7 UUID or if that time is more
// than maxClockSkew after now.
func CheckKey(key string, now time.Time) (time.Time, error) {
	id, err := uuid.Parse(key)
	if err != nil {
		return time.Time{}, &Error{Op: "key", Kind: KindInvalidKey, Err: err}
	}
	if id.Version() != 7 {
		return time.Time{}, &Error{Op: "key", Kind: KindInvalidKey, Err: errors.New("expected a UUID of version 7")}
	}
	seconds, nanos := id.Time().UnixTime()
	issued := time.Unix(seconds, nanos)
	if issued.After(now.Add(maxClockSkew)) {
		return time.Time{}, &Error{Op: "key", Kind: KindInvalidKey, Err: errors.New("issued in the future")}
	}
	return issued, nil
}

// attempt is a ServiceAttempt that is in progress, with its claim.
type attempt struct {
	request comfreyworks.ServiceAttempt
	key     ledger.Key
	issued  time.Time
	digest  string
	// claim is the ID of the attempt's claim; it is empty until the claim is
	// queued.
	claim string
	// pending is the queued record of the claim.
	pending *pendingRecord
}

// Do runs a call unless another attempt with its key ran or may have run. A
// repeated call gets the outcome of the first run.
func (e *Executor) Do(ctx context.Context, request comfreyworks.ServiceAttempt) comfreyworks.ServiceOutcome {
	issued, err := CheckKey(request.Call.IdempotencyKey, e.options.Clock.Now())
	if err != nil {
		return unknown(err.Error())
	}
	a := &attempt{
		request: request,
		key:     ledger.Key{Workspace: request.Workspace, ID: request.Call.IdempotencyKey},
		issued:  issued,
		digest:  digest(request),
	}
	timeout := e.options.Clock.After(decisionTimeout)
	for {
		entry, held, ready, updated := e.lookup(a.key)
		switch {
		case e.expired(a):
			return e.abandon(a, unknown("the key is older than the window"))
		case held && entry.Digest != a.digest:
			return e.abandon(a, comfreyworks.ServiceOutcome{Run: comfreyworks.RunStateNotRun, Conflict: true})
		case held && entry.Outcome != nil:
			return replay(entry.Outcome)
		case held && entry.Claim == a.claim:
			return e.execute(ctx, a)
		case !held && ready && a.claim == "":
			if err := e.enqueueClaim(a); err != nil {
				return notRun(comfreyworks.RefusedLogDown)
			}
			if e.skipReadBack {
				return e.execute(ctx, a)
			}
			continue
		}
		select {
		case <-updated:
		case <-timeout:
			return e.abandon(a, e.undecided(held))
		case <-ctx.Done():
			return e.abandon(a, e.undecided(held))
		}
	}
}

// lookup returns the entry of a key, whether an attempt holds the key, whether
// the executor is ready, and a channel that is closed after the next read of the
// stream.
func (e *Executor) lookup(key ledger.Key) (ledger.Entry, bool, bool, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry, held := e.ledger.Find(key)
	return entry, held, e.ready, e.updated
}

func (e *Executor) expired(a *attempt) bool {
	return e.options.Clock.Since(a.issued) > e.options.Window
}

// undecided returns the outcome of an attempt that ran out of time before it
// held the key. If another attempt holds the key, that attempt may have run the
// call; otherwise no attempt has.
func (e *Executor) undecided(held bool) comfreyworks.ServiceOutcome {
	if held {
		return unknown("another attempt holds the key and has not ended")
	}
	return notRun(comfreyworks.RefusedLogDown)
}

// enqueueClaim queues a new claim for the log.
func (e *Executor) enqueueClaim(a *attempt) error {
	id := uuid.NewString()
	pending, err := e.batcher.enqueue(a.record(ledger.KindClaim, id, nil))
	if err != nil {
		return err
	}
	a.claim = id
	a.pending = pending
	return nil
}

func (a *attempt) record(kind ledger.Kind, claim string, outcome *ledger.Outcome) ledger.Record {
	return ledger.Record{
		Kind: kind, Key: a.key, Claim: claim, Issued: a.issued, Digest: a.digest, Outcome: outcome,
	}
}

// abandon ends an attempt that must not run, even if its claim turns out to be
// the first for the key, and returns outcome. A claim that was never sent is
// withdrawn; otherwise a record is queued that abandons it.
func (e *Executor) abandon(a *attempt, outcome comfreyworks.ServiceOutcome) comfreyworks.ServiceOutcome {
	if a.claim != "" && !e.batcher.withdraw(a.pending) {
		e.enqueue(a.record(ledger.KindAbandon, a.claim, nil))
	}
	return outcome
}

// enqueue queues a record without waiting for it to be on the log. If the queue
// is full, the record is dropped: the key stays held, and later attempts
// correctly get the result "unknown".
func (e *Executor) enqueue(record ledger.Record) {
	if _, err := e.batcher.enqueue(record); err != nil {
		e.options.Logger.Warn("claim record dropped because it could not be queued for the log", zap.String("kind", string(record.Kind)), zap.Error(err))
	}
}

// execute sends a call whose claim holds the key to the service.
func (e *Executor) execute(ctx context.Context, a *attempt) comfreyworks.ServiceOutcome {
	if ctx.Err() != nil {
		return e.abandon(a, notRun(comfreyworks.RefusedUpstreamDown))
	}
	answer, err := e.options.Service.Do(ctx, a.request.Call)
	if errors.Is(err, comfreyworks.ErrNotSent) {
		return e.abandon(a, notRun(comfreyworks.RefusedUpstreamDown))
	}
	outcome := comfreyworks.ServiceOutcome{Run: comfreyworks.RunStateRan, Answer: answer}
	if err != nil {
		outcome = unknown(err.Error())
	}
	e.enqueue(a.record(ledger.KindOutcome, a.claim, loggedOutcome(outcome)))
	return outcome
}

// loggedOutcome returns the part of an outcome that is appended to the log. It
// omits a body longer than maxLoggedBodyBytes.
func loggedOutcome(outcome comfreyworks.ServiceOutcome) *ledger.Outcome {
	logged := &ledger.Outcome{Run: outcome.Run, Answer: outcome.Answer, Detail: outcome.Detail}
	if len(logged.Answer.Body) > maxLoggedBodyBytes {
		logged.Answer.Body = nil
		logged.Detail = "the call ran; its answer was too long to keep"
	}
	return logged
}

// replay returns the recorded outcome of the first run for a repeated key.
func replay(outcome *ledger.Outcome) comfreyworks.ServiceOutcome {
	return comfreyworks.ServiceOutcome{Run: outcome.Run, Answer: outcome.Answer, Detail: outcome.Detail}
}

func unknown(detail string) comfreyworks.ServiceOutcome {
	return comfreyworks.ServiceOutcome{Run: comfreyworks.RunStateUnknown, Detail: detail}
}

func notRun(reason comfreyworks.RefusalReason) comfreyworks.ServiceOutcome {
	return comfreyworks.ServiceOutcome{
		Run:     comfreyworks.RunStateNotRun,
		Refusal: &comfreyworks.Refusal{Reason: reason, RetryAfter: retryAfter},
	}
}

// digest returns a hash of a call without its key. It reveals that a key was
// reused for a different call.
func digest(request comfreyworks.ServiceAttempt) string {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(request.Call.Method), []byte(request.Call.Path), request.Call.Body} {
		_, _ = hash.Write(part)
		_, _ = hash.Write([]byte{0})
	}
	return hex.EncodeToString(hash.Sum(nil)[:16])
}

// evict removes old keys from memory every evictionInterval until ctx ends.
func (e *Executor) evict(ctx context.Context) error {
	for {
		select {
		case <-e.options.Clock.After(evictionInterval):
			e.mu.Lock()
			e.ledger.RemoveIssuedBefore(e.options.Clock.Now().Add(-retainedWindows * e.options.Window))
			e.mu.Unlock()
		case <-ctx.Done():
			return nil
		}
	}
}
