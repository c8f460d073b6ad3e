package comfreyworks

// PoolDemand is the demand for the engines of a pool that one or more gateways measured
// over the last second or so.
type PoolDemand struct {
	Pool Pool
	// LongTime and OtherTime are the engine time, in microseconds of an engine of the
	// usual speed, that the requests of one second take: those with long prompts and all
	// others.
	LongTime, OtherTime int
	// LongPriority and OtherPriority are the sums of engine time, in the same unit, times
	// the priority of its requests.
	LongPriority, OtherPriority int
	// Streams counts, in thousandths, the streams without long prompts that were judged,
	// and Missed those of them that missed a time that their route declares.
	Streams, Missed int
	// LongStreams and LongMissed are the same for streams with long prompts.
	LongStreams, LongMissed int
}

// Add adds the counts of other.
func (d *PoolDemand) Add(other *PoolDemand) {
	d.LongTime += other.LongTime
	d.OtherTime += other.OtherTime
	d.LongPriority += other.LongPriority
	d.OtherPriority += other.OtherPriority
	d.Streams += other.Streams
	d.Missed += other.Missed
	d.LongStreams += other.LongStreams
	d.LongMissed += other.LongMissed
}

// maxDemandCount bounds each count of a PoolDemand that is believed: about a thousand
// engines, or a million streams.
const maxDemandCount = 1 << 30

// Limit replaces counts that make no sense by the nearest ones that do.
func (d *PoolDemand) Limit() {
	for _, time := range []*int{&d.LongTime, &d.OtherTime, &d.Streams, &d.LongStreams} {
		*time = min(max(*time, 0), maxDemandCount)
	}
	d.LongPriority = min(max(d.LongPriority, 0), d.LongTime*(NumPriorities-1))
	d.OtherPriority = min(max(d.OtherPriority, 0), d.OtherTime*(NumPriorities-1))
	d.Missed = min(max(d.Missed, 0), d.Streams)
	d.LongMissed = min(max(d.LongMissed, 0), d.LongStreams)
}
