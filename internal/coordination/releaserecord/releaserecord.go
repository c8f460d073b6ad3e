// Package releaserecord keeps the record of the software releases of upstreams on the
// platform's store, from which gateways that start learn which releases were in service
// if no gateway is left that knows.
//
// A gateway reads the record only after it has read the list of upstreams itself, and
// only while it does not know all releases; the others learn them from it. One gateway
// appends a record when the set of releases changes. If it cannot, further ones try.
//
// # Usage
//
//	recorder := releaserecord.New(releaserecord.Options{Store: store, Catalog: c, IsWriter: isWriter, ...})
//	group.Go(func() error { return recorder.Run(ctx) })
//	recorder.ListRead(reader) // after each read of the list of upstreams
package releaserecord

import (
	"context"
	"time"

	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/state/catalog"
	"comfreyworks/internal/state/faults"
	"comfreyworks/internal/state/meter"
)

const (
	// checkInterval is the pause between two checks whether a record is due. A new
	// release waits for its record.
	checkInterval = 100 * time.Millisecond
	// callTimeout limits one call to the store. A slow store takes 0.4 s.
	callTimeout = 1200 * time.Millisecond
	// retryInterval is the pause after the first failed call. It doubles with each
	// further failure up to maxRetryInterval.
	retryInterval    = 150 * time.Millisecond
	maxRetryInterval = 2400 * time.Millisecond
	// takeoverDelay is how long a record is due until one more gateway tries to append it,
	// then two more, and so on. A call that succeeds takes less.
	takeoverDelay = time.Second
	// maxTakeovers limits these doublings; all relays of the largest fleet then try.
	maxTakeovers = 6
)

// Options configures a Recorder.
type Options struct {
	Store   comfreyworks.ReleaseStore
	Catalog *catalog.Catalog
	// IsWriter reports whether this gateway is among the n that append records.
	IsWriter func(n int) bool
	// NoneBefore reports whether no gateway has ever run with this store, so that there are
	// no streams of an earlier time. It is called if there has never been a record; nil
	// means that this is not known.
	NoneBefore func(ctx context.Context) (bool, error)
	Clock      comfreyworks.Clock
	Logger     *zap.Logger
	Meter      *meter.Meter
	// Faults records panics, after which the recorder goes on.
	Faults *faults.Recorder
}

// Recorder reads and appends records for one gateway. Only ListRead may be called while
// Run or Check is active.
type Recorder struct {
	options Options
	// listRead tells that this gateway has read the list of upstreams: true as a reader.
	listRead chan bool
	// ownReads counts these reads since the gateway last knew all releases.
	ownReads int
	// started means that this gateway has known all releases before.
	started bool
	// read means that the record was read since then.
	read bool
	// stored is the newest record, or nil if there is none that is valid. next is the
	// offset after it if known is set.
	stored *comfreyworks.ReleaseRecord
	next   comfreyworks.Offset
	known  bool
	// dueSince is when a record became due; zero if none is.
	dueSince time.Time
	failures int
	retryAt  time.Time
}

// New returns a recorder that has read nothing.
func New(options Options) *Recorder {
	return &Recorder{options: options, listRead: make(chan bool, 1)}
}

// ListRead tells that this gateway has read the list of upstreams from the source, as a
// reader for others or because it got none from them. It does not wait.
func (r *Recorder) ListRead(reader bool) {
	select {
	case r.listRead <- reader:
	default:
	}
}

// Run reads and appends records until ctx ends.
func (r *Recorder) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		r.options.Faults.Run("release-record", func() { r.Check(ctx) })
		timer := r.options.Clock.NewTimer(checkInterval)
		select {
		case reader := <-r.listRead:
			r.ListRead(reader)
		case <-timer.Chan():
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return nil
}

// Check reads the record if this gateway needs it, and appends one if that is due.
func (r *Recorder) Check(ctx context.Context) {
	reader, listRead := false, false
	select {
	case reader = <-r.listRead:
		listRead = true
	default:
	}
	if r.options.Catalog.KnowsReleases() {
		r.started, r.read, r.ownReads = true, false, 0
		r.append(ctx)
		return
	}
	r.dueSince = time.Time{}
	if listRead {
		r.ownReads++
	}
	// After an outage of the store many gateways read the list once before they hear of
	// the readers again.
	if !r.read && listRead && (reader || !r.started || r.ownReads > 1) && r.mayCall() {
		r.readRecord(ctx)
	}
}

