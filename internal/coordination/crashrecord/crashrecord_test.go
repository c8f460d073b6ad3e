package crashrecord

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/state/crashes"
	"comfreyworks/internal/state/faults"
	"comfreyworks/internal/state/meter"
)

const (
	step = checkInterval
	// restart is how long after a crash its engine is back and the request comes again.
	restart = 5 * time.Second
)

var errDown = errors.New("down")

// store is a CrashStore in memory.
type store struct {
	clock          clockwork.Clock
	record         []comfreyworks.RecordedCrash
	writtenAt      time.Time
	end            comfreyworks.Offset
	down           bool
	reads, appends int
}

// Crashes implements comfreyworks.CrashStore.
func (s *store) Crashes(context.Context) ([]comfreyworks.RecordedCrash, comfreyworks.Offset, error) {
	if s.reads++; s.down {
		return nil, 0, errDown
	}
	record := slices.Clone(s.record)
	for i := range record {
		record[i].Age += s.clock.Since(s.writtenAt)
	}
	return record, s.end, nil
}

// RecordCrashes implements comfreyworks.CrashStore.
func (s *store) RecordCrashes(_ context.Context, record []comfreyworks.RecordedCrash, at comfreyworks.Offset) (comfreyworks.Offset, bool, error) {
	if s.appends++; s.down {
		return 0, false, errDown
	}
	if at != s.end {
		return 0, false, nil
	}
	s.record, s.writtenAt = slices.Clone(record), s.clock.Now()
	s.end++
	return s.end, true, nil
}

// gateway is the part of a gateway that knows of crashes.
type gateway struct {
	log      *crashes.Log
	recorder *Recorder
	cutOff   bool
	// passedOn is the version of the log up to which the next gateway knows it.
	passedOn uint64
}

// fleet is a fleet of gateways without a network.
type fleet struct {
	clock    *clockwork.FakeClock
	store    *store
	gateways []*gateway
	restored comfreyworks.Position
	engines  int64
}

func newFleet(gateways int) *fleet {
	clock := clockwork.NewFakeClock()
	f := &fleet{clock: clock, store: &store{clock: clock}, gateways: make([]*gateway, gateways)}
	f.startAll()
	return f
}

// startAll starts all gateways after all have ended.
func (f *fleet) startAll() {
	for i := range f.gateways {
		g := &gateway{log: crashes.New(crashes.Options{Clock: f.clock})}
		g.recorder = New(Options{
			Store: f.store, Log: g.log, IsWriter: func(n int) bool { return i < n },
			RestoredAt: func() comfreyworks.Position { return f.restored },
			Clock:      f.clock, Logger: zap.NewNop(), Meter: meter.New(), Faults: faults.New(faults.Options{Clock: f.clock, Logger: zap.NewNop(), Meter: meter.New()}),
		})
		g.recorder.ListRead()
		f.gateways[i] = g
	}
	f.run(step)
}

// run lets time pass in which gateways check the record and exchange what they know.
func (f *fleet) run(d time.Duration) {
	for range d / step {
		for i, g := range f.gateways {
			if !g.cutOff {
				g.recorder.Check(context.Background())
			}
			next := f.gateways[(i+1)%len(f.gateways)]
			var news []comfreyworks.CrashSuspicion
			news, g.passedOn = g.log.After(g.passedOn, crashes.Remote)
			next.log.Merge(news, crashes.Remote)
		}
		f.clock.Advance(step)
	}
}

// send sends a request through a gateway and returns whether it reached an engine, which then
// ended.
func (f *fleet) send(i int, keys ...uint32) bool {
	log := f.gateways[i].log
	if _, blamed := log.Blamed(keys); blamed {
		return false
	}
	f.engines++
	log.Begin(keys).On(comfreyworks.InstanceID(rune(f.engines)), time.UnixMilli(f.engines)).Broke(crashes.Evidence{Took: time.Second})
	return true
}

// arrivals sends a request every restart and returns how many of n reached engines. Before
// each one it calls before.
func (f *fleet) arrivals(n int, before func(i int), keys ...uint32) (arrived int) {
	for i := range n {
		before(i)
		if f.send(i%len(f.gateways), keys...) {
			arrived++
		}
		f.run(restart)
	}
	return arrived
}

var (
	request = crashes.RequestKey(nil, "crashes engines")
	part    = crashes.Key("shared", "crashes engines")
)

