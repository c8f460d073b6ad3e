// Package configuration keeps an instance's configuration up to date.
//
// Operators append records to the configuration stream of the platform's log.
// A few instances read that stream. Every instance asks a random peer twice a
// second for a newer revision and pulls only the sections that changed. A change
// therefore spreads without every instance reading the log, and an instance that
// restarts while the log is down gets the newest revision from its peers. An
// instance only ever replaces its configuration by one with a higher revision.
//
// # Usage
//
//	f := configuration.New(configuration.Options{Initial: document, Log: log, ...})
//	f.Bootstrap(ctx)
//	group.Go(func() error { return f.Run(ctx) })
//	deployment := f.Current().Deployment()
//
// Failed reads and pulls are retried.
package configuration

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"comfreyworks"
	"comfreyworks/internal/state/rendezvous"
	"comfreyworks/internal/state/revision"
)

// Stream is the log stream of the configuration.
const Stream = "configuration"

const (
	// pullInterval is how often an instance pulls from a random peer.
	pullInterval = 500 * time.Millisecond
	// callTimeout bounds one pull from a peer, one append to the log, and the
	// reading of the log by Bootstrap.
	callTimeout = time.Second
	// bootstrapPeers is the number of pulls from random peers by Bootstrap.
	bootstrapPeers = 3
	// logReaders is the number of instances that read the log.
	logReaders = 16
	// readLimit is the maximum number of records per read.
	readLimit = 256
	// readWait is how long a read waits for new records.
	readWait = time.Second
	// readTimeout bounds one read of the log.
	readTimeout = 3 * time.Second
	// readRetryDelay is the delay after a failed read, and between the checks of
	// an instance whether it has become a reader.
	readRetryDelay = time.Second
	// snapshotAge is the age of the newest record after which a snapshot is
	// appended. The log must retain records for several times as long.
	snapshotAge = 2 * time.Hour
	// snapshotJitter bounds the delay that is added to snapshotAge. The delay
	// differs between instances, so that they do not all append at once.
	snapshotJitter = 30 * time.Minute
)

// Options configures a Follower.
type Options struct {
	Instance comfreyworks.InstanceID
	// Initial is the configuration that the instance was started with.
	Initial *revision.Document
	Log     comfreyworks.Log
	Clock   comfreyworks.Clock
	Logger  *zap.Logger
	// Peers returns the instances that can be pulled from at present.
	Peers func() []comfreyworks.Instance
	// NewClient returns a client for one of them.
	NewClient func(comfreyworks.Instance) comfreyworks.ConfigPeer
	// OnChange is called with every new document while the follower's mutex is
	// held; it may be nil.
	OnChange func(*revision.Document)
}

// Follower holds the current configuration and updates it from the log and from
// peers. It is safe for concurrent use.
type Follower struct {
	options    Options
	current    atomic.Pointer[revision.Document]
	mu         sync.Mutex
	nextOffset comfreyworks.Offset
	// newestRecordAt is the creation time of the last record read.
	newestRecordAt time.Time
}

// New returns a follower whose current document is Options.Initial.
func New(options Options) *Follower {
	f := &Follower{options: options}
	f.current.Store(options.Initial)
	return f
}

// Current returns the current document.
func (f *Follower) Current() *revision.Document { return f.current.Load() }

// Pull returns the sections that changed after a revision, for a peer.
func (f *Follower) Pull(since comfreyworks.ConfigRevision) comfreyworks.ConfigUpdate {
	return f.Current().Since(since)
}

// Bootstrap fetches the newest revision before the instance serves requests. It
// reads the log, and it pulls from some peers in case the log is down or has
// dropped the records.
func (f *Follower) Bootstrap(ctx context.Context) {
	var group errgroup.Group
	for range bootstrapPeers {
		group.Go(func() error {
			f.pullOnce(ctx)
			return nil
		})
	}
	group.Go(func() error {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		for f.readOnce(ctx, 0) > 0 {
			continue
		}
		return nil
	})
	_ = group.Wait()
}

// Run reads the log and pulls from peers until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return f.pullFromPeers(ctx) })
	group.Go(func() error { return f.followLog(ctx) })
	return group.Wait()
}

