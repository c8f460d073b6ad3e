package crashes

import (
	"math"
	"slices"
	"time"

	"comfreyworks"
)

// Request is a request that was sent to an engine. Its first call of Broke, Answered or
// Done counts; later ones have no effect.
type Request struct {
	log   *Log
	parts []snapshot
	// trials lists the parts that the request tries after their quarantine.
	trials []uint32
	// early lists those of them that are still in quarantine.
	early []uint32
	// upstream is the upstream to which it was sent, goneAt when that was found to have
	// ended before; both are zero if unknown.
	upstream incarnation
	goneAt   time.Time
	ended    bool
}

// snapshot is what was known of a part when a request with it was sent.
type snapshot struct {
	key   uint32
	known suspicion
}

// Begin records that a request with the given parts is sent to an engine.
func (l *Log) Begin(keys []uint32) *Request {
	r := &Request{log: l, parts: make([]snapshot, len(keys))}
	for i, key := range keys {
		known, age, _ := l.log.LookupAge(key)
		known.answered = l.wasAnswered(key) || known.answered && (known.crashes > 0 || age <= recently)
		r.parts[i] = snapshot{key, known}
		switch {
		case !l.isBlamed(key, known):
		case age > l.restrictedFor(key, known):
			r.trials = append(r.trials, key)
		case l.mayTryEarly(key, known, age):
			r.trials = append(r.trials, key)
			r.early = append(r.early, key)
		}
	}
	if len(r.trials) > 0 {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, key := range r.trials {
			l.trials[key]++
		}
	}
	return r
}

// On records to which incarnation of an upstream the request is sent.
func (r *Request) On(upstream comfreyworks.InstanceID, started time.Time) *Request {
	r.upstream = newIncarnation(upstream, started)
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	now := r.log.clock.Now()
	r.log.ends.replace(r.upstream, started, now)
	r.goneAt = r.log.ends.endedAt(r.upstream, now)
	return r
}

// Heard records that the upstream has sent a part of the answer.
func (r *Request) Heard() {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	r.log.ends.hear(r.upstream)
}

// end ends the request and its trials. It returns false if the request had ended.
func (r *Request) end() bool {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	if r.ended {
		return false
	}
	r.ended = true
	for _, key := range r.trials {
		if r.log.trials[key]--; r.log.trials[key] == 0 {
			delete(r.log.trials, key)
		}
	}
	return true
}

// Done ends the request without a result, for example when it was refused or
// cancelled.
func (r *Request) Done() { r.end() }

// countEarly records that the early trials of the request failed, so that no gateway makes
// more of them than one alone would.
func (r *Request) countEarly() {
	r.log.log.Merge(func(yield func(uint32, suspicion) bool) {
		for _, s := range r.parts {
			if slices.Contains(r.early, s.key) && !yield(s.key, suspicion{cleared: s.known.cleared, tried: s.known.tried + 1}) {
				return
			}
		}
	}, Local, suspicion.join)
}

// Finding is what follows from the end of an upstream under a request.
type Finding struct {
	Verdict Verdict
	// Crashes is the highest number of crashes of a suspect of the request, Doubt how many
	// ends under the request don't count because others ended without it.
	Crashes, Doubt int
	// Suspected means that a suspect has so many crashes that the request must not be sent
	// again. A part that was answered in the last seconds is none before it is blamed.
	Suspected bool
	// End identifies the end of the upstream in the logs of all gateways.
	End uint32
}

