// Package crashes finds out which requests and which parts of prompts crash upstreams,
// so that they can be refused.
//
// An upstream that ends takes many requests with it, and gives no reason. A request whose
// connection broke is blamed only if it may have been alive at the upstream. Each request
// has suspects: the request itself, which callers may repeat, and the parts of its
// prompt, which it shares with others. The log counts crashes for each suspect of the
// requests that had just begun, but only those that follow one another: a request counts
// a crash for its suspects in addition to those that its gateway knew of when the request
// was sent. Upstreams that end together, whatever they ran, thus count once, and not at
// all if a gateway sees several end at the same moment under requests that have nothing
// in common. An answer clears the suspects of its request, and it then takes more
// crashes to blame its parts, also at gateways that start later.
//
// A suspect with several crashes is blamed. Requests with it are refused, except those
// that tell whether another suspect of the crashed requests was the cause. If one more
// crash makes it certain, the suspect is put under quarantine. If many requests have it,
// one gateway soon lets one of them through, and again if it has no luck; after the
// quarantine each gateway lets one through at a time: another crash blames the suspect
// again at all gateways, an answer clears it.
//
// Gateways exchange what was added to their logs since the last exchange. They may
// learn of suspicions in any order and repeatedly.
//
// # Usage
//
//	log := crashes.New(crashes.Options{Clock: clock, Spread: rand.Float64()})
//	keys := []uint32{
//		crashes.RequestKey(body, workspace, method, host, target),
//		crashes.Key(scope, partID), // all parts but the last
//	}
//	if key, blamed := log.Admit(keys); blamed {
//		return errQuarantined
//	}
//	request := log.Begin(keys)
//	defer request.Done()
//	request.Answered() // the answer completed or went on for a while
//	request.Broke(crashes.Evidence{Took: took}) // the connection broke before that
//	suspicions, next := log.After(version, crashes.Local)
//	log.Merge(suspicions, crashes.Remote)
//	log.Restore(record) // of a gateway that ran before
package crashes

import (
	"slices"
	"sync"
	"time"

	"comfreyworks"
	"comfreyworks/internal/state/sharedlog"
)

const (
	// blameAfter is the number of crashes after which a part is blamed, certainAfter
	// that after which no more requests are let through to test it.
	blameAfter   = 2
	certainAfter = 3
	// certainUpstreams is the number of upstreams that ended under a whole request, some
	// of them together, after which it is certain as soon as it is blamed. A small pool
	// ends at once under a request that is repeated quickly, which counts as one crash.
	certainUpstreams = 4
	// answeredMargin is added to both for a part that was answered recently, so that
	// one that crashes engines is blamed before the parts that come with it.
	answeredMargin = 3
	// provisionalTime is how long after its last crash a blamed part may still be cleared
	// by answers to requests that were sent before.
	provisionalTime = 10 * time.Second
	// minQuarantine is the quarantine of a part that is blamed for the first time. It
	// doubles with each further crash up to maxQuarantine.
	minQuarantine = 10 * time.Minute
	maxQuarantine = time.Hour
	// minRequestQuarantine takes the place of minQuarantine for whole requests. A request
	// that many callers make is blamed as well if its service crashes for another reason
	// until it is mended.
	minRequestQuarantine = 2 * time.Minute
	// earlyTrialWait is how long after its last crash a part under quarantine is tried
	// early, by one gateway for all, and maxEarlyTrials how often. This is for parts that
	// many prompts share: a gateway tries those because of which it has refused
	// minRefusals requests, and one in maxRequestsPerRefusal, within refusalWindow.
	earlyTrialWait        = 2 * time.Second
	maxEarlyTrials        = 2
	minRefusals           = 10
	maxRequestsPerRefusal = 5
	refusalWindow         = 5 * time.Second
	// justAnsweredTime is how long a part that was answered is not taken for the cause of
	// two crashes.
	justAnsweredTime = 2 * time.Second
	// maxTestWait is how long after the last crash a part that is blamed, but not for
	// certain, waits for a request without other suspects. Then any request with it
	// is let through, one at a time.
	maxTestWait = 30 * time.Second
	// lifetime is how long a suspicion is kept after its last change. It exceeds all
	// quarantines.
	lifetime = 2 * time.Hour
	// maxEntries limits the log; beyond it the oldest entries are dropped, those of
	// parts that may be under quarantine last.
	maxEntries = 1 << 14
)

// Origin tells from where an entry came, and thus to whom it is passed on.
type Origin = sharedlog.Origin

const (
	// Local entries were added by this gateway or by a gateway that relies on it.
	Local = sharedlog.Local
	// Remote entries were passed on by a gateway that other gateways reach as well.
	Remote = sharedlog.Remote
)

