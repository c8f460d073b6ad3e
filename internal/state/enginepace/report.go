package enginepace

import (
	"cmp"
	"math"
	"slices"
	"time"

	"comfreyworks"
)

const (
	// maxReported limits the engines in one report, which takes 8 bytes for each.
	maxReported = 64
	// minReported is the difference from which an engine is reported. It is below
	// MinDifference, so that measurements near the threshold are not left out of the
	// mean.
	minReported = MinDifference / 2
	// maxReportedWeight is the highest number of measurements that is believed of a
	// report.
	maxReportedWeight = math.MaxUint8
)

// report holds the speeds that a peer reported. They count until the given time.
type report struct {
	paces comfreyworks.EnginePaces
	until time.Time
}

// SetReport replaces the report of a peer, of itself or of several gateways. An empty
// one leaves the last one in place: peers report seldom.
func (l *Log) SetReport(peer comfreyworks.InstanceID, paces comfreyworks.EnginePaces, until time.Time) {
	if len(paces) == 0 {
		return
	}
	paces = paces[:min(len(paces), maxReported)]
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports[peer] = report{paces: paces, until: until}
}

// RemovePeer removes the report of a peer.
func (l *Log) RemovePeer(peer comfreyworks.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.reports, peer)
}

// Sum returns what this gateway and the given peers have measured.
func (l *Log) Sum(peers map[comfreyworks.InstanceID]bool) comfreyworks.EnginePaces {
	return l.sum(func(peer comfreyworks.InstanceID) bool { return peers[peer] })
}

// Local returns what this gateway has measured.
func (l *Log) Local() comfreyworks.EnginePaces { return l.Sum(nil) }

// AllExcept returns what this gateway and all peers but one have measured.
func (l *Log) AllExcept(except comfreyworks.InstanceID) comfreyworks.EnginePaces {
	return l.sum(func(peer comfreyworks.InstanceID) bool { return peer != except })
}

// sum adds up the measurements of this gateway and of the peers that included accepts.
// It returns those of the engines that differ from the median according to them or to
// all that is known, the most different first.
func (l *Log) sum(included func(comfreyworks.InstanceID) bool) comfreyworks.EnginePaces {
	now := l.options.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	sum := l.measured(now)
	for peer, r := range l.reports {
		if included(peer) && !now.After(r.until) {
			addReport(sum, r.paces)
		}
	}
	var paces comfreyworks.EnginePaces
	for k, s := range sum {
		if s.differs() || l.differsCombined(k) {
			paces = append(paces, encode(k, &s))
		}
	}
	slices.SortFunc(paces, func(a, b comfreyworks.EnginePace) int {
		return cmp.Or(cmp.Compare(difference(b), difference(a)), cmp.Compare(a.Engine, b.Engine))
	})
	return paces[:min(len(paces), maxReported)]
}

// differs reports whether the speed is worth a report.
func (s *speed) differs() bool {
	return max(math.Abs(s.decode), math.Abs(s.prefill)) >= math.Log1p(minReported)
}

func (l *Log) differsCombined(k uint32) bool {
	s := l.combined[k]
	return s.differs()
}

func difference(p comfreyworks.EnginePace) int {
	return max(int(p.Decode), -int(p.Decode), int(p.Prefill), -int(p.Prefill))
}

// addReport adds the speeds in a report to a sum.
func addReport(sum map[uint32]speed, paces comfreyworks.EnginePaces) {
	for _, p := range paces {
		s := sum[p.Engine]
		s.add(speed{
			decode: float64(p.Decode) * Unit, decodeWeight: float64(p.DecodeWeight),
			prefill: float64(p.Prefill) * Unit, prefillWeight: float64(p.PrefillWeight),
		})
		sum[p.Engine] = s
	}
}

func encode(k uint32, s *speed) comfreyworks.EnginePace {
	return comfreyworks.EnginePace{
		Engine: k,
		Decode: logarithmUnits(s.decode), DecodeWeight: uint8(min(s.decodeWeight, maxReportedWeight)),
		Prefill: logarithmUnits(s.prefill), PrefillWeight: uint8(min(s.prefillWeight, maxReportedWeight)),
	}
}

func logarithmUnits(x float64) int8 {
	return int8(math.Round(min(max(x/Unit, math.MinInt8), math.MaxInt8)))
}
