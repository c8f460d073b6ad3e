package usage

import (
	"math"
	"time"

	"comfreyworks"
)

const (
	// windowSlots is the number of parts in which the usage of a window is counted.
	windowSlots = 32
	// leavingSlots is the number of parts, one second of a window of 8 s, over which the
	// amount that leaves it is averaged.
	leavingSlots = 4
)

// totals are cumulative counts.
type totals struct{ taken, refused int64 }

// account is the state of one workspace. Times are in seconds since the start of the
// process, amounts in units of the limit.
type account struct {
	workspace comfreyworks.Workspace
	key       uint32
	// rate, burst and allowed are the limit; allowed is what it allows in a window. All
	// are zero if there is no limit.
	rate, burst, allowed float64
	// level is what remains according to all reports at the time levelAt.
	level, levelAt float64
	// allotment is what this gateway may still use of its share at the time allottedAt.
	allotment, allottedAt float64
	// reserved is what was set aside for gateways that were not heard of.
	reserved float64
	// informed means that the level was taken over from a gateway that knew it.
	informed bool
	// near counts what this gateway and its leaves have taken, far what all others have.
	near, far totals
	// reported is the near count that was reported last, confirmed the last one that a
	// relay has received.
	reported, confirmed int64
	// changed and nearChanged are the versions in which the counts and those in near
	// changed last.
	changed, nearChanged uint64
	// demand is what callers ask of this gateway, and classes the same by priority.
	demand  decaying
	classes [comfreyworks.NumPriorities]class
	window  slidingSum
}

// class is the demand of one priority at this gateway.
type class struct {
	asked, served decaying
	// promised is the latest time that was promised to a refused request.
	promised float64
}

func newAccount(workspace comfreyworks.Workspace, now float64) *account {
	return &account{workspace: workspace, key: Key(workspace), levelAt: now, allottedAt: now}
}

func (a *account) hasLimit() bool { return a.rate > 0 }

// setLimit changes the limit. What is left of the earlier limit remains.
func (a *account) setLimit(now float64, limit comfreyworks.UsageLimit, window time.Duration) {
	if !a.hasLimit() {
		a.levelAt, a.allottedAt, a.level = now, now, min(a.level, 0)
	}
	former := a.allowed
	a.rate = min(limit.Rate, maxUnits)
	a.burst = max(min(limit.Burst, maxUnits), a.rate*minBurstTime.Seconds())
	a.allowed = a.rate*window.Seconds() + min(limit.Burst, maxUnits)
	a.level = min(a.level, a.burst)
	a.window.slot = window.Seconds() / windowSlots
	if a.allowed < former {
		// What was admitted under the former limit is not to be made up for.
		a.window.scale(a.allowed / former)
	}
}

// refill adds what the bucket has gained. Coverage is the part of the limit that the
// gateways that are heard of may use; pending is what others may have taken without a
// report so far.
func (a *account) refill(now, coverage, pending float64) {
	gained := a.rate * max(now-a.levelAt, 0)
	a.levelAt = now
	a.level = min(a.level+gained*coverage, a.burst+pending)
	if coverage < 1 {
		a.reserved = min(a.reserved+gained*(1-coverage), a.allowed)
	} else {
		a.reserved = max(a.reserved-gained, 0)
	}
}

// take takes an amount from the bucket.
func (a *account) take(now, amount float64) {
	a.level -= amount
	a.window.add(now, amount)
}

// takeReported takes an amount that others have admitted. What was set aside for those
// that were not heard of has already been taken.
func (a *account) takeReported(now, amount float64, late bool) {
	a.window.add(now, amount)
	if late && amount > 0 {
		used := min(amount, a.reserved)
		a.reserved -= used
		amount -= used
	}
	a.level -= amount
}

// decaying estimates a rate from single amounts.
type decaying struct{ value, at float64 }

func (d *decaying) add(now, amount float64) {
	d.value, d.at = d.rate(now)+amount/rateTime.Seconds(), now
}

// rate returns the amount per second.
func (d *decaying) rate(now float64) float64 {
	return d.value * math.Exp(-max(now-d.at, 0)/rateTime.Seconds())
}

// slidingSum counts amounts in a sliding window.
type slidingSum struct {
	// slot is the length of one part of the window in seconds.
	slot  float64
	parts [windowSlots + 1]struct {
		index int64
		sum   float64
	}
}

func (s *slidingSum) add(now, amount float64) {
	index := int64(now / s.slot)
	part := &s.parts[index%int64(len(s.parts))]
	if part.index != index {
		part.index, part.sum = index, 0
	}
	part.sum += amount
}

// sum returns the sum of the window that ends now.
func (s *slidingSum) sum(now float64) float64 {
	index, sum := int64(now/s.slot), 0.0
	for i := range s.parts {
		if index-s.parts[i].index <= windowSlots {
			sum += s.parts[i].sum
		}
	}
	return sum
}

// excess returns by how much the sum of the last part of the window, of any length,
// exceeds what the rate allows in that time.
func (s *slidingSum) excess(now, rate float64) float64 {
	last, sum, most := int64(now/s.slot), 0.0, 0.0
	for age := range int64(windowSlots + 1) {
		index := max(last-age, 0)
		if part := &s.parts[index%int64(len(s.parts))]; part.index == last-age {
			sum += part.sum
		}
		most = max(most, sum-rate*s.slot*float64(age))
	}
	return most
}

// scale multiplies all amounts by a factor.
func (s *slidingSum) scale(factor float64) {
	for i := range s.parts {
		s.parts[i].sum *= factor
	}
}

// leaving returns the amount per second that leaves the window now, as the mean of its
// oldest leavingSlots parts.
func (s *slidingSum) leaving(now float64) float64 {
	index, sum := int64(now/s.slot), 0.0
	for i := range s.parts {
		if age := index - s.parts[i].index; age <= windowSlots && age > windowSlots-leavingSlots {
			sum += s.parts[i].sum
		}
	}
	return sum / (leavingSlots * s.slot)
}
