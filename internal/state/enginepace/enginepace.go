// Package enginepace estimates how fast engines are from the answers that gateways
// relay, without asking the engines.
//
// The decode speed is measured by the time between the events of running streams, the
// prefill speed by the time from sending a long prompt to its first event. Both are
// relative to the median of the engine's pool, so that neither the length of an event
// nor what delays all engines alike matters. The lasting speed is what most
// measurements of some seconds show, and gateways exchange it. The transient speed is
// what the last few events of this gateway show; a report of it would arrive when the
// slowdown is over.
//
// An engine counts with its measured speed only if that differs from the pool's median
// by MinDifference. Otherwise the speed is exactly 1.
//
// # Usage
//
//	log := enginepace.New(enginepace.Options{Clock: clock, Logger: logger, Meter: m})
//	log.ObserveDecode(&engine, events, elapsed, false)
//	log.ObservePrefill(&engine, tokens, elapsed)
//	pace := log.Pace(&engine)
//	wait := time.Duration(float64(wait) / pace.Prefill)
//	report := log.Local()
//	log.SetReport(peer, report, until)
package enginepace

import (
	"encoding/binary"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/state/meter"
)

const (
	// MinDifference is the relative difference to the median from which an engine
	// counts with its measured speed. Below it a wrong choice costs less than a
	// session that leaves its cache.
	MinDifference = 0.2
	// MinSpeed and MaxSpeed limit the speed that an engine counts with. A false figure
	// can thus attract no more than twice an equal share of the requests.
	MinSpeed = 0.25
	MaxSpeed = 2.0
	// confirmTime is how long an engine must differ before it counts with its speed, and
	// keepDifference the difference from which it goes on to do so. An engine that is
	// more loaded than others for a second looks slow, and each change moves sessions.
	// Where more than unequalShare of the engines differ, that is less likely than a
	// true difference, and unequalConfirmTime suffices.
	confirmTime        = 2 * time.Second
	unequalConfirmTime = 500 * time.Millisecond
	unequalShare       = 0.2
	keepDifference     = 0.12
	// Unit is the unit of the logarithms in reports. One step is a speed 2.5 % higher.
	Unit = 0.025
	// minWeight is the number of decode measurements, from all gateways, from which
	// the lasting speed is used.
	minWeight = 8
	// minLocalSlots is the number of decode measurements from which those of this
	// gateway are compared with the median.
	minLocalSlots = 4
	// minMeasured is the number of engines of a pool from which there is a median.
	minMeasured = 3
	// decodeWeightForPrefill is how many measurements of the prefill speed the decode
	// speed counts for, and maxPrefillWeight how many at most are counted. Engines that
	// generate slowly usually read slowly as well, and how many tokens of a prompt are
	// cached is a guess that is wrong for one engine in the same way for long: with
	// equal weights the error was 21 % in the queue model, with these 6 %.
	decodeWeightForPrefill = 96
	maxPrefillWeight       = 32
	// tableInterval is the maximum age of the speeds of all engines.
	tableInterval = 200 * time.Millisecond
	// unusedExpiry is how long an engine without measurements is kept.
	unusedExpiry = 30 * time.Second
)

// Pace is how fast an engine is, relative to the median of its pool: 2 means twice as
// fast.
type Pace struct{ Prefill, Decode float64 }

// usual is the pace of an engine that does not differ from the others.
var usual = Pace{Prefill: 1, Decode: 1}

// Options configures a Log. Logger and Meter may be nil.
type Options struct {
	Clock  comfreyworks.Clock
	Logger *zap.Logger
	Meter  *meter.Meter
}

// Log holds the measurements of one gateway and the reports of others. It is safe for
// concurrent use.
type Log struct {
	options Options

	mu      sync.Mutex
	engines map[uint32]*engine
	reports map[comfreyworks.InstanceID]report
	// combined holds the speeds of all engines that anyone has measured, as of
	// combinedAt. differing holds those that differ from the median, differsSince the
	// times since when those that differ or may do so soon have differed.
	combined     map[uint32]speed
	differing    map[uint32]Pace
	differsSince map[uint32]time.Time
	combinedAt   time.Time
}

