package partition

// minShare is the part of the capacity that each kind keeps whatever the other one needs, so
// that none is starved.
const minShare = 0.1

// Demand is the demand of one kind of requests.
type Demand struct {
	// EngineTime is the engine time that the requests of one second take, in seconds of
	// an engine of the usual speed.
	EngineTime float64
	// Priority is the mean priority, weighted by engine time; 0 is the most urgent.
	Priority float64
}

// Load is what all gateways measured in a pool over the last seconds.
type Load struct {
	Demand [NumKinds]Demand
	// Streams is the number of streams of the kind Other that were judged, Missed the
	// number of those that missed, or cannot meet any more, a time that their route
	// declares.
	Streams, Missed float64
	// LongStreams and LongMissed are the same for the kind Long. They do not begin a
	// separation.
	LongStreams, LongMissed float64
}

// estimatedShare returns the part of the capacity that long prompts need, in proportion to
// the need of both kinds. It is at least lowest and at most 1-lowest.
func (l *Load) estimatedShare(lowest float64) float64 {
	long, other := l.Demand[Long].EngineTime, l.Demand[Other].EngineTime
	share := 0.5
	if total := long + other; total > 0 {
		share = long / total
	}
	return min(max(share, lowest), 1-lowest)
}

// lowestShare returns the least part of the capacity that each kind keeps: the minimum, or
// one engine. fastest is the speed of the fastest engine.
func lowestShare(capacity, fastest float64) float64 {
	if capacity <= 0 {
		return minShare
	}
	return min(max(minShare, fastest/capacity), 0.5)
}