func (r *Recorder) mayCall() bool { return !r.options.Clock.Now().Before(r.retryAt) }

// readRecord reads the record and tells the catalog.
func (r *Recorder) readRecord(ctx context.Context) {
	readAt := r.options.Clock.Now()
	if !r.load(ctx) {
		return
	}
	first, err := r.isFirstStart(ctx)
	if err != nil {
		r.fail("failed to find out whether gateways ran before", err)
		return
	}
	if first {
		r.options.Catalog.ApplyNoEarlierReleases(readAt)
		r.read = r.options.Catalog.KnowsReleases()
		r.options.Logger.Info("first start of a gateway with this store, no earlier releases")
		return
	}
	if r.stored == nil {
		r.read = true
		r.options.Logger.Warn("no valid record of releases, streams of unknown origin are refused until all that began earlier have expired")
		return
	}
	r.options.Catalog.ApplyReleaseRecord(*r.stored, readAt)
	r.read = r.options.Catalog.KnowsReleases()
	r.options.Logger.Info("record of releases read", zap.Any("releases", r.stored.Pools))
}

// isFirstStart reports whether no gateway has ever run with this store.
func (r *Recorder) isFirstStart(ctx context.Context) (bool, error) {
	if r.next != 0 || r.options.NoneBefore == nil {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.options.NoneBefore(ctx)
}

// load reads the newest record. It returns false if the store did not answer.
func (r *Recorder) load(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stored, next, err := r.options.Store.Releases(ctx)
	r.count("comfrey_release_record_reads_total")
	if err != nil {
		r.fail("failed to read the record of releases", err)
		return false
	}
	r.stored, r.next, r.known, r.failures = stored, next, true, 0
	return true
}

// append appends a record if one is due and this gateway is to do so.
func (r *Recorder) append(ctx context.Context) {
	due := r.options.Catalog.ReleasesToRecord()
	now := r.options.Clock.Now()
	switch {
	case !due.Due:
		r.dueSince = time.Time{}
		return
	case r.dueSince.IsZero():
		r.dueSince = now
	}
	if !r.options.IsWriter(r.writers(&due, now)) {
		r.known = false
		return
	}
	if !r.mayCall() {
		return
	}
	// A record that would only lack a former release may be there already, or lost.
	if !r.known || !due.MustAppend {
		if !r.load(ctx) {
			return
		}
		if r.stored != nil {
			r.options.Catalog.AddRecorded(*r.stored)
		}
		// The list of upstreams may have grown too old during the read.
		if due = r.options.Catalog.ReleasesToRecord(); !due.Due {
			return
		}
	}
	if !due.MustAppend && r.stored != nil && r.stored.Equal(due.Record) {
		r.options.Catalog.ReleasesRecorded(&due)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	next, written, err := r.options.Store.RecordReleases(ctx, due.Record, r.next)
	r.count("comfrey_release_record_appends_total")
	switch {
	case err != nil:
		// The record may have been appended, or may still be.
		r.known = false
		r.fail("failed to append a record of releases", err)
	case !written:
		r.known = false
	default:
		r.stored, r.next, r.failures = &due.Record, next, 0
		r.options.Catalog.ReleasesRecorded(&due)
		r.options.Logger.Info("releases recorded", zap.Any("releases", due.Record.Pools), zap.Duration("after", r.options.Clock.Since(r.dueSince)))
	}
}

// writers returns how many gateways should try to append a record that is due. A record
// that only lacks the removal of a release is no reason for others to try.
func (r *Recorder) writers(due *catalog.ReleaseRecording, now time.Time) int {
	if !due.MustAppend {
		return 1
	}
	return 1 << min(maxTakeovers, int(now.Sub(r.dueSince)/takeoverDelay))
}

// fail logs the first failure of a series and sets the time of the next call.
func (r *Recorder) fail(message string, err error) {
	r.count("comfrey_release_record_errors_total")
	if r.failures == 0 {
		r.options.Logger.Warn(message, zap.Error(err))
	}
	pause := retryInterval
	for range min(r.failures, 4) {
		pause *= 2
	}
	r.failures++
	r.retryAt = r.options.Clock.Now().Add(min(pause, maxRetryInterval))
}

func (r *Recorder) count(name string) { r.options.Meter.Add(name, meter.Labels{}, 1) }