func (f *Follower) pullFromPeers(ctx context.Context) error {
	for ctx.Err() == nil {
		f.pullOnce(ctx)
		f.sleep(ctx, pullInterval)
	}
	return nil
}

// pullOnce pulls from one random peer.
func (f *Follower) pullOnce(ctx context.Context) {
	peers := f.options.Peers()
	if len(peers) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	peer := f.options.NewClient(peers[rand.IntN(len(peers))])
	update, err := peer.Pull(ctx, f.Current().Number())
	if err != nil || update.Revision <= f.Current().Number() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	next, err := f.Current().Merge(update)
	f.install(next, err, "peer")
}

// followLog reads the stream while this instance is one of the log readers.
// Instances that see the same list of peers agree on who the readers are.
func (f *Follower) followLog(ctx context.Context) error {
	for ctx.Err() == nil {
		if !f.isReader() || f.readOnce(ctx, readWait) < 0 {
			f.sleep(ctx, readRetryDelay)
			continue
		}
		f.appendSnapshotIfOld(ctx)
	}
	return nil
}

func (f *Follower) isReader() bool {
	var ids []comfreyworks.InstanceID
	for _, peer := range f.options.Peers() {
		ids = append(ids, peer.ID)
	}
	for _, id := range rendezvous.Top(ids, rendezvous.Seed(Stream), logReaders) {
		if id == f.options.Instance {
			return true
		}
	}
	return len(ids) == 0
}

// readOnce reads and applies the next records. It returns their number, or -1 if
// the read failed.
func (f *Follower) readOnce(ctx context.Context, wait time.Duration) int {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	records, err := f.options.Log.Read(ctx, Stream, f.readPosition(), readLimit, wait)
	if err != nil {
		return -1
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, stored := range records {
		f.nextOffset = stored.Offset + 1
		f.applyRecord(stored)
	}
	return len(records)
}

func (f *Follower) readPosition() comfreyworks.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nextOffset
}

// applyRecord applies one record to the current document. The mutex must be
// held.
func (f *Follower) applyRecord(stored comfreyworks.Record) {
	var record revision.Record
	if err := json.Unmarshal(stored.Data, &record); err != nil {
		f.options.Logger.Warn("configuration record ignored because it could not be decoded", zap.Uint64("offset", uint64(stored.Offset)), zap.Error(err))
		return
	}
	f.newestRecordAt = record.At
	next, err := f.Current().Apply(record)
	if revision.IsKind(err, revision.KindConflict) || revision.IsKind(err, revision.KindNotNewer) {
		return
	}
	f.install(next, err, "log")
}

// install makes next the current document if it is newer, or logs err. The mutex
// must be held.
func (f *Follower) install(next *revision.Document, err error, from string) {
	if err != nil {
		f.options.Logger.Warn("configuration rejected", zap.String("from", from), zap.Error(err))
		return
	}
	if next.Number() <= f.Current().Number() {
		return
	}
	f.current.Store(next)
	f.options.Logger.Info("new configuration in force",
		zap.Uint64("revision", uint64(next.Number())), zap.String("from", from))
	if f.options.OnChange != nil {
		f.options.OnChange(next)
	}
}

// appendSnapshotIfOld appends a snapshot of the current document before the log
// drops the records that produced it. It is harmless if several instances do so.
func (f *Follower) appendSnapshotIfOld(ctx context.Context) {
	now := f.options.Clock.Now()
	f.mu.Lock()
	last := f.newestRecordAt
	f.mu.Unlock()
	jitter := time.Duration(rendezvous.Score(rendezvous.Seed(string(f.options.Instance)), uint64(last.Unix())) % uint64(snapshotJitter))
	if last.IsZero() || now.Sub(last) < snapshotAge+jitter {
		return
	}
	data, err := json.Marshal(f.Current().Snapshot(string(f.options.Instance), now))
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := f.options.Log.Append(ctx, Stream, [][]byte{data}); err == nil {
		f.options.Logger.Info("configuration snapshot appended to the log", zap.Uint64("revision", uint64(f.Current().Number())))
	}
}

func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-f.options.Clock.After(d):
	case <-ctx.Done():
	}
}