// engine holds the measurements of one incarnation of an engine.
type engine struct {
	id        comfreyworks.InstanceID
	pool      comfreyworks.Pool
	decode    slots
	prefill   samples
	transient transient
	gaps      gaps
	seenAt    time.Time
}

// New returns a log without measurements.
func New(options Options) *Log {
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	if options.Meter == nil {
		options.Meter = meter.New()
	}
	return &Log{
		options: options, engines: make(map[uint32]*engine), reports: make(map[comfreyworks.InstanceID]report),
	}
}

// key returns the hash of an engine's incarnation. A restarted engine may run on other
// hardware.
func key(u *comfreyworks.Upstream) uint32 {
	var started [8]byte
	if !u.Started.IsZero() {
		binary.LittleEndian.PutUint64(started[:], uint64(u.Started.UnixNano()))
	}
	hash := xxhash.New()
	_, _ = hash.WriteString(string(u.ID))
	_, _ = hash.Write(started[:])
	return uint32(hash.Sum64())
}

// engine returns the measurements of an engine. The mutex must be held.
func (l *Log) engine(u *comfreyworks.Upstream, now time.Time) *engine {
	k := key(u)
	e, ok := l.engines[k]
	if !ok {
		e = &engine{id: u.ID, pool: u.Pool}
		l.engines[k] = e
	}
	e.seenAt = now
	return e
}

// ObserveDecode records that an engine has sent a number of events of a stream in the
// given time. disturbed means that it is known to read prompts meanwhile, which delays
// events at any speed.
func (l *Log) ObserveDecode(u *comfreyworks.Upstream, events int, elapsed time.Duration, disturbed bool) {
	if events <= 0 || elapsed <= 0 {
		return
	}
	x := math.Log(float64(elapsed) / float64(events))
	now := l.options.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.engine(u, now)
	if lasting, ok := e.decode.value(now); ok && !disturbed {
		e.transient.add(x-lasting, now)
	}
	e.decode.add(x, now)
}

// ObservePrefill records that an engine has read a number of uncached prompt tokens,
// including those of other prompts ahead of it, in the given time. Fewer than
// MinPrefillTokens are ignored.
func (l *Log) ObservePrefill(u *comfreyworks.Upstream, tokens int, elapsed time.Duration) {
	if tokens < MinPrefillTokens || elapsed <= 0 {
		return
	}
	now := l.options.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.engine(u, now).prefill.add(math.Log(float64(elapsed)/float64(tokens)), now)
}

// Pace returns the current speed of an engine.
func (l *Log) Pace(u *comfreyworks.Upstream) Pace {
	now := l.options.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	if len(l.differing) == 0 {
		return usual
	}
	k := key(u)
	pace, ok := l.differing[k]
	if !ok {
		pace = usual
	}
	if e := l.engines[k]; e != nil {
		slowdown := e.transient.slowdown(now)
		pace.Prefill, pace.Decode = max(pace.Prefill/slowdown, MinSpeed), max(pace.Decode/slowdown, MinSpeed)
	}
	return pace
}

// Lasting returns the lasting speed of an engine.
func (l *Log) Lasting(u *comfreyworks.Upstream) Pace {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(l.options.Clock.Now())
	if pace, ok := l.differing[key(u)]; ok {
		return pace
	}
	return usual
}

// Differs reports whether any engine differs from its pool's median.
func (l *Log) Differs() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(l.options.Clock.Now())
	return len(l.differing) > 0
}

// speed holds the logarithms of the lasting speeds of an engine and the numbers of
// measurements that they rest on.
type speed struct {
	decode, prefill             float64
	decodeWeight, prefillWeight float64
}

// add adds measurements of others to the weighted mean.
func (s *speed) add(other speed) {
	s.decode, s.decodeWeight = weightedMean(s.decode, s.decodeWeight, other.decode, other.decodeWeight)
	s.prefill, s.prefillWeight = weightedMean(s.prefill, s.prefillWeight, other.prefill, other.prefillWeight)
}

func weightedMean(a, weightA, b, weightB float64) (mean, weight float64) {
	if weight = weightA + weightB; weight == 0 {
		return 0, 0
	}
	return (a*weightA + b*weightB) / weight, weight
}

