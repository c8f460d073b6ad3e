// Package configuration keeps an instance's configuration up to date.
//
// Operators append records to the configuration stream of the platform's log.
// A few instances read that stream; every instance asks a random peer
// twice a second whether it knows something newer and pulls only the sections that
// changed. So a change spreads without the log, and an instance that restarts
// while the log is down gets the newest revision from its peers. What an
// instance has in force is only ever replaced by a higher revision.
//
// # Usage
//
//	f := configuration.New(configuration.Options{Initial: document, Log: log, ...})
//	f.Bootstrap(ctx)
//	group.Go(func() error { return f.Run(ctx) })
//	deployment := f.Current().Deployment()
//
// Nothing here fails for good: what cannot be read now is tried again.
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
	// pullInterval is how often a random peer is asked.
	pullInterval = 500 * time.Millisecond
	// callTimeout bounds one call to a peer.
	callTimeout = time.Second
	// bootstrapPeers is how many peers are asked at the start.
	bootstrapPeers = 3
	// readers is how many instances read the log.
	readers = 16
	// readLimit is the most records that one read asks for.
	readLimit = 256
	// readWait is how long the log may hold a read back for news.
	readWait = time.Second
	// readTimeout bounds one read of the log.
	readTimeout = 3 * time.Second
	// readPause is the pause after a failed read, and between the looks of an
	// instance that is no reader.
	readPause = time.Second
	// carryAfter is how old the last record may become before the whole is
	// carried forward; the log must keep records for several times as long.
	carryAfter = 2 * time.Hour
	// carryJitter spreads the instances that may carry.
	carryJitter = 30 * time.Minute
)

// Options configures a Follower.
type Options struct {
	Instance comfreyworks.InstanceID
	// Initial is what the instance was started with.
	Initial *revision.Document
	Log     comfreyworks.Log
	Clock   comfreyworks.Clock
	Logger  *zap.Logger
	// Peers returns the instances that can be asked now.
	Peers func() []comfreyworks.Instance
	// Peer reaches one of them.
	Peer func(comfreyworks.Instance) comfreyworks.ConfigPeer
	// Changed is called with every new document; it may be nil.
	Changed func(*revision.Document)
}

// Follower keeps a configuration. It is safe for concurrent use.
type Follower struct {
	options Options
	current atomic.Pointer[revision.Document]
	mu      sync.Mutex
	next    comfreyworks.Offset
	// lastRecord is when the newest record on the log was made.
	lastRecord time.Time
}

// New returns a follower that has the initial document in force.
func New(options Options) *Follower {
	f := &Follower{options: options}
	f.current.Store(options.Initial)
	return f
}

// Current returns the document in force.
func (f *Follower) Current() *revision.Document { return f.current.Load() }

// Pull answers a peer.
func (f *Follower) Pull(since comfreyworks.ConfigRevision) comfreyworks.ConfigUpdate {
	return f.Current().Since(since)
}

// Bootstrap looks for the newest revision before the instance serves: on the
// log, and at some peers in case the log is down or has forgotten.
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

// Run follows the log and the peers until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return f.followPeers(ctx) })
	group.Go(func() error { return f.followLog(ctx) })
	return group.Wait()
}

func (f *Follower) followPeers(ctx context.Context) error {
	for ctx.Err() == nil {
		f.pullOnce(ctx)
		f.sleep(ctx, pullInterval)
	}
	return nil
}

// pullOnce asks one random peer.
func (f *Follower) pullOnce(ctx context.Context) {
	peers := f.options.Peers()
	if len(peers) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	peer := f.options.Peer(peers[rand.IntN(len(peers))])
	update, err := peer.Pull(ctx, f.Current().Number())
	if err != nil || update.Revision <= f.Current().Number() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	next, err := f.Current().Merge(update)
	f.take(next, err, "peer")
}

// followLog reads the stream while this instance is one of the readers. The
// readers are the same for everyone who sees the same list.
func (f *Follower) followLog(ctx context.Context) error {
	for ctx.Err() == nil {
		if !f.isReader() || f.readOnce(ctx, readWait) < 0 {
			f.sleep(ctx, readPause)
			continue
		}
		f.carryIfOld(ctx)
	}
	return nil
}

func (f *Follower) isReader() bool {
	var ids []comfreyworks.InstanceID
	for _, peer := range f.options.Peers() {
		ids = append(ids, peer.ID)
	}
	for _, id := range rendezvous.Top(ids, rendezvous.Seed(Stream), readers) {
		if id == f.options.Instance {
			return true
		}
	}
	return len(ids) == 0
}

// readOnce folds the next records. It returns their number, or -1 when the log
// did not answer.
func (f *Follower) readOnce(ctx context.Context, wait time.Duration) int {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	records, err := f.options.Log.Read(ctx, Stream, f.position(), readLimit, wait)
	if err != nil {
		return -1
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, stored := range records {
		f.next = stored.Offset + 1
		f.fold(stored)
	}
	return len(records)
}

func (f *Follower) position() comfreyworks.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// fold applies one record. The mutex must be held.
func (f *Follower) fold(stored comfreyworks.Record) {
	var record revision.Record
	if err := json.Unmarshal(stored.Data, &record); err != nil {
		f.options.Logger.Warn("configuration record ignored", zap.Uint64("offset", uint64(stored.Offset)), zap.Error(err))
		return
	}
	f.lastRecord = record.At
	next, err := f.Current().Apply(record)
	if revision.IsKind(err, revision.KindConflict) || revision.IsKind(err, revision.KindNotNewer) {
		return
	}
	f.take(next, err, "log")
}

// take puts a document in force. The mutex must be held.
func (f *Follower) take(next *revision.Document, err error, from string) {
	if err != nil {
		f.options.Logger.Warn("configuration not taken", zap.String("from", from), zap.Error(err))
		return
	}
	if next.Number() <= f.Current().Number() {
		return
	}
	f.current.Store(next)
	f.options.Logger.Info("configuration in force",
		zap.Uint64("revision", uint64(next.Number())), zap.String("from", from))
	if f.options.Changed != nil {
		f.options.Changed(next)
	}
}

// carryIfOld carries the whole forward before the log drops it. Several
// instances doing so is harmless.
func (f *Follower) carryIfOld(ctx context.Context) {
	now := f.options.Clock.Now()
	f.mu.Lock()
	last := f.lastRecord
	f.mu.Unlock()
	jitter := time.Duration(rendezvous.Score(rendezvous.Seed(string(f.options.Instance)), uint64(last.Unix())) % uint64(carryJitter))
	if last.IsZero() || now.Sub(last) < carryAfter+jitter {
		return
	}
	data, err := json.Marshal(f.Current().Snapshot(string(f.options.Instance), now))
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := f.options.Log.Append(ctx, Stream, [][]byte{data}); err == nil {
		f.options.Logger.Info("configuration carried forward", zap.Uint64("revision", uint64(f.Current().Number())))
	}
}

func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-f.options.Clock.After(d):
	case <-ctx.Done():
	}
}
