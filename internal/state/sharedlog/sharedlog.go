// Package sharedlog is a log of keys and values that gateways exchange
// incrementally: each sends what was recorded in its log since the last exchange.
//
// An entry counts for a limited time, and the number of entries is bounded.
//
// # Usage
//
//	log := sharedlog.New(sharedlog.Options[uint32]{Clock: clock, Lifetime: time.Minute, MaxEntries: 1000})
//	log.Merge(maps.All(values), sharedlog.Local, resolve)
//	value, ok := log.Lookup(key)
//	next := log.After(version, sharedlog.Local, func(key, value uint32) { ... })
package sharedlog

import (
	"iter"
	"sync"
	"time"

	"comfreyworks"
)

// Origin tells from where an entry came, and thus to whom it is passed on.
type Origin int

const (
	// Local entries were added by this gateway or by a gateway that relies on it.
	Local Origin = iota
	// Remote entries were passed on by a gateway that other gateways reach as well.
	Remote
)

// Options configures a Log.
type Options[V comparable] struct {
	Clock comfreyworks.Clock
	// Lifetime is how long an entry counts after it was recorded.
	Lifetime time.Duration
	// MaxEntries limits the log; beyond it the oldest entries are dropped.
	MaxEntries int
	// Promote records a remote entry again when it arrives as a local one, so that it
	// is passed on.
	Promote bool
	// Preserve reports whether an entry is dropped only when no others are left; nil
	// means that none is.
	Preserve func(value V) bool
}

// entry is one entry of the log. The last one of a key replaces the earlier ones.
type entry[V comparable] struct {
	key    uint32
	value  V
	at     time.Time
	origin Origin
}

// Log is the log of one process. It is safe for concurrent use.
type Log[V comparable] struct {
	options Options[V]
	mu      sync.Mutex
	// entries holds the log from version first on.
	entries []entry[V]
	first   uint64
	// latest holds the version before the last entry of each key.
	latest map[uint32]uint64
}

// New returns an empty log.
func New[V comparable](options Options[V]) *Log[V] {
	return &Log[V]{options: options, latest: make(map[uint32]uint64)}
}

// Merge records keys and values. For a known key, resolve returns the new value
// from the known and the given one. Entries that change nothing are not recorded,
// and so not passed on, again.
func (l *Log[V]) Merge(items iter.Seq2[uint32, V], origin Origin, resolve func(known, given V) V) {
	l.mergeAt(items, l.options.Clock.Now(), origin, resolve)
}

// MergeAt is Merge with one key that was recorded at an earlier time. If the key is known,
// a new value counts from now on.
func (l *Log[V]) MergeAt(key uint32, value V, at time.Time, origin Origin, resolve func(known, given V) V) {
	l.mergeAt(func(yield func(uint32, V) bool) { yield(key, value) }, at, origin, resolve)
}

func (l *Log[V]) mergeAt(items iter.Seq2[uint32, V], at time.Time, origin Origin, resolve func(known, given V) V) {
	now := l.options.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeExpired(now)
	for key, value := range items {
		e := entry[V]{key, value, at, origin}
		if known := l.last(key, now); known != nil {
			e.value = resolve(known.value, value)
			if e.value == known.value && !(l.options.Promote && origin < known.origin) {
				continue
			}
			// The replaced entry may not have been passed on yet.
			e.origin, e.at = min(origin, known.origin), now
		}
		l.latest[key] = l.first + uint64(len(l.entries))
		l.entries = append(l.entries, e)
	}
	l.removeExpired(now)
}

// last returns the last entry of a key, or nil if there is none that counts. The mutex
// must be held.
func (l *Log[V]) last(key uint32, now time.Time) *entry[V] {
	version, ok := l.latest[key]
	if !ok {
		return nil
	}
	if e := &l.entries[version-l.first]; !l.expired(e, now) {
		return e
	}
	return nil
}

func (l *Log[V]) expired(e *entry[V], now time.Time) bool { return now.Sub(e.at) > l.options.Lifetime }

// removeExpired removes entries that no longer count or exceed the limit.
func (l *Log[V]) removeExpired(now time.Time) {
	l.remove(now, l.options.Preserve)
	l.remove(now, nil)
}

// remove removes the oldest entries, and records those to preserve again.
func (l *Log[V]) remove(now time.Time, preserve func(V) bool) {
	n := 0
	for size := len(l.entries); n < size; n++ {
		e := l.entries[n]
		expired := l.expired(&e, now)
		if !expired && len(l.entries)-n <= l.options.MaxEntries {
			break
		}
		switch {
		case l.latest[e.key] != l.first+uint64(n):
		case !expired && preserve != nil && preserve(e.value):
			l.latest[e.key] = l.first + uint64(len(l.entries))
			l.entries = append(l.entries, e)
		default:
			delete(l.latest, e.key)
		}
	}
	l.entries = l.entries[n:]
	l.first += uint64(n)
}

// Lookup returns the value of a key that was recorded within the lifetime of
// entries.
func (l *Log[V]) Lookup(key uint32) (value V, ok bool) {
	value, _, ok = l.LookupAge(key)
	return value, ok
}

// LookupAge is Lookup with the time since the value was recorded.
func (l *Log[V]) LookupAge(key uint32) (value V, age time.Duration, ok bool) {
	now := l.options.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.last(key, now); e != nil {
		return e.value, now.Sub(e.at), true
	}
	return value, 0, false
}

// After calls visit with the keys and values that were recorded after a version of
// the log, without those that were replaced since, and returns the current version.
// With origin Local it leaves out remote entries. visit must not call the log.
func (l *Log[V]) After(version uint64, origin Origin, visit func(key uint32, value V)) (current uint64) {
	now := l.options.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeExpired(now)
	current = l.first + uint64(len(l.entries))
	for v := max(version, l.first); v < current; v++ {
		e := &l.entries[v-l.first]
		if e.origin <= origin && l.latest[e.key] == v && !l.expired(e, now) {
			visit(e.key, e.value)
		}
	}
	return current
}
