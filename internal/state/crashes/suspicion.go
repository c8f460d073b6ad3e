package crashes

import (
	"cmp"
	"math"
	"slices"

	"comfreyworks"
)

// suspicion is what is known about a part, as in comfreyworks.CrashSuspicion.
type suspicion struct {
	cleared, crashes uint16
	with             partSet
	ended            endSet
	// answered means that a gateway had seen the part answered shortly before.
	answered bool
	// tried counts early trials that failed.
	tried uint16
}

func newSuspicion(s comfreyworks.CrashSuspicion) suspicion {
	return suspicion{s.Cleared, s.Crashes, newPartSet(s.With), newEndSet(s.Ended), s.Answered && KindOf(s.Part) == PromptPart, s.Tried}
}

// crash returns the suspicion after an upstream ended under a request with the given
// other suspects that was sent when s was known. An end that s knows doesn't count again,
// and with a doubt that many ends don't count. Both need incarnations to be told apart.
func (s suspicion) crash(others partSet, upstream incarnation, doubt int) suspicion {
	ended := s.ended.union(newEndSet([]uint32{uint32(upstream)}))
	crashes := min(s.crashes, math.MaxUint16-1) + 1
	if upstream.isUnique() {
		if s.ended.has(uint32(upstream)) {
			return s
		}
		if ends := len(ended.keys()); ends < len(ended) {
			crashes = min(crashes, max(1, s.crashes, uint16(max(0, ends-doubt))))
		}
	}
	return suspicion{s.cleared, crashes, others, ended, s.answered, s.tried}
}

// add returns the suspicion after a crash that was not known yet.
func (s suspicion) add(crash suspicion) suspicion {
	if s.cleared != crash.cleared || s.crashes == 0 {
		return s.join(crash)
	}
	return suspicion{
		s.cleared, max(s.crashes, crash.crashes), s.with.intersect(crash.with), s.ended.union(crash.ended), s.answered || crash.answered,
		max(s.tried, crash.tried),
	}
}

// clear returns the suspicion after it was dropped, because of an answer or for another
// reason.
func (s suspicion) clear(answered bool) suspicion {
	if s.crashes == 0 {
		return s
	}
	return suspicion{cleared: min(s.cleared, math.MaxUint16-1) + 1, answered: answered}
}

// join returns what two gateways know together. It is commutative, associative and
// idempotent.
func (s suspicion) join(other suspicion) suspicion {
	if s.cleared != other.cleared {
		if s.cleared < other.cleared {
			return other
		}
		return s
	}
	ended, tried := s.ended.union(other.ended), max(s.tried, other.tried)
	switch cmp.Compare(s.crashes, other.crashes) {
	case -1:
		s = other
	case 0:
		s.with = s.with.intersect(other.with)
		s.answered = s.answered || other.answered
	}
	s.ended, s.tried = ended, tried
	return s
}

// partSet is a set of a few keys in ascending order, followed by zeros.
type partSet [comfreyworks.MaxCrashSuspicionWith]uint32

// newPartSet returns the set of the first keys that are not zero.
func newPartSet(keys []uint32) (set partSet) {
	fill(set[:], keys)
	return set
}

// keys returns the members of the set, nil if there are none.
func (p partSet) keys() []uint32 { return members(p[:]) }

func (p partSet) has(key uint32) bool { return slices.Contains(p[:], key) }

// intersect returns the parts that are in both sets.
func (p partSet) intersect(other partSet) partSet {
	return newPartSet(slices.DeleteFunc(p.keys(), func(key uint32) bool { return !other.has(key) }))
}

// endSet is a set of incarnations like partSet.
type endSet [comfreyworks.MaxCrashSuspicionEnded]uint32

func newEndSet(keys []uint32) (set endSet) {
	fill(set[:], keys)
	return set
}

func (e endSet) keys() []uint32 { return members(e[:]) }

func (e endSet) has(key uint32) bool { return slices.Contains(e[:], key) }

// union returns the lowest keys that are in either set.
func (e endSet) union(other endSet) endSet {
	keys := append(e.keys(), other.keys()...)
	slices.Sort(keys)
	return newEndSet(keys)
}

// fill writes the first keys that are not zero to an empty set, in ascending order.
func fill(set, keys []uint32) {
	n := 0
	for _, key := range keys {
		if n < len(set) && key != 0 && !slices.Contains(set[:n], key) {
			set[n] = key
			n++
		}
	}
	slices.Sort(set[:n])
}

func members(set []uint32) (keys []uint32) {
	for _, key := range set {
		if key != 0 {
			keys = append(keys, key)
		}
	}
	return keys
}