// Options configures a Log.
type Options struct {
	Clock comfreyworks.Clock
	// Spread lengthens the quarantines of this gateway by a share from 0 to 1, so that
	// not all gateways end one at the same time.
	Spread float64
	// Tries reports whether this gateway, among all, tries the part with the given key
	// early in its quarantine. If it is nil, none does.
	Tries func(key uint32) bool
}

// Log is the log of one process. It is safe for concurrent use.
type Log struct {
	log        *sharedlog.Log[suspicion]
	clock      comfreyworks.Clock
	spread     float64
	tries      func(key uint32) bool
	thresholds thresholds

	mu sync.Mutex
	// trials counts the requests in flight with each blamed part after its quarantine.
	trials map[uint32]int
	// refusals counts the requests and refusals of this gateway.
	refusals refusalCounts
	// answered holds the parts that this gateway has seen answered, justAnswered those of
	// the last seconds.
	answered, justAnswered recentParts
	// together holds the requests under which upstreams ended last, ends the upstreams.
	together recentEnds
	ends     knownEnds
}

// thresholds are numbers of crashes.
type thresholds struct{ blame, certain, answeredMargin uint16 }

// New returns an empty log.
func New(options Options) *Log {
	return &Log{
		log: sharedlog.New(sharedlog.Options[suspicion]{
			Clock: options.Clock, Lifetime: lifetime, MaxEntries: maxEntries, Promote: true,
			Preserve: func(s suspicion) bool { return s.crashes >= certainAfter || s.endedMany() },
		}),
		clock: options.Clock, spread: options.Spread, tries: options.Tries,
		trials:     make(map[uint32]int),
		thresholds: thresholds{blameAfter, certainAfter, answeredMargin},
		answered:   recentParts{keep: recently}, justAnswered: recentParts{keep: justAnsweredTime},
	}
}

// mayTryEarly reports whether this gateway tries a part early in its quarantine.
func (l *Log) mayTryEarly(key uint32, s suspicion, age time.Duration) bool {
	if l.tries == nil || age < earlyTrialWait || s.tried >= maxEarlyTrials || !l.isCertain(key, s) {
		return false
	}
	l.mu.Lock()
	due := l.refusals.many(key, l.clock.Now()) && l.trials[key] == 0
	l.mu.Unlock()
	return due && l.tries(key)
}

// Lift clears a part.
func (l *Log) Lift(key uint32) { l.clear(key, false) }

// clear clears a part, because it was answered or for another reason.
func (l *Log) clear(key uint32, answered bool) {
	if known, _ := l.log.Lookup(key); known.crashes == 0 {
		return
	}
	l.log.Merge(func(yield func(uint32, suspicion) bool) { yield(key, suspicion{}) }, Local,
		func(known, _ suspicion) suspicion { return known.clear(answered) })
}

// isBlamed reports whether a part is under quarantine or was and is not cleared.
func (l *Log) isBlamed(key uint32, s suspicion) bool { return l.reaches(l.thresholds.blame, key, s) }

// isSuspected reports whether a request with a suspect must not be sent again.
func (l *Log) isSuspected(key uint32, s suspicion) bool {
	if s.crashes < blameAfter || l.isBlamed(key, s) {
		return s.crashes >= blameAfter
	}
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.justAnswered.has(key, now)
}

// isCertain reports whether a blamed suspect needs no further test.
func (l *Log) isCertain(key uint32, s suspicion) bool {
	return l.reaches(l.thresholds.certain, key, s) || (KindOf(key) == WholeRequest && s.endedMany())
}

// endedMany reports whether many upstreams ended, and not all of them together.
func (s suspicion) endedMany() bool {
	return s.crashes >= blameAfter && len(s.ended.keys()) >= certainUpstreams
}

// reaches reports whether a part has a number of crashes, or more than that if it
// was answered recently.
func (l *Log) reaches(crashes uint16, key uint32, s suspicion) bool {
	if s.crashes < crashes || s.crashes >= crashes+l.thresholds.answeredMargin {
		return s.crashes >= crashes
	}
	return !s.answered && !l.wasAnswered(key)
}

// wasAnswered reports whether this gateway has seen a part answered recently.
func (l *Log) wasAnswered(key uint32) bool {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answered.has(key, now)
}

// quarantine returns how long a suspect is under quarantine at this gateway.
func (l *Log) quarantine(key uint32, s suspicion) time.Duration {
	quarantine := minQuarantine
	if KindOf(key) == WholeRequest {
		quarantine = minRequestQuarantine
	}
	for range int(s.crashes) - int(l.thresholds.certain) {
		if quarantine *= 2; quarantine >= maxQuarantine {
			quarantine = maxQuarantine
			break
		}
	}
	return l.lengthen(quarantine)
}

