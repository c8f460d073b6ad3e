package partition

import "time"

const (
	// beginMissed is the share of streams that miss a declared time from which the kinds
	// are separated, endMissed the share below which that may end.
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
)

// pressure decides whether the kinds are separated, with hysteresis.
type pressure struct {
	active bool
	// calmSince is the time since which the separation is not needed; zero while it is.
	calmSince time.Time
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

// update decides anew. The capacity is in engines of the usual speed.
func (p *pressure) update(now time.Time, load *Load, capacity float64) {
	missed := missedShare(load.Missed, load.Streams)
	switch either := max(missed, missedShare(load.LongMissed, load.LongStreams)); {
	case either >= beginMissed:
		p.missing = true
	case either < endMissed:
		p.missing = false
	}
	long := load.Demand[Long].EngineTime
	if missed >= beginMissed && long > 0 {
		p.active, p.calmSince = true, time.Time{}
		return
	}
	if !p.active {
		return
	}
	switch {
	case missed > endMissed || long > endPrefill*capacity:
		p.calmSince = time.Time{}
	case p.calmSince.IsZero():
		p.calmSince = now
	case now.Sub(p.calmSince) >= calmTime:
		p.active, p.calmSince = false, time.Time{}
	}
}
