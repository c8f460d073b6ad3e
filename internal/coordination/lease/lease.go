// Package lease decides which process may act alone, by a record on a log
// whose appends can be made to depend on the log's end.
//
// A holder counts its time from before it sent a renewal and stops acting well
// before the lease ends. Others count theirs from when they saw the newest
// record, so that clocks need not agree. Every acquisition has a token higher
// than all before it: the offset behind its record.
//
// # Usage
//
//	l := lease.New(lease.Options{Log: log, Stream: "rollout", Self: id, Duration: 3 * time.Second, Clock: clock})
//	pause, err := l.Step(ctx)       // again and again, after each pause
//	if token, ok := l.Held(); ok {  // before each act
//	}
//	err = l.Release(ctx, sinceLastAct)
package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"comfreyworks"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindLog means that the log did not answer.
	KindLog Kind = "log"
	// KindRecord means that a record cannot be read.
	KindRecord Kind = "record"
)

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

const (
	// actingShare is the part of the duration in which a holder acts; the rest
	// covers what it has sent and is still on its way.
	actingShare = 0.6
	// renewShare is the part of the duration after which a holder renews.
	renewShare = 0.3
	// watchShare is the part of the duration between two looks of a process
	// that does not hold the lease.
	watchShare = 0.25
	// standbyShare is the same for a process that leaves the succession to
	// others.
	standbyShare = 0.6
)

// Options configures a Lease.
type Options struct {
	Log    comfreyworks.LeaseLog
	Stream string
	Self   comfreyworks.InstanceID
	// Duration is how long others wait for a silent holder.
	Duration time.Duration
	// Candidate reports whether this process is among the first to succeed a
	// silent holder; nil means that it is.
	Candidate func() bool
	Clock     comfreyworks.Clock
}

// record is the holder's mark on the log.
type record struct {
	Holder   comfreyworks.InstanceID `json:"holder"`
	Token    uint64                  `json:"token"`
	Released bool                    `json:"released,omitempty"`
	// IdleMS is how long before a release the holder acted last, in
	// milliseconds.
	IdleMS int64 `json:"idle-ms,omitempty"`
}

// Lease is one process's view of a lease. It is safe for concurrent use; Step
// and Release are called by one goroutine.
type Lease struct {
	options Options

	mu        sync.Mutex
	token     uint64
	renewedAt time.Time
	// end is where the log ended when it was last seen, and seenAt when.
	end    comfreyworks.Offset
	seenAt time.Time
	seen   bool
	// unsure is set after an append without an answer.
	unsure bool
}

// New returns a lease that is not held.
func New(options Options) *Lease { return &Lease{options: options} }

// Held returns the token of the lease if this process may act now.
func (l *Lease) Held() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	acting := time.Duration(actingShare * float64(l.options.Duration))
	if l.token == 0 || l.options.Clock.Since(l.renewedAt) >= acting {
		return 0, false
	}
	return l.token, true
}

// Step renews the lease, or looks whether it can be had, and returns the pause
// before the next step.
func (l *Lease) Step(ctx context.Context) (time.Duration, error) {
	l.mu.Lock()
	token, end, unsure := l.token, l.end, l.unsure
	l.mu.Unlock()
	if token != 0 && !unsure {
		return l.pause(renewShare), l.append(ctx, end, record{Token: token})
	}
	return l.look(ctx)
}

func (l *Lease) pause(share float64) time.Duration {
	return time.Duration(share * float64(l.options.Duration))
}

// look reads the newest record and takes the lease if it is free.
func (l *Lease) look(ctx context.Context) (time.Duration, error) {
	data, end, err := l.options.Log.Tail(ctx, l.options.Stream)
	if err != nil {
		return l.pause(renewShare), &Error{Op: "look", Kind: KindLog, Err: err}
	}
	var newest record
	if data != nil {
		if err := json.Unmarshal(data, &newest); err != nil {
			return l.pause(watchShare), &Error{Op: "look", Kind: KindRecord, Err: err}
		}
	}
	now := l.options.Clock.Now()
	l.mu.Lock()
	if !l.seen || end != l.end {
		l.seen, l.end, l.seenAt = true, end, now
	}
	ours := newest.Holder == l.options.Self
	if l.token != 0 && (!ours || newest.Token != l.token || newest.Released) {
		l.token = 0
	}
	l.unsure = false
	token, waited := l.token, now.Sub(l.seenAt)
	if newest.Released {
		waited += time.Duration(newest.IdleMS) * time.Millisecond
	}
	l.mu.Unlock()
	switch {
	case token != 0:
		return 0, nil
	case data == nil || ours || waited >= l.options.Duration:
		return l.pause(renewShare), l.append(ctx, end, record{Token: uint64(end) + 1})
	default:
		if l.options.Candidate != nil && !l.options.Candidate() {
			return l.pause(standbyShare), nil
		}
		return min(l.pause(watchShare), l.options.Duration-waited), nil
	}
}

// append writes a record behind a known end of the log.
func (l *Lease) append(ctx context.Context, at comfreyworks.Offset, mark record) error {
	mark.Holder = l.options.Self
	data, err := json.Marshal(mark)
	if err != nil {
		return &Error{Op: "append", Kind: KindRecord, Err: err}
	}
	sentAt := l.options.Clock.Now()
	written, err := l.options.Log.AppendAt(ctx, l.options.Stream, at, data)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		l.unsure = true
		return &Error{Op: "append", Kind: KindLog, Err: err}
	case !written:
		l.token, l.unsure = 0, false
		return nil
	}
	l.token, l.renewedAt, l.unsure = mark.Token, sentAt, false
	l.end, l.seenAt, l.seen = at+1, l.options.Clock.Now(), true
	return nil
}

// Release gives the lease up, if it is held. Others still wait for its duration
// from the last act, which was idle ago: that act may be on its way.
func (l *Lease) Release(ctx context.Context, idle time.Duration) error {
	l.mu.Lock()
	token, end := l.token, l.end
	l.token = 0
	l.mu.Unlock()
	if token == 0 {
		return nil
	}
	err := l.append(ctx, end, record{Token: token, Released: true, IdleMS: idle.Milliseconds()})
	l.mu.Lock()
	l.token = 0
	l.mu.Unlock()
	return err
}
