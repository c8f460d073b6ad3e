// Package lease implements a lease with fencing tokens. The lease is stored as
// records in a log that supports conditional appends.
//
// Clocks of different processes need not agree. The holder measures the lease
// from before it sent its last renewal and stops using it well before it
// expires. Other processes measure from when they first saw the newest record.
// The token of an acquisition is the offset of its record plus one, so it is
// higher than all earlier tokens.
//
// A log that is restored from an earlier copy may have lost records, and with them
// the latest holder. A record that was written before the restore therefore says
// nothing about who holds the lease: everyone but the latest holder waits for as
// long as an unknown holder might use the lease. The same holds for a record that
// cannot be decoded.
//
// # Usage
//
//	l := lease.New(lease.Options{Log: log, Stream: "rollout", Self: id, Duration: 3 * time.Second, Clock: clock})
//	pause, err := l.Step(ctx)       // repeatedly, after each pause
//	if token, ok := l.Held(); ok {  // before each action
//	}
//	err = l.Release(ctx, sinceLastAction)
package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"comfreyworks"
	"comfreyworks/internal/state/faults"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindLog means that a call to the log failed.
	KindLog Kind = "log"
	// KindRecord means that a record cannot be encoded.
	KindRecord Kind = "record"
)

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

const (
	// heldShare is the share of the duration during which a holder may use the
	// lease. The rest covers messages that it has sent and that have not yet
	// arrived.
	heldShare = 0.6
	// renewShare is the share of the duration after which a holder renews the
	// lease.
	renewShare = 0.3
	// pollShare is the share of the duration between two reads of the log by a
	// process that does not hold the lease.
	pollShare = 0.35
	// standbyShare is the share of the duration after which a process that is not a
	// candidate checks whether it has become one.
	standbyShare = 0.3
)

// Options configures a Lease.
type Options struct {
	Log    comfreyworks.LeaseLog
	Stream string
	Self   comfreyworks.InstanceID
	// Duration is how long other processes wait for a holder that appends no
	// records before they take over the lease.
	Duration time.Duration
	// Candidate reports whether this process should take over the lease as soon as
	// it is free; other processes do not read the log. Nil means always.
	Candidate func() bool
	Clock     comfreyworks.Clock
	// Faults records lease records that cannot be decoded.
	Faults *faults.Recorder
}

// record is one lease record in the log.
type record struct {
	Holder comfreyworks.InstanceID `json:"holder"`
	Token  uint64                  `json:"token"`
	// At is the offset at which the record was to be appended. If it is at another
	// one, the log was restored from a copy since.
	At       comfreyworks.Offset `json:"at"`
	Released bool                `json:"released,omitempty"`
	// IdleMS is the time between the holder's last action and the release, in
	// milliseconds.
	IdleMS int64 `json:"idle-ms,omitempty"`
}

// Lease is the state of a lease as one process knows it. It is safe for
// concurrent use, except that Step and Release must be called from one goroutine.
type Lease struct {
	options Options

	mu sync.Mutex
	// token is the fencing token, or 0 if the lease is not held.
	token uint64
	// renewedAt is when the last successful append was sent; zero means never, or
	// that the lease was released.
	renewedAt time.Time
	// logEnd is the last known end of the log, and logEndSeenAt is when this
	// process first saw it there.
	logEnd       comfreyworks.Offset
	logEndSeenAt time.Time
	logEndKnown  bool
	// appendUnconfirmed means that the last append failed with an error, so the
	// record may or may not be in the log.
	appendUnconfirmed bool
}

// New returns a lease that is not held.
func New(options Options) *Lease { return &Lease{options: options} }

// Held returns the fencing token and true if this process may use the lease now.
func (l *Lease) Held() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.token == 0 || !l.isOwner(l.options.Clock.Now()) {
		return 0, false
	}
	return l.token, true
}

// isOwner reports whether the last renewal is so recent that no other process can
// hold the lease, also if the log was restored since. The mutex must be held.
func (l *Lease) isOwner(now time.Time) bool {
	return !l.renewedAt.IsZero() && now.Sub(l.renewedAt) < l.interval(heldShare)
}

