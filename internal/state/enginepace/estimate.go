package enginepace

import (
	"math"
	"slices"
	"time"
)

const (
	// MinPrefillTokens is the number of tokens from which the time to the first event
	// tells how fast an engine reads. Below it, generating the event and the network
	// take most of that time.
	MinPrefillTokens = 2048
	// numSamples is the number of measurements of an engine that are kept, sampleExpiry
	// how long each of them counts.
	numSamples   = 32
	sampleExpiry = 20 * time.Second
	// slotDuration is the time in which only the fastest measurement of the decode
	// speed counts. The others are delayed by prompts that the engine reads.
	slotDuration = 250 * time.Millisecond
	// decodeQuantile is the quantile of these measurements that is the lasting speed.
	// An engine may read prompts for most of the time; the very fastest measurement may
	// be events that a busy gateway received together. In the queue model the error
	// was 17 % at the quartile.
	decodeQuantile = 0.1
	// prefillQuantile is the same for the time to the first event: prompts with more
	// cached tokens and less ahead of them than assumed tell more.
	prefillQuantile = 0.25
	// A transient slowdown is one that minSlowEvents measurements in a row show, each
	// within transientExpiry of the one before: slower by minSlowdown than the lasting
	// speed. It counts as at most maxSlowdown.
	transientExpiry = 400 * time.Millisecond
	minSlowEvents   = 2
	minSlowdown     = 1.6
	maxSlowdown     = 3.0
	// gapHalfLife is the half-life of the counts of gaps. A caller notices gaps of the
	// last few events.
	gapHalfLife = 2 * time.Second
)

// samples holds the latest measurements, as logarithms.
type samples struct {
	values [numSamples]float64
	at     [numSamples]time.Time
	next   int
}

func (s *samples) add(x float64, now time.Time) {
	s.values[s.next], s.at[s.next] = x, now
	s.next = (s.next + 1) % numSamples
}

// recent returns the measurements that have not expired, sorted.
func (s *samples) recent(now time.Time) []float64 {
	recent := make([]float64, 0, numSamples)
	for i, at := range s.at {
		if !at.IsZero() && now.Sub(at) <= sampleExpiry {
			recent = append(recent, s.values[i])
		}
	}
	slices.Sort(recent)
	return recent
}

// value returns the lasting measurement of the prefill speed and the number of
// measurements.
func (s *samples) value(now time.Time) (x float64, n int) {
	recent := s.recent(now)
	if len(recent) == 0 {
		return 0, 0
	}
	return recent[int(prefillQuantile*float64(len(recent)))], len(recent)
}

// slots holds the fastest measurement of each slotDuration, as a logarithm of a time.
type slots struct {
	samples
	fastest   float64
	startedAt time.Time
}

func (s *slots) add(x float64, now time.Time) {
	switch {
	case s.startedAt.IsZero():
		s.fastest, s.startedAt = x, now
	case now.Sub(s.startedAt) < slotDuration:
		s.fastest = min(s.fastest, x)
	default:
		s.samples.add(s.fastest, s.startedAt)
		s.fastest, s.startedAt = x, now
	}
}

// value returns the lasting measurement, or false if there are too few.
func (s *slots) value(now time.Time) (float64, bool) {
	recent := s.recent(now)
	if len(recent) < minLocalSlots {
		return 0, false
	}
	return recent[int(decodeQuantile*float64(len(recent)))], true
}

func (s *slots) count(now time.Time) int { return len(s.recent(now)) }

// transient detects a slowdown that has just begun.
type transient struct {
	// slow is the number of slow measurements in a row, least the smallest of them
	// relative to the lasting speed, as a logarithm.
	slow  int
	least float64
	at    time.Time
}

// add adds a measurement relative to the lasting speed.
func (t *transient) add(x float64, now time.Time) {
	if x < math.Log(minSlowdown) {
		*t = transient{}
		return
	}
	if t.slow == 0 || now.Sub(t.at) > transientExpiry {
		*t = transient{least: x}
	}
	t.slow, t.least, t.at = t.slow+1, min(t.least, x), now
}

// slowdown returns how many times slower the engine is now; 1 means not slower.
func (t *transient) slowdown(now time.Time) float64 {
	if t.slow < minSlowEvents || now.Sub(t.at) > transientExpiry {
		return 1
	}
	return min(math.Exp(t.least), maxSlowdown)
}

// gaps compares the time between events with what routes permit, in decaying sums.
type gaps struct {
	count, missed, used float64
	at                  time.Time
}

func (g *gaps) add(share float64, now time.Time) {
	g.decay(now)
	g.count++
	g.used += share
	if share > 1 {
		g.missed++
	}
}

func (g *gaps) decay(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(g.at)) / float64(gapHalfLife))
	g.count, g.missed, g.used, g.at = g.count*factor, g.missed*factor, g.used*factor, now
}
