package crashes

import (
	"math"
	"slices"
	"time"
)

const (
	// togetherWindow is the time within which upstreams end together. It covers how long
	// a gateway takes to notice that connections broke at the same moment. Upstreams that
	// a part ends follow one another by more than that, because requests with it do.
	togetherWindow = 20 * time.Millisecond
	// minTogether is the number of upstreams that end together for another reason than a
	// suspect of their requests.
	minTogether = 3
	// maxExcuses is how often a gateway excuses one suspect of a crash, until it has
	// forgotten it. It bounds how many more upstreams a part can end that is sent so often
	// that upstreams end together under it and under other requests.
	maxExcuses = 3
	// maxExcused limits the number of suspects whose excuses are counted.
	maxExcused = 1 << 14
)

// endedRequest is a request under which an upstream ended.
type endedRequest struct {
	at       time.Time
	upstream incarnation
	parts    []snapshot
	excused  bool
}

// recentEnds holds the requests under which upstreams ended within togetherWindow. Its
// zero value is empty. It is not synchronized.
type recentEnds struct {
	requests []endedRequest
	excuses  map[uint32]int
	since    time.Time // start of excuses
}

// add records a request and returns the suspects to excuse of the crash. These are the
// suspects of recent requests if several upstreams ended together, except those that
// were at half of these upstreams or more: they may have ended them.
func (e *recentEnds) add(r *Request, now time.Time) (excused []snapshot) {
	e.requests = slices.DeleteFunc(e.requests, func(old endedRequest) bool { return now.Sub(old.at) > togetherWindow })
	if r.upstream == 0 {
		return nil
	}
	e.requests = append(e.requests, endedRequest{at: now, upstream: r.upstream, parts: r.parts})
	all, at := e.upstreams()
	if len(all) < minTogether {
		return nil
	}
	e.forgetOld(now)
	for i := range e.requests {
		if e.requests[i].excused {
			continue
		}
		e.requests[i].excused = true
		for _, s := range e.requests[i].parts {
			if 2*len(at[s.key]) < len(all) && e.excuses[s.key] < maxExcuses {
				e.excuses[s.key]++
				excused = append(excused, s)
			}
		}
	}
	return excused
}

// mayExcuse excuses the suspects of a request, unless one was excused too often.
func (e *recentEnds) mayExcuse(parts []snapshot, now time.Time) bool {
	e.forgetOld(now)
	if slices.ContainsFunc(parts, func(s snapshot) bool { return e.excuses[s.key] >= maxExcuses }) {
		return false
	}
	for _, s := range parts {
		e.excuses[s.key]++
	}
	return true
}

// forget forgets how often a suspect was excused.
func (e *recentEnds) forget(key uint32) { delete(e.excuses, key) }

func (e *recentEnds) forgetOld(now time.Time) {
	if e.excuses == nil || now.Sub(e.since) > recently || len(e.excuses) >= maxExcused {
		e.excuses, e.since = make(map[uint32]int), now
	}
}

// upstreams returns the upstreams that ended recently, and those that ended under each
// suspect.
func (e *recentEnds) upstreams() (all map[incarnation]bool, at map[uint32]map[incarnation]bool) {
	all, at = make(map[incarnation]bool), make(map[uint32]map[incarnation]bool)
	for _, r := range e.requests {
		all[r.upstream] = true
		for _, s := range r.parts {
			if at[s.key] == nil {
				at[s.key] = make(map[incarnation]bool)
			}
			at[s.key][r.upstream] = true
		}
	}
	return all, at
}

// excuseTogether excuses the suspects of a request under which an upstream ended, and of
// those shortly before, if the upstreams ended together. An excused suspect has as many
// crashes as when its request was sent. Gateways that saw fewer upstreams end learn of
// it as they learn of an answer.
func (l *Log) excuseTogether(r *Request) {
	l.mu.Lock()
	excused := l.together.add(r, l.clock.Now())
	l.mu.Unlock()
	excused = slices.DeleteFunc(excused, func(s snapshot) bool { return l.isBlamed(s.key, s.known) })
	l.log.Merge(func(yield func(uint32, suspicion) bool) {
		for _, s := range excused {
			excuse := s.known
			excuse.cleared = min(s.known.cleared, math.MaxUint16-1) + 1
			if !yield(s.key, excuse) {
				return
			}
		}
	}, Local, suspicion.join)
}