// pace returns the speeds to use, and whether they differ from the median by minimum.
func (s *speed) pace(minimum float64) (Pace, bool) {
	if s.decodeWeight < minWeight {
		return usual, false
	}
	prefill, _ := weightedMean(s.decode, decodeWeightForPrefill, s.prefill, min(s.prefillWeight, maxPrefillWeight))
	pace := Pace{Prefill: bounded(prefill, minimum), Decode: bounded(s.decode, minimum)}
	return pace, pace != usual
}

// bounded returns the speed for a logarithm: 1 for a difference below minimum.
func bounded(logarithm, minimum float64) float64 {
	if math.Abs(logarithm) < math.Log1p(minimum) {
		return 1
	}
	return min(max(math.Exp(logarithm), MinSpeed), MaxSpeed)
}

// refresh computes the speeds of all engines anew if they are older than
// tableInterval. The mutex must be held.
func (l *Log) refresh(now time.Time) {
	if !l.combinedAt.IsZero() && now.Sub(l.combinedAt) < tableInterval {
		return
	}
	l.combinedAt = now
	l.combined = l.measured(now)
	for peer, r := range l.reports {
		if now.After(r.until) {
			delete(l.reports, peer)
			continue
		}
		addReport(l.combined, r.paces)
	}
	former := l.differing
	l.updateDiffering(now)
	l.options.Meter.SetGauge("comfrey_engines_of_other_speed", float64(len(l.differing)))
	l.logChanges(former)
}

// updateDiffering sets the engines that differ from the median, and since when.
func (l *Log) updateDiffering(now time.Time) {
	former, since := l.differing, l.differsSince
	l.differing, l.differsSince = make(map[uint32]Pace), make(map[uint32]time.Time)
	confirm := confirmTime
	if float64(len(former)) > unequalShare*float64(len(l.combined)) {
		confirm = unequalConfirmTime
	}
	for k, s := range l.combined {
		minimum := MinDifference
		if _, differed := former[k]; differed {
			minimum = keepDifference
		}
		pace, differs := s.pace(minimum)
		if !differs {
			continue
		}
		l.differsSince[k] = now
		if at, ok := since[k]; ok {
			l.differsSince[k] = at
		}
		if now.Sub(l.differsSince[k]) >= confirm {
			l.differing[k] = pace
		}
	}
}

// logChanges writes one line for each engine that this gateway has measured and that
// has begun or ceased to count with its measured speed.
func (l *Log) logChanges(former map[uint32]Pace) {
	for k, e := range l.engines {
		_, differed := former[k]
		pace, differs := l.differing[k]
		if differs == differed {
			continue
		}
		if !differs {
			pace = usual
		}
		l.options.Logger.Info("engine speed", zap.String("upstream", string(e.id)),
			zap.Float64("decode", pace.Decode), zap.Float64("prefill", pace.Prefill))
	}
}

// measured returns the speeds that this gateway has measured, and removes engines that
// are no longer measured.
func (l *Log) measured(now time.Time) map[uint32]speed {
	decode := make(map[comfreyworks.Pool][]float64)
	prefill := make(map[comfreyworks.Pool][]float64)
	for k, e := range l.engines {
		if now.Sub(e.seenAt) > unusedExpiry {
			delete(l.engines, k)
			continue
		}
		if x, ok := e.decode.value(now); ok {
			decode[e.pool] = append(decode[e.pool], x)
		}
		if x, n := e.prefill.value(now); n > 0 {
			prefill[e.pool] = append(prefill[e.pool], x)
		}
	}
	speeds := make(map[uint32]speed, len(l.engines))
	for k, e := range l.engines {
		var s speed
		if x, ok := e.decode.value(now); ok && len(decode[e.pool]) >= minMeasured {
			s.decode, s.decodeWeight = median(decode[e.pool])-x, float64(e.decode.count(now))
		}
		if x, n := e.prefill.value(now); n > 0 && len(prefill[e.pool]) >= minMeasured {
			s.prefill, s.prefillWeight = median(prefill[e.pool])-x, float64(n)
		}
		if s != (speed{}) {
			speeds[k] = s
		}
	}
	return speeds
}

// median returns the median and sorts the values.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}