// Broke records that the connection to the upstream broke under the request. If a part of
// the request is already blamed for certain, the crash does not count for the others.
func (r *Request) Broke(e Evidence) Finding {
	if !r.end() {
		return Finding{}
	}
	finding := Finding{Verdict: r.judge(e), End: uint32(r.upstream)}
	switch finding.Verdict {
	case EndedUnder:
	case Unread:
		if !r.hasParts() {
			// A service that a request ends as soon as it is read looks the same; an engine
			// has to read the prompt first. The request is still sent again, but counted, so
			// that it can't end one upstream after the other.
			r.count(r.parts)
		}
		fallthrough
	default:
		return finding
	}
	r.countEarly()
	cause := slices.DeleteFunc(slices.Clone(r.parts), func(s snapshot) bool {
		known, _ := r.log.log.Lookup(s.key)
		return !r.log.isCertain(s.key, known) || known.cleared != s.known.cleared
	})
	if len(cause) == 0 {
		cause = r.parts
	}
	doubts := r.count(cause)
	r.log.excuseTogether(r)
	for _, s := range r.parts {
		if known, _ := r.log.log.Lookup(s.key); known.cleared == s.known.cleared {
			finding.Crashes = max(finding.Crashes, int(known.crashes))
			finding.Suspected = finding.Suspected || r.log.isSuspected(s.key, known)
		}
	}
	if len(doubts) > 0 {
		finding.Doubt = slices.Max(doubts)
	}
	return finding
}

// hasParts reports whether a part of a prompt is among the suspects.
func (r *Request) hasParts() bool {
	return slices.ContainsFunc(r.parts, func(s snapshot) bool { return KindOf(s.key) == PromptPart })
}

// count counts an end of the upstream for some of the suspects, and returns the doubt
// about each.
func (r *Request) count(suspects []snapshot) []int {
	doubts := r.doubts(suspects)
	r.log.log.Merge(func(yield func(uint32, suspicion) bool) {
		for i, s := range suspects {
			if s.known.cleared < math.MaxUint16 && !yield(s.key, s.known.crash(r.others(s.key), r.upstream, doubts[i])) {
				return
			}
		}
	}, Local, suspicion.add)
	return doubts
}

// judge decides whether the request ended its upstream, and records that it has ended.
func (r *Request) judge(e Evidence) Verdict {
	l := r.log
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if e.Began {
		l.ends.hear(r.upstream)
	}
	verdict := judge(e, !r.goneAt.IsZero() && l.ends.endedAt(r.upstream, now).Equal(r.goneAt))
	if verdict == Unread && !l.together.mayExcuse(r.parts, now) {
		verdict = EndedUnder
	}
	l.ends.see(r.upstream, now)
	return verdict
}

// doubts returns the doubt about each suspect.
func (r *Request) doubts(suspects []snapshot) []int {
	now := r.log.clock.Now()
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	doubts := make([]int, len(suspects))
	for i, s := range suspects {
		if KindOf(s.key) == WholeRequest {
			// Hardly any sound request is at two ends, and its pool may be small.
			continue
		}
		known, _ := r.log.log.Lookup(s.key)
		doubts[i] = doubt(r.log.ends.without(known.ended.union(newEndSet([]uint32{uint32(r.upstream)})), now))
	}
	return doubts
}

// others returns the parts of the request other than key. If there are too many,
// those with the most crashes are kept.
func (r *Request) others(key uint32) partSet {
	parts := slices.Clone(r.parts)
	slices.SortStableFunc(parts, func(a, b snapshot) int { return int(b.known.crashes) - int(a.known.crashes) })
	var keys []uint32
	for _, s := range parts {
		if s.key != key {
			keys = append(keys, s.key)
		}
	}
	return newPartSet(keys)
}

// Answered records that an engine answered the request, or is doing so for long
// enough.
func (r *Request) Answered() {
	if !r.end() {
		return
	}
	r.log.mu.Lock()
	now := r.log.clock.Now()
	r.log.ends.hear(r.upstream)
	for _, s := range r.parts {
		r.log.together.forget(s.key)
		if KindOf(s.key) == PromptPart {
			r.log.answered.add(s.key, now)
			r.log.justAnswered.add(s.key, now)
		}
	}
	r.log.mu.Unlock()
	for _, s := range r.parts {
		r.log.clear(s.key, KindOf(s.key) == PromptPart)
	}
}
