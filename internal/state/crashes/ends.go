package crashes

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreyworks"
)

const (
	// endKept is how long a gateway knows that an upstream has ended. Idle connections to
	// it are closed sooner.
	endKept = time.Minute
	// unknownStartKept takes its place if another incarnation can't be told from it.
	unknownStartKept = 500 * time.Millisecond
	// otherEndsWindow is how long ends cast doubt on suspects that were not there.
	otherEndsWindow = 10 * time.Second
	// reportTime is how long it may take until other gateways have reported under what an
	// upstream ended.
	reportTime = time.Second
	// maxEnds limits the ends that are known.
	maxEnds = 256
	// maxUpstreams limits the upstreams whose last incarnation is known.
	maxUpstreams = 4096
)

// incarnation identifies an upstream, by its upper 16 bits, and its start time; zero if
// unknown. It is odd if the start time is known.
type incarnation uint32

func newIncarnation(upstream comfreyworks.InstanceID, started time.Time) incarnation {
	place := incarnation(xxhash.Sum64String(string(upstream))) << 16
	if started.IsZero() {
		return place | 2
	}
	start := binary.LittleEndian.AppendUint64(nil, uint64(started.UnixMilli()))
	return place | incarnation(xxhash.Sum64(start))&0xffff | 1
}

// isSameUpstream reports whether i and j are of one upstream.
func (i incarnation) isSameUpstream(j incarnation) bool { return i>>16 == j>>16 }

// isUnique reports whether other incarnations of the upstream can be told from it.
func (i incarnation) isUnique() bool { return i%2 == 1 }

// ending is the end of an incarnation.
type ending struct {
	// at is when this gateway learned of it.
	at time.Time
	// heard means that it has been heard of since, so that only connections had broken.
	heard bool
}

// startedAt is an incarnation and when it started.
type startedAt struct {
	incarnation incarnation
	at          time.Time
}

// knownEnds holds the ends that a gateway has seen or been told of. The zero value is
// empty. It is not synchronized.
type knownEnds struct {
	ends map[incarnation]ending
	// last is the incarnation of each upstream to which a request was last sent.
	last map[incarnation]startedAt
	// swept is when the old ones were last removed.
	swept time.Time
}

// see records that an incarnation has ended.
func (k *knownEnds) see(i incarnation, now time.Time) {
	known, ok := k.ends[i]
	if i == 0 || (ok && !known.heard && !k.isOld(i, known, now)) {
		return
	}
	k.sweep(now)
	if k.ends == nil {
		k.ends = make(map[incarnation]ending)
	}
	if ok || len(k.ends) < maxEnds {
		k.ends[i] = ending{at: now}
	}
}

// learn records that another gateway has seen an end, which it may tell late and more
// than once.
func (k *knownEnds) learn(i incarnation, now time.Time) {
	if _, ok := k.ends[i]; !ok {
		k.see(i, now)
	}
}

// replace records that a request is sent to an incarnation that started at a time, so that
// those before it have ended.
func (k *knownEnds) replace(i incarnation, started, now time.Time) {
	if !i.isUnique() {
		return
	}
	if k.last == nil || len(k.last) >= maxUpstreams {
		k.last = make(map[incarnation]startedAt)
	}
	last, ok := k.last[i>>16]
	if ok && !started.After(last.at) {
		return
	}
	if ok && last.incarnation != i {
		k.learn(last.incarnation, now)
	}
	k.last[i>>16] = startedAt{i, started}
}

// hear records that an incarnation has sent something.
func (k *knownEnds) hear(i incarnation) {
	if known, ok := k.ends[i]; ok {
		known.heard = true
		k.ends[i] = known
	}
}

// endedAt returns when an incarnation was found to have ended; zero if it is not known
// to have.
func (k *knownEnds) endedAt(i incarnation, now time.Time) time.Time {
	known, ok := k.ends[i]
	if !ok || known.heard || k.isOld(i, known, now) {
		return time.Time{}
	}
	return known.at
}

func (k *knownEnds) isOld(i incarnation, known ending, now time.Time) bool {
	kept := endKept
	if !i.isUnique() {
		kept = unknownStartKept
	}
	return now.Sub(known.at) > kept
}

// without returns how many upstreams ended lately other than the given ones, and how many
// of the given ones belong to upstreams that ended at another time too. Ends of which
// other gateways may still tell under what they happened don't count.
func (k *knownEnds) without(with endSet, now time.Time) (others, again int) {
	var counted endSet
	for i, known := range k.ends {
		age := now.Sub(known.at)
		if age < reportTime || with.has(uint32(i)) {
			continue
		}
		if age <= otherEndsWindow {
			others++
		}
		for n, end := range with {
			if i.isUnique() && i.isSameUpstream(incarnation(end)) {
				counted[n] = 1
			}
		}
	}
	return others, len(newEndSet(counted[:]).keys())
}

// sweep removes old ends now and then.
func (k *knownEnds) sweep(now time.Time) {
	if now.Sub(k.swept) < reportTime {
		return
	}
	k.swept = now
	for i, known := range k.ends {
		if now.Sub(known.at) > endKept {
			delete(k.ends, i)
		}
	}
}
