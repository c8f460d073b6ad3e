// Package crashrecord keeps the suspicions of package crashes on the platform's store, from
// which gateways that start learn them if no gateway is left that knows.
//
// A gateway reads the record once after its start, if it has to read the list of upstreams
// itself; the others learn the suspicions from it. One gateway appends a record soon after
// a crash that no record contains, whoever saw it. Others check later that it did. Requests
// never wait for the store.
//
// # Usage
//
//	recorder := crashrecord.New(crashrecord.Options{Store: store, Log: log, IsWriter: isWriter, ...})
//	group.Go(func() error { return recorder.Run(ctx) })
//	recorder.ListRead() // after each read of the list of upstreams
package crashrecord

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/state/crashes"
	"comfreyworks/internal/state/faults"
	"comfreyworks/internal/state/meter"
)

const (
	// checkInterval is the pause between two checks whether a record is due.
	checkInterval = 250 * time.Millisecond
	// appendInterval is the time from one append to the next. All gateways may end before a
	// crash that happens in it is recorded.
	appendInterval = 2 * time.Second
	// callTimeout limits one call to the store. A slow store takes 0.4 s.
	callTimeout = 1200 * time.Millisecond
	// retryInterval is the pause after the first failed call. It doubles with each further
	// failure up to maxRetryInterval.
	retryInterval    = 150 * time.Millisecond
	maxRetryInterval = 2400 * time.Millisecond
	// takeoverDelay is how long a record is due until one more gateway checks whether it was
	// appended, and appends it if not; then two more, up to maxTakeovers doublings. After
	// one more delay all rely on them.
	takeoverDelay = 5 * time.Second
	maxTakeovers  = 2
)

// Options configures a Recorder.
type Options struct {
	Store comfreyworks.CrashStore
	Log   *crashes.Log
	// IsWriter reports whether this gateway is among the n that append records.
	IsWriter func(n int) bool
	// RestoredAt returns the first position since the store was last restored from an earlier
	// copy, or zero. After a restore the record is written again.
	RestoredAt func() comfreyworks.Position
	Clock      comfreyworks.Clock
	Logger     *zap.Logger
	Meter      *meter.Meter
	// Faults records panics, after which the recorder goes on.
	Faults *faults.Recorder
}

// Recorder reads and appends records for one gateway. Only ListRead may be called while Run
// or Check is active.
type Recorder struct {
	options Options
	// wanted means that this gateway has to read the record, read that it did.
	wanted atomic.Bool
	read   bool
	// covered is the version of the log up to which records contain what they should.
	covered uint64
	// stored is the newest known record, next the offset after it if known is set.
	stored map[uint32]comfreyworks.CrashSuspicion
	next   comfreyworks.Offset
	known  bool
	// restoredAt is Options.RestoredAt when covered was last valid.
	restoredAt comfreyworks.Position
	// dueSince is when a record became due; zero if none is.
	dueSince   time.Time
	appendedAt time.Time
	failures   int
	retryAt    time.Time
}

// New returns a recorder that has read nothing.
func New(options Options) *Recorder { return &Recorder{options: options} }

// ListRead tells that this gateway has read the list of upstreams from the source, so that
// it may have to tell others what the record holds. It does not wait.
func (r *Recorder) ListRead() { r.wanted.Store(true) }

// Run reads and appends records until ctx ends.
func (r *Recorder) Run(ctx context.Context) error {
	for comfreyworks.Sleep(ctx, r.options.Clock, checkInterval) {
		r.options.Faults.Run("crash-record", func() { r.Check(ctx) })
	}
	return nil
}

// Check reads the record if this gateway needs it, and appends one if that is due.
func (r *Recorder) Check(ctx context.Context) {
	if r.options.Clock.Now().Before(r.retryAt) {
		return
	}
	if !r.read && r.wanted.Load() && !r.load(ctx) {
		return
	}
	if restoredAt := r.options.RestoredAt(); restoredAt != r.restoredAt {
		r.restoredAt, r.covered, r.stored, r.known = restoredAt, 0, nil, false
	}
	r.append(ctx)
}

