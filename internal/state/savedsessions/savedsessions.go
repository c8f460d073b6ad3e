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
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreyworks"
)

const (
	// lifetime is how long a session counts as saved.
	lifetime = 30 * time.Second
	// maxEntries limits the log. It exceeds the sessions that are saved within
	// lifetime; beyond it the oldest entries are dropped.
	maxEntries = 1 << 16
)

// Origin tells from where an entry came, and thus to whom it is passed on.
type Origin int

const (
	// Local entries were added by this gateway or by a gateway that relies on it.
	Local Origin = iota
	// Remote entries were passed on by a gateway that other gateways reach as well.
	Remote
)

// entry is one entry of the log.
type entry struct {
	key    uint32
	at     time.Time
	origin Origin
}

// Log is the log of one process. It is safe for concurrent use.
type Log struct {
	clock comfreyworks.Clock
	mu    sync.Mutex
	// entries holds the log from version first on.
	entries []entry
	first   uint64
	// savedAt holds the latest entry of each key.
	savedAt map[uint32]time.Time
}

// New returns an empty log.
func New(clock comfreyworks.Clock) *Log {
	return &Log{clock: clock, savedAt: make(map[uint32]time.Time)}
}

// Key returns the key of a session: the hash of the cache salt, which contains the
// weights, and of the deepest part that its prompts share.
func Key(salt, partID string) uint32 { return uint32(xxhash.Sum64String(salt + "/" + partID)) }

// Add records that this gateway has had a session saved.
func (l *Log) Add(key uint32) { l.Merge([]uint32{key}, Local) }

// Merge records keys. Those that are known are not recorded, and so not passed
// on, again.
func (l *Log) Merge(keys []uint32, origin Origin) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeExpired(now)
	for _, key := range keys {
		if _, known := l.savedAt[key]; !known {
			l.savedAt[key] = now
			l.entries = append(l.entries, entry{key, now, origin})
		}
	}
}

// removeExpired removes entries that no longer count or exceed the limit.
func (l *Log) removeExpired(now time.Time) {
	n := 0
	for n < len(l.entries) && (len(l.entries)-n > maxEntries || now.Sub(l.entries[n].at) > lifetime) {
		delete(l.savedAt, l.entries[n].key)
		n++
	}
	l.entries = l.entries[n:]
	l.first += uint64(n)
}

// Has reports whether a session has been saved within the lifetime of entries.
func (l *Log) Has(key uint32) bool {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.savedAt[key]
	return ok && now.Sub(at) <= lifetime
}

// After returns the keys that were recorded after a version of the log, and the
// current version. With origin Local it leaves out remote entries.
func (l *Log) After(version uint64, origin Origin) (keys []uint32, current uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current = l.first + uint64(len(l.entries))
	if version >= current {
		return nil, current
	}
	for _, e := range l.entries[max(version, l.first)-l.first:] {
		if origin == Remote || e.origin == Local {
			keys = append(keys, e.key)
		}
	}
	return keys, current
}
