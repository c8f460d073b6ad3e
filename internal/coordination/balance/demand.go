package balance

import (
	"math"
	"time"

	"comfreyworks"
	"comfreyworks/internal/coordination/partition"
)

const (
	// demandHalfLife is the half-life of the measured demand. Bursts last some seconds,
	// and reports of peers are up to a second old.
	demandHalfLife = time.Second
	// stepTime is the assumed time in which an engine generates one token for each running
	// request.
	stepTime = 4 * time.Millisecond
	// defaultSlots is the assumed number of requests that an engine runs concurrently if
	// neither its slots nor its memory are declared.
	defaultSlots = 16
)

// measuredDemand is the demand that this gateway measured in a pool: exponentially
// decaying sums as of updatedAt. Engine times are in microseconds.
type measuredDemand struct {
	time, priority  [partition.NumKinds]float64
	streams, missed [partition.NumKinds]float64
	updatedAt       time.Time
}

// decay lets the sums decay up to now.
func (d *measuredDemand) decay(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(d.updatedAt)) / float64(demandHalfLife))
	for kind := range d.time {
		d.time[kind] *= factor
		d.priority[kind] *= factor
		d.streams[kind] *= factor
		d.missed[kind] *= factor
	}
	d.updatedAt = now
}

// rate returns the demand per second.
func (d *measuredDemand) rate(pool comfreyworks.Pool) comfreyworks.PoolDemand {
	perSecond := math.Ln2 / demandHalfLife.Seconds()
	return comfreyworks.PoolDemand{
		Pool:     pool,
		LongTime: int(perSecond * d.time[partition.Long]), LongPriority: int(perSecond * d.priority[partition.Long]),
		OtherTime: int(perSecond * d.time[partition.Other]), OtherPriority: int(perSecond * d.priority[partition.Other]),
		Streams: int(1000 * d.streams[partition.Other]), Missed: int(1000 * d.missed[partition.Other]),
		LongStreams: int(1000 * d.streams[partition.Long]), LongMissed: int(1000 * d.missed[partition.Long]),
	}
}

// demandReport holds the demands that one peer reported. They count until the given time.
type demandReport struct {
	demands []comfreyworks.PoolDemand
	until   time.Time
}

// demands holds the demand for the engines of each pool as measured by this gateway and
// by its peers. It is not synchronized.
type demands struct {
	measured map[comfreyworks.Pool]*measuredDemand
	reports  map[comfreyworks.InstanceID]demandReport
}

func newDemands() demands {
	return demands{
		measured: make(map[comfreyworks.Pool]*measuredDemand),
		reports:  make(map[comfreyworks.InstanceID]demandReport),
	}
}

// of returns the demand that this gateway measured in a pool, up to now.
func (d *demands) of(pool comfreyworks.Pool, now time.Time) *measuredDemand {
	measured, ok := d.measured[pool]
	if !ok {
		measured = &measuredDemand{updatedAt: now}
		d.measured[pool] = measured
	}
	measured.decay(now)
	return measured
}

// sum returns the sums of the demand of this gateway and of the reports for which counts
// returns true, by pool.
func (d *demands) sum(now time.Time, counts func(peer comfreyworks.InstanceID) bool) map[comfreyworks.Pool]comfreyworks.PoolDemand {
	sums := make(map[comfreyworks.Pool]comfreyworks.PoolDemand)
	add := func(demand comfreyworks.PoolDemand) {
		sum := sums[demand.Pool]
		sum.Pool = demand.Pool
		sum.Add(&demand)
		sums[demand.Pool] = sum
	}
	for pool, measured := range d.measured {
		measured.decay(now)
		if rate := measured.rate(pool); rate != (comfreyworks.PoolDemand{Pool: pool}) {
			add(rate)
		}
	}
	for peer, report := range d.reports {
		switch {
		case !now.Before(report.until):
			delete(d.reports, peer)
		case counts(peer):
			for _, demand := range report.demands {
				add(demand)
			}
		}
	}
	return sums
}

// SetPeerDemands sets the demands that a peer reports, of itself or of several gateways.
// They count until the given time. Counts that make no sense are corrected in place.
func (b *Balancer) SetPeerDemands(peer comfreyworks.InstanceID, reported []comfreyworks.PoolDemand, until time.Time) {
	for i := range reported {
		reported[i].Limit()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.demands.reports[peer] = demandReport{demands: reported, until: until}
}

// LocalDemands returns the demand that this gateway measured in each pool.
func (b *Balancer) LocalDemands() []comfreyworks.PoolDemand { return b.SumDemands(nil) }

// SumDemands returns the sum of the demands of this gateway and those that the given peers
// reported.
func (b *Balancer) SumDemands(peers map[comfreyworks.InstanceID]bool) []comfreyworks.PoolDemand {
	return b.listDemands(func(peer comfreyworks.InstanceID) bool { return peers[peer] })
}

// AllDemandsExcept returns the sum of the demands of this gateway and all that peers
// reported, without the report of one peer.
func (b *Balancer) AllDemandsExcept(except comfreyworks.InstanceID) []comfreyworks.PoolDemand {
	return b.listDemands(func(peer comfreyworks.InstanceID) bool { return peer != except })
}

func (b *Balancer) listDemands(counts func(peer comfreyworks.InstanceID) bool) []comfreyworks.PoolDemand {
	now := b.options.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []comfreyworks.PoolDemand
	for _, demand := range b.demands.sum(now, counts) {
		list = append(list, demand)
	}
	return list
}
