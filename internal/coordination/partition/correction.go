package partition

import "math"

const (
	// preferenceStep is how much more a missed stream of a kind counts for each step of
	// priority that the kind is more urgent than the other one.
	preferenceStep = 1.5
	// maxPreferenceSteps limits the preference, so that the less urgent kind is not starved.
	maxPreferenceSteps = 2
	// correctionGain is the part of the difference between the miss rates by which the share
	// changes in one update. What a change brings is known after about two seconds.
	correctionGain = 0.06
	// correctionLeak is the part of the correction that is lost in an update. Gateways that
	// started at different times, or missed reports, thus agree after some 20 s.
	correctionLeak = 0.01
	// littleMissed is the miss rate of both kinds below which the correction is undone by
	// relaxStep in an update.
	littleMissed = 0.03
	relaxStep    = 0.05
)

// correction corrects the share for long prompts by what is measured. The need is estimated
// from assumed speeds and caches, and a smaller group of engines has less cached. The
// correction shifts the share until both kinds miss their times equally often, with a
// preference for the more urgent one.
type correction struct{ offset float64 }

// preference returns how much a missed stream of each kind counts.
func (l *Load) preference() [NumKinds]float64 {
	steps := l.Demand[Long].Priority - l.Demand[Other].Priority
	weights := [NumKinds]float64{1, 1}
	preferred := Other
	if steps < 0 {
		preferred = Long
	}
	weights[preferred] = math.Pow(preferenceStep, min(math.Abs(steps), maxPreferenceSteps))
	return weights
}

// update changes the correction of a share that is estimated from need. The corrected share
// stays between lowest and 1-lowest.
func (c *correction) update(load *Load, estimated, lowest float64) {
	long, other := missedShare(load.LongMissed, load.LongStreams), missedShare(load.Missed, load.Streams)
	if long < littleMissed && other < littleMissed {
		c.offset -= relaxStep * c.offset
	} else {
		weights := load.preference()
		c.offset += correctionGain*(weights[Long]*long-weights[Other]*other) - correctionLeak*c.offset
	}
	c.offset = min(max(c.offset, lowest-estimated), 1-lowest-estimated)
}
