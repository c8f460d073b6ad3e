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
	// level is what remains, less what others may have taken without a report so far.
	level float64
	// share is the part of the demand that arrives at this gateway.
	share float64
}

func (l *Limiter) state(a *account, now float64) state {
	s := state{now: now, coverage: l.coverage(now)}
	s.pending = l.pending(a, now)
	a.refill(now, s.coverage, s.pending)
	s.level = a.level - s.pending
	own := a.demand.rate(now)
	s.share = 1.0
	if total := own + l.othersDemand(a, now); total > 0 {
		s.share = own / total
	}
	s.share = min(max(s.share, minShareOfEqual/float64(l.gateways)), 1)
	return s
}

// decide admits or refuses a request and counts it.
func (l *Limiter) decide(a *account, now, amount float64, priority int) Decision {
	a.demand.add(now, amount)
	a.classes[priority].asked.add(now, amount)
	s := l.state(a, now)
	a.allot(&s)
	used := a.window.sum(now) + s.pending
	decision := Decision{TooLarge: amount > a.allowed}
	if !decision.TooLarge && used+amount <= a.allowed {
		decision.Admitted = l.fits(a, &s, used, amount, priority)
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
	decision.Usage = Usage{Level: s.level, Window: used, Share: s.share * s.coverage}
	return decision
}

// fits reports whether what remains admits a request. It may be larger than what
// remains, whatever its size: the next ones wait until that is made up for. Otherwise
// large requests would never be admitted while small ones use up what there is.
func (l *Limiter) fits(a *account, s *state, used, amount float64, priority int) bool {
	switch {
	case s.coverage >= 1 && s.level >= freeShare*a.burst:
		return true
	case s.level > 0:
		return a.allotment > a.heldForUrgent(s, priority)
	case s.coverage >= 1 && used+amount <= debtWindowShare*a.allowed:
		return s.level > -debtSlackShare*l.options.Slack
	default:
		return false
	}
}

// allot adds what this gateway's share of the limit has gained to its allotment.
func (a *account) allot(s *state) {
	elapsed := max(s.now-a.allottedAt, 0)
	a.allottedAt = s.now
	remaining := max(s.level, 0)
	most := s.share * s.coverage * remaining
	if s.coverage >= 1 && s.level >= freeShare*a.burst {
		a.allotment = most
		return
	}
	if s.coverage < 1 {
		// What remains may be unknown to be spent by those that are not heard of.
		remaining = 0
	}
	gained := s.share * s.coverage * (a.rate + remaining/levelTime.Seconds()) * elapsed
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
	return urgentShare * urgent / (urgent + asked) * s.share * s.coverage * max(s.level, 0)
}

// retryAfter returns when a refused request will probably be admitted: after what is
// owed was made up for and after the requests that were refused before it, but before
// less urgent ones.
func (a *account) retryAfter(s *state, amount float64, priority int) time.Duration {
	rate := s.share * s.coverage * a.rate
	at := max(s.now+max(-s.level/(a.rate*s.coverage), 0), a.classes[priority].promised)
	horizon := s.now + a.allowed/a.rate
	at = min(at+amount/rate, horizon)
	for i := priority; i < len(a.classes); i++ {
		a.classes[i].promised = max(a.classes[i].promised, at)
	}
	after := time.Duration((at - s.now) * float64(time.Second))
	return max(time.Duration(float64(after)*(1+retryAfterSpread*(rand.Float64()-1))), minRetryAfter)
}
