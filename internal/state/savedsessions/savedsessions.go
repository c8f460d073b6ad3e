// Package savedsessions records which sessions have their prompts in a cache
// store, so that each of them is copied there once and not by every gateway.
//
// The record is a log of session keys. Gateways exchange what was added to their
// logs since the last exchange. An entry counts for a limited time, because the
// store drops what was not used for long. A wrong entry costs a prefill, a missing
// one a needless copy.
//
// # Usage
//
//	log := savedsessions.New(clock)
//	log.Add(savedsessions.Key(salt, partID))
//	saved := log.Has(key)
//	keys, next := log.After(version, savedsessions.Local)
//	log.Merge(keys, savedsessions.Remote)
package savedsessions

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreyworks"
	"comfreyworks/internal/state/sharedlog"
)

const (
	// lifetime is how long a session counts as saved.
	lifetime = 30 * time.Second
	// maxEntries limits the log. It exceeds the sessions that are saved within
	// lifetime; beyond it the oldest entries are dropped.
	maxEntries = 1 << 16
)

// Origin tells from where an entry came, and thus to whom it is passed on.
type Origin = sharedlog.Origin

const (
	// Local entries were added by this gateway or by a gateway that relies on it.
	Local = sharedlog.Local
	// Remote entries were passed on by a gateway that other gateways reach as well.
	Remote = sharedlog.Remote
)

// saved is the value of every key of the log.
type saved struct{}

// Log is the log of one process. It is safe for concurrent use.
type Log struct {
	log *sharedlog.Log[saved]
}

// New returns an empty log.
func New(clock comfreyworks.Clock) *Log {
	return &Log{log: sharedlog.New(sharedlog.Options[saved]{Clock: clock, Lifetime: lifetime, MaxEntries: maxEntries})}
}

// Key returns the key of a session: the hash of the cache salt, which contains the
// weights, and of the deepest part that its prompts share.
func Key(salt, partID string) uint32 { return uint32(xxhash.Sum64String(salt + "/" + partID)) }

// Add records that this gateway has had a session saved.
func (l *Log) Add(key uint32) { l.Merge([]uint32{key}, Local) }

// Merge records keys. Those that are known are not recorded, and so not passed
// on, again.
func (l *Log) Merge(keys []uint32, origin Origin) {
	items := func(yield func(uint32, saved) bool) {
		for _, key := range keys {
			if !yield(key, saved{}) {
				return
			}
		}
	}
	l.log.Merge(items, origin, func(known, _ saved) saved { return known })
}

// Has reports whether a session has been saved within the lifetime of entries.
func (l *Log) Has(key uint32) bool {
	_, ok := l.log.Lookup(key)
	return ok
}

// After returns the keys that were recorded after a version of the log, and the
// current version. With origin Local it leaves out remote entries.
func (l *Log) After(version uint64, origin Origin) (keys []uint32, current uint64) {
	current = l.log.After(version, origin, func(key uint32, _ saved) { keys = append(keys, key) })
	return keys, current
}
