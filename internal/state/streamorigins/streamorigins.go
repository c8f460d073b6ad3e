// Package streamorigins records which release of an upstream's software began each
// stream, because only a replica of the same release may continue it.
//
// The record is a log that gateways exchange: a caller whose stream broke may take
// it up at another gateway. A missing entry means that a stream is not continued; a
// wrong one would continue it with another release. If gateways disagree about a
// stream, its origin is therefore unknown.
//
// # Usage
//
//	log := streamorigins.New(clock)
//	log.Add(requestID, streamorigins.Release(pool, release))
//	release, ok := log.Lookup(streamorigins.Key(requestID))
//	origins, next := log.After(version, streamorigins.Local)
//	log.Merge(origins, streamorigins.Remote)
package streamorigins

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreyworks"
	"comfreyworks/internal/state/sharedlog"
)

const (
	// lifetime is how long the origin of a stream is known.
	lifetime = 30 * time.Second
	// maxEntries limits the log. It exceeds the streams that begin within lifetime;
	// beyond it the oldest entries are dropped.
	maxEntries = 1 << 18
	// conflicting is the value of a stream about which gateways disagree.
	conflicting = 0
)

// Origin tells from where an entry came, and thus to whom it is passed on.
type Origin = sharedlog.Origin

const (
	// Local entries were added by this gateway or by a gateway that relies on it.
	Local = sharedlog.Local
	// Remote entries were passed on by a gateway that other gateways reach as well.
	Remote = sharedlog.Remote
)

// Log is the log of one process. It is safe for concurrent use.
type Log struct {
	log *sharedlog.Log[uint32]
}

// New returns an empty log.
func New(clock comfreyworks.Clock) *Log {
	return &Log{log: sharedlog.New[uint32](sharedlog.Options{
		Clock: clock, Lifetime: lifetime, MaxEntries: maxEntries, Promote: true,
	})}
}

// Key returns the key of a stream: the hash of the ID of the request that began it.
func Key(id comfreyworks.RequestID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// Release returns the hash of a pool and a release of its upstreams' software. It is
// never zero.
func Release(pool comfreyworks.Pool, release string) uint32 {
	return max(1, uint32(xxhash.Sum64String(string(pool)+"\x00"+release)))
}

// Add records that this gateway sends a request to an upstream of a release. The
// last release counts, whatever was known before: an earlier attempt of this gateway
// began no stream.
func (l *Log) Add(id comfreyworks.RequestID, release uint32) {
	item := func(yield func(uint32, uint32) bool) { yield(Key(id), release) }
	l.log.Merge(item, Local, func(_, own uint32) uint32 { return own })
}

// Merge records what other gateways know. A stream of which a different release is
// known becomes unknown.
func (l *Log) Merge(origins []comfreyworks.StreamOrigin, origin Origin) {
	items := func(yield func(uint32, uint32) bool) {
		for _, o := range origins {
			if !yield(o.Stream, o.Release) {
				return
			}
		}
	}
	l.log.Merge(items, origin, func(known, learned uint32) uint32 {
		if known != learned {
			return conflicting
		}
		return known
	})
}

// Lookup returns the release that began a stream within the lifetime of entries. It
// returns false if the release is unknown or gateways disagree about it.
func (l *Log) Lookup(key uint32) (release uint32, ok bool) {
	release, ok = l.log.Lookup(key)
	return release, ok && release != conflicting
}

// After returns what was recorded after a version of the log, and the current
// version. With origin Local it leaves out remote entries.
func (l *Log) After(version uint64, origin Origin) (origins []comfreyworks.StreamOrigin, current uint64) {
	current = l.log.After(version, origin, func(key, release uint32) {
		origins = append(origins, comfreyworks.StreamOrigin{Stream: key, Release: release})
	})
	return origins, current
}
