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
	// conflicting is the release of a stream about which gateways disagree.
	conflicting = 0
)

// origin is what is known about a stream.
type origin struct {
	release uint32
	// overrules means that this gateway set the release in place of overruled. Other
	// gateways may report that one again, or a conflict with it.
	overrules bool
	overruled uint32
}

// set returns the origin after an attempt of this gateway.
func (o origin) set(own origin) origin {
	if o.release == own.release {
		return o
	}
	return origin{release: own.release, overrules: true, overruled: o.release}
}

// learn returns the origin after a report of another gateway.
func (o origin) learn(reported origin) origin {
	known := reported.release == o.release ||
		o.overrules && (reported.release == o.overruled || reported.release == conflicting)
	if known {
		return o
	}
	return origin{release: conflicting}
}

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
	log *sharedlog.Log[origin]
}

// New returns an empty log.
func New(clock comfreyworks.Clock) *Log {
	return &Log{log: sharedlog.New(sharedlog.Options[origin]{
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
	item := func(yield func(uint32, origin) bool) { yield(Key(id), origin{release: release}) }
	l.log.Merge(item, Local, origin.set)
}

// Merge records what other gateways know. A stream of which a different release is
// known becomes unknown, unless this gateway has overruled it.
func (l *Log) Merge(origins []comfreyworks.StreamOrigin, from Origin) {
	items := func(yield func(uint32, origin) bool) {
		for _, o := range origins {
			if !yield(o.Stream, origin{release: o.Release}) {
				return
			}
		}
	}
	l.log.Merge(items, from, origin.learn)
}

// Lookup returns the release that began a stream within the lifetime of entries. It
// returns false if the release is unknown or gateways disagree about it.
func (l *Log) Lookup(key uint32) (release uint32, ok bool) {
	o, ok := l.log.Lookup(key)
	return o.release, ok && o.release != conflicting
}

// Conflicts reports whether gateways disagree about a stream.
func (l *Log) Conflicts(key uint32) bool {
	o, ok := l.log.Lookup(key)
	return ok && o.release == conflicting
}

// After returns what was recorded after a version of the log, and the current
// version. With origin Local it leaves out remote entries.
func (l *Log) After(version uint64, from Origin) (origins []comfreyworks.StreamOrigin, current uint64) {
	current = l.log.After(version, from, func(key uint32, o origin) {
		origins = append(origins, comfreyworks.StreamOrigin{Stream: key, Release: o.release})
	})
	return origins, current
}
