package partition

const (
	// maxUtilization is the part of its capacity up to which a kind can use its engines
	// without queues that grow: requests do not arrive evenly.
	maxUtilization = 0.7
	// minShare is the part of the capacity that each kind keeps whatever the other one
	// needs, so that none is starved.
	minShare = 0.1
	// samePriority is the difference between the mean priorities of two kinds up to which
	// they count as equally urgent.
	samePriority = 0.25
)

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

// targetShare returns the part of the capacity that long prompts need. While there is
// enough for all, shares are proportional to need. Otherwise the more urgent kind gets
// what it needs first. Each kind keeps at least one engine, of which the fastest has the
// given speed.
func targetShare(load *Load, capacity, fastest float64) float64 {
	long, other := load.Demand[Long], load.Demand[Other]
	total := long.EngineTime + other.EngineTime
	if total <= 0 {
		return 0.5
	}
	share := long.EngineTime / total
	if usable := maxUtilization * capacity; usable > 0 && total > usable {
		switch difference := long.Priority - other.Priority; {
		case difference < -samePriority:
			share = long.EngineTime / usable
		case difference > samePriority:
			share = 1 - other.EngineTime/usable
		}
	}
	lowest := minShare
	if capacity > 0 {
		lowest = min(max(minShare, fastest/capacity), 0.5)
	}
	return min(max(share, lowest), 1-lowest)
}
