package partition

import "time"

const (
	// beginMissed is the share of streams that miss a declared time from which the kinds
	// are separated, endMissed the share below which the streams of a pool are in time.
	beginMissed = 0.08
	endMissed   = 0.02
	// minJudged is the number of judged streams below which their share says little.
	minJudged = 12
	// endPrefill is the share of the capacity that long prompts may need for the
	// separation to end. With more, streams that shared all engines with them would miss
	// their times again.
	endPrefill = 0.25
	// calmTime is how long both must hold. It exceeds the usual period of demand waves.
	calmTime = 12 * time.Second
	// borneMargin is the factor by which the load may exceed the highest one that the pool has
	// borne without separation for the separation to end, whatever is missed: caches that
	// the separation has emptied fill again only without it. fallenMargin is how far below
	// the highest load since the beginning it must be as well.
	borneMargin  = 1.1
	fallenMargin = 0.9
	// borneTime is how long that must hold. It covers the age of reports.
	borneTime = 2 * time.Second
	// refillTime is how long the separation then does not begin again at such a load: caches
	// need some seconds to fill.
	refillTime = 6 * time.Second
	// borneHalfLife is the half-life of the highest load that the pool has borne. What it
	// bears depends on sessions and caches, which change within minutes.
	borneHalfLife = 2 * time.Minute
)

// pressure decides whether the kinds are separated, with hysteresis. Loads are the need of
// both kinds relative to the capacity.
type pressure struct {
	active bool
	// calmSince and borneSince are the times since which the separation is not needed,
	// because little is missed or because the pool has borne the load before; zero while
	// that is not so.
	calmSince, borneSince time.Time
	// borne is the highest load that the pool has borne without separation, as of updatedAt,
	// and highest the highest load since the separation began.
	borne, highest float64
	updatedAt      time.Time
	// refillUntil is the end of refillTime.
	refillUntil time.Time
	// missing means that streams of any kind miss their times.
	missing bool
}

// missedShare returns the share of judged streams that missed a time, or zero if too few
// were judged.
func missedShare(missed, streams float64) float64 {
	if streams < minJudged {
		return 0
	}
	return missed / streams
}

// update decides anew. The capacity is in engines of the usual speed; overlap is that of the
// separation at present.
func (p *pressure) update(now time.Time, load *Load, capacity, overlap float64) {
	missed := missedShare(load.Missed, load.Streams)
	either := max(missed, missedShare(load.LongMissed, load.LongStreams))
	switch {
	case either >= beginMissed:
		p.missing = true
	case either < endMissed:
		p.missing = false
	}
	relative := 0.0
	if capacity > 0 {
		relative = (load.Demand[Long].EngineTime + load.Demand[Other].EngineTime) / capacity
	}
	p.updateBorne(now, relative, overlap == 1 && !p.missing && load.Streams >= minJudged)
	long := load.Demand[Long].EngineTime
	switch {
	case !p.active && now.Before(p.refillUntil) && relative <= borneMargin*p.borne:
	case !p.active && missed >= beginMissed && long > 0:
		p.active, p.highest = true, relative
		p.calmSince, p.borneSince = time.Time{}, time.Time{}
	case p.active:
		p.highest = max(p.highest, relative)
		calm := holds(&p.calmSince, now, missed <= endMissed && long <= endPrefill*capacity)
		borne := holds(&p.borneSince, now, relative <= min(borneMargin*p.borne, fallenMargin*p.highest))
		p.active = calm < calmTime && borne < borneTime
		if borne >= borneTime {
			p.refillUntil = now.Add(refillTime)
		}
	}
}

// updateBorne records a load that the pool bears without separation.
func (p *pressure) updateBorne(now time.Time, relative float64, isBorne bool) {
	if !p.updatedAt.IsZero() {
		p.borne -= p.borne * min(float64(now.Sub(p.updatedAt))/float64(borneHalfLife)/2, 1)
	}
	p.updatedAt = now
	if isBorne {
		p.borne = max(p.borne, relative)
	}
}

// holds returns how long a condition has held, given when it began to hold.
func holds(since *time.Time, now time.Time, condition bool) time.Duration {
	switch {
	case !condition:
		*since = time.Time{}
	case since.IsZero():
		*since = now
	default:
		return now.Sub(*since)
	}
	return 0
}