// lengthen applies the spread of this gateway.
func (l *Log) lengthen(d time.Duration) time.Duration { return d + time.Duration(l.spread*float64(d)) }

// restrictedFor returns for how long not just any request with a blamed part is tried.
func (l *Log) restrictedFor(key uint32, s suspicion) time.Duration {
	if l.isCertain(key, s) {
		return l.quarantine(key, s)
	}
	return l.lengthen(maxTestWait)
}

// Admit reports like Blamed whether a request with the given suspects is to be refused,
// and counts it: what many requests are refused because of is tried early. It is to be
// called right before Begin.
func (l *Log) Admit(keys []uint32) (key uint32, blamed bool) {
	key, blamed = l.Blamed(keys)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusals.count(key, l.clock.Now())
	return key, blamed
}

// Blamed reports whether a request with the given suspects would be refused, and
// because of which of them.
func (l *Log) Blamed(keys []uint32) (key uint32, blamed bool) {
	for _, candidate := range keys {
		known, age, _ := l.log.LookupAge(candidate)
		if l.isBlamed(candidate, known) && !l.tests(known, age, candidate, keys) {
			return candidate, true
		}
	}
	return 0, false
}

// Ends returns the last known ends that a suspect is blamed for, as in Finding.End.
func (l *Log) Ends(key uint32) []uint32 {
	known, _ := l.log.Lookup(key)
	return known.ended.keys()
}

// Provisional reports whether answers to requests that were sent before a part was
// blamed may still clear it.
func (l *Log) Provisional(key uint32) bool {
	_, age, known := l.log.LookupAge(key)
	return known && age < provisionalTime
}

// tests reports whether a request with the given parts is let through because it tells
// whether the blamed part key crashes engines.
func (l *Log) tests(known suspicion, age time.Duration, key uint32, keys []uint32) bool {
	// It lacks a blamed part that was in all crashed requests with key.
	for _, other := range known.with.keys() {
		if s, _ := l.log.Lookup(other); l.isBlamed(other, s) && !slices.Contains(keys, other) {
			return true
		}
	}
	certain, wait := l.isCertain(key, known), l.restrictedFor(key, known)
	if l.mayTryEarly(key, known, age) {
		return true
	}
	if certain && (age <= wait || l.trying(key)) {
		return false
	}
	// It holds no other part that may have crashed engines in requests with key.
	if !slices.ContainsFunc(keys, func(other uint32) bool {
		s, _ := l.log.Lookup(other)
		return other != key && s.crashes > 0 && !known.with.has(other)
	}) {
		return true
	}
	// No such request came for long.
	if certain {
		wait *= 2
	}
	return age > wait && !l.trying(key)
}

// trying reports whether a request tries a part after its quarantine.
func (l *Log) trying(key uint32) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.trials[key] > 0
}

// Merge records what other gateways know.
func (l *Log) Merge(suspicions []comfreyworks.CrashSuspicion, from Origin) {
	l.learnEnds(suspicions)
	l.log.Merge(func(yield func(uint32, suspicion) bool) {
		for _, s := range suspicions {
			if !yield(s.Part, newSuspicion(s)) {
				return
			}
		}
	}, from, suspicion.join)
	for _, s := range suspicions {
		l.tellAnswered(s.Part)
	}
}

// tellAnswered lets other gateways know that this one has seen a suspected part answered:
// they may have started since.
func (l *Log) tellAnswered(key uint32) {
	if known, _ := l.log.Lookup(key); known.crashes == 0 || known.answered || !l.wasAnswered(key) {
		return
	}
	l.log.Merge(func(yield func(uint32, suspicion) bool) { yield(key, suspicion{}) }, Local,
		func(known, _ suspicion) suspicion {
			known.answered = known.answered || known.crashes > 0
			return known
		})
}

// learnEnds records the ends that other gateways have seen.
func (l *Log) learnEnds(suspicions []comfreyworks.CrashSuspicion) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range suspicions {
		for _, ended := range s.Ended[:min(len(s.Ended), comfreyworks.MaxCrashSuspicionEnded)] {
			l.ends.learn(incarnation(ended), now)
		}
	}
}

// After returns what was recorded after a version of the log, and the current
// version. With origin Local it leaves out remote entries.
func (l *Log) After(version uint64, from Origin) (suspicions []comfreyworks.CrashSuspicion, current uint64) {
	current = l.log.After(version, from, func(key uint32, s suspicion) {
		suspicions = append(suspicions, comfreyworks.CrashSuspicion{
			Part: key, Cleared: s.cleared, Crashes: s.crashes, With: s.with.keys(), Ended: s.ended.keys(), Answered: s.answered, Tried: s.tried,
		})
	})
	return suspicions, current
}