// load reads the newest record and adds it to the log. It returns false if the store did not
// answer.
func (r *Recorder) load(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	record, next, err := r.options.Store.Crashes(ctx)
	r.count("comfrey_crash_record_reads_total")
	if err != nil {
		r.fail("failed to read the record of crashes", err)
		return false
	}
	r.setStored(record, next)
	r.options.Log.Restore(record)
	if !r.read {
		r.read = true
		r.options.Logger.Info("record of crashes read", zap.Int("suspects", len(record)))
	}
	return true
}

func (r *Recorder) setStored(record []comfreyworks.RecordedCrash, next comfreyworks.Offset) {
	r.stored = make(map[uint32]comfreyworks.CrashSuspicion, len(record))
	for _, crash := range record {
		r.stored[crash.Part] = crash.CrashSuspicion
	}
	r.next, r.known, r.failures = next, true, 0
}

// isDue reports whether the newest known record lacks something that changed since the
// version up to which it was complete, and returns the current version.
func (r *Recorder) isDue() (current uint64, due bool) {
	changes, current := r.options.Log.After(r.covered, crashes.Remote)
	for _, change := range changes {
		stored, known := r.stored[change.Part]
		if crashes.Supersedes(change, stored, known) {
			return current, true
		}
	}
	return current, false
}

// append appends a record if one is due and this gateway is to do so.
func (r *Recorder) append(ctx context.Context) {
	now := r.options.Clock.Now()
	current, due := r.isDue()
	if !due {
		r.covered, r.dueSince = current, time.Time{}
		return
	}
	if r.dueSince.IsZero() {
		r.dueSince = now
	}
	delays := int(now.Sub(r.dueSince) / takeoverDelay)
	if !r.options.IsWriter(1 << min(maxTakeovers, delays)) {
		r.known = false
		if delays > maxTakeovers {
			r.covered, r.dueSince = current, time.Time{}
		}
		return
	}
	if now.Sub(r.appendedAt) < appendInterval {
		return
	}
	if isSubstitute := !r.options.IsWriter(1); !r.known || isSubstitute {
		before := r.next
		if !r.load(ctx) {
			return
		}
		// Whoever appended a record meanwhile appends the next one, too.
		if current, due = r.isDue(); !due || (isSubstitute && r.next > before) {
			r.covered, r.dueSince = current, time.Time{}
			return
		}
	}
	r.write(ctx, current)
}

// write appends a record that covers the log up to a version.
func (r *Recorder) write(ctx context.Context, current uint64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	record := r.options.Log.Record()
	next, written, err := r.options.Store.RecordCrashes(ctx, record, r.next)
	r.count("comfrey_crash_record_appends_total")
	switch {
	case err != nil:
		// The record may have been appended, or may still be.
		r.known = false
		r.fail("failed to append a record of crashes", err)
	case !written:
		r.known = false
	default:
		r.setStored(record, next)
		r.options.Logger.Info("crashes recorded", zap.Int("suspects", len(record)), zap.Duration("after", r.options.Clock.Since(r.dueSince)))
		r.covered, r.dueSince, r.appendedAt = current, time.Time{}, r.options.Clock.Now()
	}
}

// fail logs the first failure of a series and sets the time of the next call.
func (r *Recorder) fail(message string, err error) {
	r.count("comfrey_crash_record_errors_total")
	if r.failures == 0 {
		r.options.Logger.Warn(message, zap.Error(err))
	}
	pause := retryInterval << min(r.failures, 4)
	r.failures++
	r.retryAt = r.options.Clock.Now().Add(min(pause, maxRetryInterval))
}

func (r *Recorder) count(name string) { r.options.Meter.Add(name, meter.Labels{}, 1) }
