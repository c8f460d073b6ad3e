package usage

import (
	"math/rand/v2"
	"time"
)

const (
	// A less urgent request leaves urgentShare of the allotment to more urgent ones, in
	// proportion to their part of the demand, unless it is served less than minServed
	// times as often as they are: no kind of request may be starved.
	urgentShare = 0.75
	minServed   = 0.35
	// minRetryAfter is the age of reports: before that nothing new is known.
	// retryAfterSpread is the part of a time that differs between callers.
	minRetryAfter    = 100 * time.Millisecond
	retryAfterSpread = 0.05
)

// state is what a decision is based on.
type state struct {
	now, coverage, pending float64
	// used is what was admitted within the last window, with what others may have taken
	// without a report so far.
	used float64
	// windowed means that the window is known, so that it is the limit; limit is then what
	// it allows. Otherwise the bucket is the limit.
	windowed bool
	limit    float64
	// remaining is what is left, and gain what is added to it per second.
	remaining, gain float64
	// free means that so much is left that gateways need not share it.
	free bool
	// share is the part of the demand that arrives at this gateway.
	share float64
}

func (l *Limiter) state(a *account, now float64) state {
	s := state{now: now, coverage: l.coverage(now)}
	s.pending = l.pending(a, now)
	a.refill(now, s.coverage, s.pending)
	s.used = a.window.sum(now) + s.pending
	own := a.demand.rate(now)
	s.share = 1.0
	if total := own + l.othersDemand(a, now); total > 0 {
		s.share = own / total
	}
	s.share = min(max(s.share, minShareOfEqual/float64(l.gateways)), 1)
	if s.coverage >= 1 && now >= l.options.Window.Seconds() && l.applyWindow(a, &s) {
		return s
	}
	s.remaining, s.gain, s.limit = a.level-s.pending, a.rate, a.allowed+debtSlackShare*l.options.Slack
	s.free = s.coverage >= 1 && s.remaining >= freeShare*a.burst
	return s
}

// applyWindow makes the window the limit: the counts of all gateways are known, and this
// process has run for at least as long. Overage and slack are then needed only for what
// others have not reported yet, which counts pendingFactor times because rates may rise.
//
// Processes that start know nothing of the window and admit at the rate. If all are
// killed, what was admitted before and what they admit then must be within the bound
// together: no part of the window may exceed the rate by more than that leaves. Where that
// is less than the burst, the bucket admits more, and applyWindow returns false.
func (l *Limiter) applyWindow(a *account, s *state) bool {
	limit := windowLimitShare * (a.allowed*(1+l.options.Overage) + l.options.Slack)
	beyondRate := limit - a.rate*l.options.Window.Seconds()
	if beyondRate < a.burst {
		return false
	}
	s.windowed, s.limit = true, limit
	s.remaining = beyondRate - a.window.excess(s.now, a.rate) - pendingFactor*s.pending
	s.gain = max(a.window.leaving(s.now), a.rate)
	s.free = s.remaining >= freeWindowShare*beyondRate
	// Without the counts of all, the bucket applies. What the window has allowed is not to
	// be made up for then.
	a.level = max(a.level, s.pending)
	return true
}

// decide admits or refuses a request and counts it.
func (l *Limiter) decide(a *account, now, amount float64, priority int) Decision {
	a.demand.add(now, amount)
	a.classes[priority].asked.add(now, amount)
	s := l.state(a, now)
	a.allot(&s)
	decision := Decision{TooLarge: amount > a.allowed}
	// What a window allows and the slack for single requests bound a request that is much
	// larger than the burst. Without the slack, small limits would never admit one.
	if !decision.TooLarge && s.used+amount <= s.limit {
		decision.Admitted = l.fits(a, &s, amount, priority)
	}
	if decision.Admitted {
		a.take(now, amount)
		a.allotment -= amount
		a.near.taken += int64(amount)
		a.classes[priority].served.add(now, amount)
	} else {
		a.near.refused += int64(amount)
		decision.RetryAfter = a.retryAfter(&s, amount, priority)
	}
	l.touch(a, true)
	decision.Usage = Usage{Level: s.remaining, Window: s.used, Share: s.share * s.coverage}
	return decision
}

// fits reports whether what remains admits a request. It may be larger than what
// remains of the bucket, whatever its size: the next ones wait until that is made up for.
// Otherwise large requests would never be admitted while small ones use up what there is.
func (l *Limiter) fits(a *account, s *state, amount float64, priority int) bool {
	switch {
	case s.free:
		return true
	case s.remaining > 0:
		return a.allotment > a.heldForUrgent(s, priority) && (!s.windowed || amount <= s.remaining)
	case !s.windowed && s.coverage >= 1 && s.used+amount <= debtWindowShare*a.allowed:
		return s.remaining > -debtSlackShare*l.options.Slack
	default:
		return false
	}
}

// allot adds what this gateway's share of the limit has gained to its allotment.
func (a *account) allot(s *state) {
	elapsed := max(s.now-a.allottedAt, 0)
	a.allottedAt = s.now
	remaining := max(s.remaining, 0)
	most := s.share * s.coverage * remaining
	if s.free {
		a.allotment = most
		return
	}
	if s.coverage < 1 {
		// What remains may be unknown to be spent by those that are not heard of.
		remaining = 0
	}
	gained := s.share * s.coverage * (s.gain + remaining/levelTime.Seconds()) * elapsed
	a.allotment = min(a.allotment+gained, most)
}

// heldForUrgent returns the part of the allotment that a request leaves to more urgent
// ones.
func (a *account) heldForUrgent(s *state, priority int) float64 {
	var urgent, urgentServed float64
	for i := range priority {
		urgent += a.classes[i].asked.rate(s.now)
		urgentServed += a.classes[i].served.rate(s.now)
	}
	asked, served := a.classes[priority].asked.rate(s.now), a.classes[priority].served.rate(s.now)
	if urgent == 0 || served*urgent < minServed*urgentServed*asked {
		return 0
	}
	return urgentShare * urgent / (urgent + asked) * s.share * s.coverage * max(s.remaining, 0)
}

// retryAfter returns when a refused request will probably be admitted: after what is
// owed was made up for and after the requests that were refused before it, but before
// less urgent ones.
func (a *account) retryAfter(s *state, amount float64, priority int) time.Duration {
	rate := s.share * s.coverage * s.gain
	at := max(s.now+max(-s.remaining/(s.gain*s.coverage), 0), a.classes[priority].promised)
	horizon := s.now + a.allowed/a.rate
	at = min(at+amount/rate, horizon)
	for i := priority; i < len(a.classes); i++ {
		a.classes[i].promised = max(a.classes[i].promised, at)
	}
	after := time.Duration((at - s.now) * float64(time.Second))
	return max(time.Duration(float64(after)*(1+retryAfterSpread*(rand.Float64()-1))), minRetryAfter)
}