// Step renews the lease if it is held, and otherwise tries to acquire it if this
// process is a candidate. It returns the time to wait before the next step.
func (l *Lease) Step(ctx context.Context) (time.Duration, error) {
	l.mu.Lock()
	token, logEnd, unconfirmed := l.token, l.logEnd, l.appendUnconfirmed
	l.mu.Unlock()
	if token != 0 && !unconfirmed {
		renewed, err := l.appendRecord(ctx, logEnd, record{Token: token})
		if !renewed && err == nil {
			return 0, nil
		}
		return l.interval(renewShare), err
	}
	if token == 0 && l.options.Candidate != nil && !l.options.Candidate() {
		return l.interval(standbyShare), nil
	}
	return l.tryAcquire(ctx)
}

// interval returns a share of the lease duration.
func (l *Lease) interval(share float64) time.Duration {
	return time.Duration(share * float64(l.options.Duration))
}

// tryAcquire reads the newest record and acquires the lease if it is free: if
// there has never been a record, if the record is from this process before a
// restart, if the log was restored while this process held the lease, or if the
// record is older than the lease duration. If the record shows that this process
// still holds the lease, the next step renews it at once.
func (l *Lease) tryAcquire(ctx context.Context) (time.Duration, error) {
	data, logEnd, err := l.options.Log.Tail(ctx, l.options.Stream)
	if err != nil {
		return l.interval(renewShare), &Error{Op: "read lease", Kind: KindLog, Err: err}
	}
	var newest record
	usable := data != nil
	if usable {
		if err := json.Unmarshal(data, &newest); err != nil {
			l.options.Faults.SetAside("lease", l.options.Stream, data, err)
			usable, newest = false, record{}
		}
	}
	now := l.options.Clock.Now()
	l.mu.Lock()
	if !l.logEndKnown || logEnd != l.logEnd {
		l.logEndKnown, l.logEnd, l.logEndSeenAt = true, logEnd, now
	}
	// valid means that no record was lost after the newest one.
	valid := logEnd == 0 || (usable && newest.At+1 == logEnd)
	own := valid && newest.Holder == l.options.Self
	if l.token != 0 && (!own || newest.Token != l.token || newest.Released) {
		l.token = 0
	}
	l.appendUnconfirmed = false
	token, unchangedFor := l.token, now.Sub(l.logEndSeenAt)
	if valid && newest.Released {
		unchangedFor += time.Duration(min(max(newest.IdleMS, 0), l.options.Duration.Milliseconds())) * time.Millisecond
	}
	free := logEnd == 0 || own || (!valid && l.isOwner(now)) || unchangedFor >= l.options.Duration
	l.mu.Unlock()
	switch {
	case token != 0:
		return 0, nil
	case free:
		_, err := l.appendRecord(ctx, logEnd, record{Token: uint64(logEnd) + 1})
		return l.interval(renewShare), err
	default:
		return min(l.interval(pollShare), l.options.Duration-unchangedFor), nil
	}
}

// appendRecord appends a record if the log still ends at the given offset, and
// reports whether it did. If another record has been appended there, or if the log
// was restored, the lease is lost.
func (l *Lease) appendRecord(ctx context.Context, at comfreyworks.Offset, entry record) (bool, error) {
	entry.Holder, entry.At = l.options.Self, at
	data, err := json.Marshal(entry)
	if err != nil {
		return false, &Error{Op: "append lease record", Kind: KindRecord, Err: err}
	}
	sentAt := l.options.Clock.Now()
	appended, err := l.options.Log.AppendAt(ctx, l.options.Stream, at, data)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		l.appendUnconfirmed = true
		return false, &Error{Op: "append lease record", Kind: KindLog, Err: err}
	case !appended:
		l.token, l.appendUnconfirmed = 0, false
		return false, nil
	}
	l.token, l.renewedAt, l.appendUnconfirmed = entry.Token, sentAt, false
	l.logEnd, l.logEndSeenAt, l.logEndKnown = at+1, l.options.Clock.Now(), true
	return true, nil
}

// Release releases the lease if it is held. sinceLastAction is the time since the
// last action under the lease. Because that action may still be in transit, other
// processes wait until the lease duration has passed since then.
func (l *Lease) Release(ctx context.Context, sinceLastAction time.Duration) error {
	l.mu.Lock()
	token, logEnd := l.token, l.logEnd
	l.token = 0
	l.mu.Unlock()
	if token == 0 {
		return nil
	}
	_, err := l.appendRecord(ctx, logEnd, record{Token: token, Released: true, IdleMS: sinceLastAction.Milliseconds()})
	l.mu.Lock()
	l.token, l.renewedAt = 0, time.Time{}
	l.mu.Unlock()
	return err
}