// TestCrashesAfterAllGatewaysEnded guards against requests and parts that crash engines again
// after all gateways ended, because nobody knew of the crashes before.
func TestCrashesAfterAllGatewaysEnded(t *testing.T) {
	const sends, allowed = 12, 3
	always := func(f *fleet, _ int) { f.startAll() }
	for name, test := range map[string]struct {
		keys   []uint32
		before func(f *fleet, i int)
		// allowed is how many requests may reach engines.
		allowed int
	}{
		"between any two of them":           {[]uint32{request}, always, allowed},
		"between any two with a part":       {[]uint32{part}, always, allowed},
		"once the third was sent":           {[]uint32{request}, func(f *fleet, i int) { f.startIf(i == 3 || i == 7) }, allowed},
		"while the writer is cut off":       {[]uint32{request}, func(f *fleet, i int) { f.gateways[0].cutOff = true; f.startIf(i > 0 && i%4 == 0) }, allowed},
		"the store is down from the second": {[]uint32{request}, func(f *fleet, i int) { f.store.down = i == 1 || i == 2; f.startIf(i > 3) }, allowed},
		"restored from an empty copy": {[]uint32{request}, func(f *fleet, i int) {
			if i == 4 {
				f.store.record, f.restored = nil, 7
				f.store.end += 1 << 20
				f.run(time.Second)
			}
			f.startIf(i > 4)
		}, allowed},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(3)
			arrived := f.arrivals(sends, func(i int) { test.before(f, i) }, test.keys...)
			assert.Assert(t, arrived <= test.allowed, "%d requests reached engines", arrived)
			assert.Assert(t, f.store.appends <= 8, "%d appends", f.store.appends)
		})
	}
	t.Run("the store is down at the start", func(t *testing.T) {
		f := newFleet(3)
		assert.Equal(t, f.arrivals(allowed, func(int) {}, request), allowed)
		f.store.down = true
		f.startAll()
		f.run(3 * time.Second)
		f.store.down = false
		f.run(maxRetryInterval + step)
		assert.Equal(t, f.arrivals(3, func(int) {}, request), 0)
	})
}

func (f *fleet) startIf(due bool) {
	if due {
		f.startAll()
	}
}

// TestRecordedSuspicionEnds guards against sound requests that a record keeps under
// quarantine for longer than the gateways that wrote it would have.
func TestRecordedSuspicionEnds(t *testing.T) {
	t.Run("restarts do not renew a quarantine", func(t *testing.T) {
		f := newFleet(2)
		f.arrivals(3, func(int) {}, request)
		for range 8 {
			f.run(20 * time.Second)
			f.startAll()
		}
		_, blamed := f.gateways[0].log.Blamed([]uint32{request})
		assert.Assert(t, !blamed, "a request is tried after its quarantine")
	})
	t.Run("an answer clears it for later starts too", func(t *testing.T) {
		f := newFleet(2)
		f.arrivals(3, func(int) {}, request)
		f.gateways[0].log.Lift(request)
		f.run(appendInterval + step)
		f.startAll()
		_, blamed := f.gateways[1].log.Blamed([]uint32{request})
		assert.Assert(t, !blamed)
	})
}

// TestCallsToStore guards against calls to the store without a crash, and against as many
// as there are crashes or gateways.
func TestCallsToStore(t *testing.T) {
	const gateways = 8
	f := newFleet(gateways)
	assert.Equal(t, f.store.reads, gateways, "each of these has read the list of upstreams itself")
	f.run(time.Minute)
	log := f.gateways[3].log
	log.Begin([]uint32{part}).Answered()
	f.run(time.Minute)
	assert.Equal(t, f.store.reads, gateways)
	assert.Equal(t, f.store.appends, 0)
	const sends = 10 * time.Second / step
	for range sends {
		f.send(3, crashes.RequestKey(nil, f.clock.Now().String()))
		f.run(step)
	}
	f.run(time.Minute)
	assert.Assert(t, f.store.appends <= 7, "%d appends in 10 s", f.store.appends)
	assert.Assert(t, f.store.reads <= gateways+12, "%d reads", f.store.reads)
	assert.Assert(t, len(f.store.record) == int(sends))
	t.Run("its size is limited", func(t *testing.T) {
		for range 20 {
			var keys []uint32
			for i := range comfreyworks.MaxRecordedCrashes / 10 {
				keys = append(keys, crashes.Key(f.clock.Now().String(), string(rune(i))))
			}
			f.send(3, keys...)
			f.run(time.Second)
		}
		f.arrivals(2, func(int) {}, request)
		assert.Equal(t, len(f.store.record), comfreyworks.MaxRecordedCrashes)
		assert.Equal(t, f.store.record[0].Part, request, "the one with the most crashes")
	})
}
