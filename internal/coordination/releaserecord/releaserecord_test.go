package releaserecord

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"comfreyworks"
	"comfreyworks/internal/standin/releasestore"
	"comfreyworks/internal/state/catalog"
	"comfreyworks/internal/state/faults"
	"comfreyworks/internal/state/meter"
)

const (
	pool = comfreyworks.Pool("lm")
	// step is the time between two steps of a fleet, readSteps the steps between two reads
	// of the list of upstreams by one gateway, exchangeSteps those between two exchanges.
	step          = checkInterval
	readSteps     = 8
	exchangeSteps = 4
	// streamLifetime is how long streams can be taken up.
	streamLifetime = 30 * time.Second
)

// TestMain fixes the seed of the property unless another one is given.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// gateway is the part of a gateway that knows releases.
type gateway struct {
	catalog  *catalog.Catalog
	recorder *Recorder
	// frozen, or cut off from the store, until the given step.
	frozen, cutOff int
}

// fleet is a fleet of gateways without a network in front of a pool.
type fleet struct {
	clock    *clockwork.FakeClock
	store    *releasestore.Store
	gateways []*gateway
	// listed holds the releases in service, listedAt since when.
	listed   []string
	listedAt map[string]time.Time
	// toggledAt is when toggle last changed a release.
	toggledAt map[string]time.Time
	position  comfreyworks.Position
	restored  comfreyworks.Position
	n         int
	// apart means that gateways do not exchange what they know.
	apart bool
	// faultUntil is the step at which a fault of the store ends.
	faultUntil int
}

func newFleet(gateways int, releases ...string) *fleet {
	f := &fleet{clock: clockwork.NewFakeClock(), store: releasestore.New(), gateways: make([]*gateway, gateways), listed: releases, listedAt: make(map[string]time.Time), toggledAt: make(map[string]time.Time)}
	for i := range f.gateways {
		f.start(i)
	}
	return f
}

// start starts a gateway, in place of the one before, which ends.
func (f *fleet) start(i int) {
	g := &gateway{catalog: catalog.New(f.clock)}
	g.catalog.RecordReleases()
	g.recorder = New(Options{
		Store: f.store, Catalog: g.catalog, IsWriter: func(n int) bool { return slices.Index(f.running(), g) < n },
		Clock: f.clock, Logger: zap.NewNop(), Meter: meter.New(), Faults: faults.New(faults.Options{Clock: f.clock, Logger: zap.NewNop(), Meter: meter.New()}),
	})
	f.gateways[i] = g
}

// startAll starts all gateways after all have ended.
func (f *fleet) startAll() {
	for i := range f.gateways {
		f.start(i)
	}
}

// running returns the gateways that are not frozen.
func (f *fleet) running() []*gateway {
	return slices.DeleteFunc(slices.Clone(f.gateways), func(g *gateway) bool { return g.frozen > f.n })
}

// change sets the releases in service.
func (f *fleet) change(releases ...string) { f.listed = releases }

// read lets a gateway read the list of upstreams.
func (f *fleet) read(g *gateway) {
	var present []comfreyworks.Upstream
	for _, release := range f.listed {
		present = append(present, comfreyworks.Upstream{
			ID: comfreyworks.InstanceID(release), Pool: pool, State: comfreyworks.InstanceLive, Release: release, Started: f.listedAt[release],
		})
	}
	f.position++
	changes := comfreyworks.UpstreamChanges{Whole: true, Present: present, Next: f.position, Restored: f.restored}
	g.catalog.ApplyUpstreams(changes, f.clock.Now())
	g.recorder.ListRead(true)
}

// step lets time pass: each gateway that can reads the list in turn, and checks the
// record.
func (f *fleet) step(t testing.TB) {
	for i, g := range f.gateways {
		if g.frozen > f.n {
			continue
		}
		if reached := g.cutOff <= f.n; reached && (f.n+i)%readSteps == 0 || reached && g.catalog.UpstreamsConfirmedAt().IsZero() {
			f.read(g)
		}
		if g.cutOff <= f.n {
			g.recorder.Check(t.Context())
		}
		if next := f.gateways[(i+1)%len(f.gateways)]; !f.apart && next.frozen <= f.n && (f.n+i)%exchangeSteps == 0 {
			f.exchange(g, next)
			f.exchange(next, g)
		}
	}
	f.clock.Advance(step)
	f.n++
	if f.n == f.faultUntil {
		f.store.SetFault(releasestore.None)
	}
}

func (f *fleet) run(t testing.TB, d time.Duration) {
	for range d / step {
		f.step(t)
	}
}

// exchange lets one gateway learn what another one knows.
func (f *fleet) exchange(from, to *gateway) {
	if known := from.catalog.KnownReleases(); known != nil && to.catalog.WantsReleases() {
		to.catalog.LearnReleases(known, from.catalog.UpstreamsConfirmedAt())
	}
}

func (f *fleet) assertOnly(t *testing.T, want string, wantOK bool) {
	t.Helper()
	for i, g := range f.gateways {
		release, ok := g.catalog.OnlyRelease(pool)
		assert.Equal(t, ok, wantOK, "gateway %d", i)
		if wantOK {
			assert.Equal(t, release, want, "gateway %d", i)
		}
	}
}

func (f *fleet) assertCalls(t *testing.T, reads, appends int) {
	t.Helper()
	gotReads, gotAppends := f.store.Calls()
	assert.Equal(t, gotReads, reads, "reads")
	assert.Equal(t, gotAppends, appends, "appends")
}

// newKnownFleet returns a fleet that knows all releases and has recorded them.
func newKnownFleet(t *testing.T, gateways int, releases ...string) *fleet {
	f := newFleet(gateways, releases...)
	f.run(t, streamLifetime+2*time.Second)
	return f
}

// TestRecord guards against streams that are refused or joined because of the record: a
// deployment of one release serves as soon as the record was read, with few calls, and
// after any other start nothing is taken for the only release that may not be.
func TestRecord(t *testing.T) {
	t.Run("one release costs one append in all and one read for each start", func(t *testing.T) {
		f := newFleet(1, "v1")
		f.run(t, time.Second)
		f.assertOnly(t, "", false)
		f.run(t, 2*streamLifetime)
		f.assertOnly(t, "v1", true)
		f.assertCalls(t, 1, 1)
		f.startAll()
		f.step(t)
		f.assertOnly(t, "v1", true)
		f.run(t, 2*streamLifetime)
		f.assertCalls(t, 2, 1)
	})
	t.Run("its upstreams restart", func(t *testing.T) {
		f := newKnownFleet(t, 2, "v1")
		f.change()
		f.run(t, 2*time.Second)
		f.change("v1")
		f.run(t, 2*time.Second)
		f.startAll()
		f.step(t)
		f.assertOnly(t, "v1", true)
		_, appends := f.store.Calls()
		assert.Equal(t, appends, 1)
	})
	t.Run("a release that has left is known after all gateways ended", func(t *testing.T) {
		f := newKnownFleet(t, 2, "v1", "v2")
		f.change("v2")
		f.run(t, 10*time.Second)
		f.startAll()
		f.run(t, streamLifetime-time.Second)
		f.assertOnly(t, "", false)
		f.run(t, 2*time.Second)
		f.assertOnly(t, "v2", true)
	})
	t.Run("a former release is removed from the record", func(t *testing.T) {
		f := newKnownFleet(t, 2, "v1", "v2")
		_, before := f.store.Calls()
		f.change("v2")
		f.run(t, streamLifetime+10*time.Second)
		_, after := f.store.Calls()
		assert.Equal(t, after, before+1)
		f.startAll()
		f.step(t)
		f.assertOnly(t, "v2", true)
	})
	t.Run("a new release that is listed when gateways start waits for the record", func(t *testing.T) {
		f := newKnownFleet(t, 1, "v1")
		f.change("v1", "v2")
		f.startAll()
		f.store.SetFault(releasestore.Delayed)
		f.run(t, 3*time.Second)
		view := f.gateways[0].catalog.Pool(pool)
		assert.Assert(t, view.Unrecorded["v2"])
		assert.Assert(t, !view.Unrecorded["v1"] && view.Settling["v1"].IsZero())
		f.store.SetFault(releasestore.None)
		f.run(t, 3*time.Second)
		view = f.gateways[0].catalog.Pool(pool)
		assert.Assert(t, !view.Unrecorded["v2"] && !view.Settling["v2"].After(f.clock.Now()))
	})
	t.Run("the writer ends between the change of the list and the append", func(t *testing.T) {
		f := newKnownFleet(t, 3, "v1")
		f.change("v1", "v2")
		f.read(f.gateways[0])
		f.gateways[0].frozen = f.n + 1000
		f.run(t, 2*time.Second)
		record, _, err := f.store.Releases(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, record.Pools[pool], []string{"v1", "v2"})
	})
	t.Run("the writer cannot reach the store", func(t *testing.T) {
		f := newKnownFleet(t, 3, "v1")
		f.change("v1", "v2")
		f.read(f.gateways[0])
		f.gateways[0].cutOff = f.n + 1000
		f.run(t, 3*time.Second)
		record, _, err := f.store.Releases(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, record.Pools[pool], []string{"v1", "v2"})
	})
	t.Run("a writer that was frozen does not replace a newer record", func(t *testing.T) {
		f := newKnownFleet(t, 2, "v1")
		f.change("v1", "v2")
		f.run(t, 2*time.Second)
		f.store.SetFault(releasestore.Delayed)
		f.change("v1")
		f.run(t, streamLifetime+6*time.Second)
		f.store.SetFault(releasestore.None)
		f.change("v1", "v2")
		f.run(t, 2*time.Second)
		f.store.Deliver()
		record, _, err := f.store.Releases(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, record.Pools[pool], []string{"v1", "v2"})
	})
	t.Run("a writer does not remove a release that it has not seen yet", func(t *testing.T) {
		f := newKnownFleet(t, 1, "v1")
		_, next, err := f.store.Releases(t.Context())
		assert.NilError(t, err)
		other := comfreyworks.ReleaseRecord{Pools: map[comfreyworks.Pool][]string{pool: {"v1", "v2"}}, New: map[comfreyworks.Pool][]string{pool: {"v2"}}}
		_, written, err := f.store.RecordReleases(t.Context(), other, next)
		assert.Assert(t, err == nil && written)
		f.change("v1", "v3")
		f.run(t, 3*time.Second)
		record, _, err := f.store.Releases(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, record.Pools[pool], []string{"v1", "v2", "v3"})
		f.run(t, streamLifetime+10*time.Second)
		record, _, err = f.store.Releases(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, record.Pools[pool], []string{"v1", "v3"})
	})
	t.Run("nothing is appended if the list of upstreams grows old during a read", func(t *testing.T) {
		f := newKnownFleet(t, 1, "v1", "v2")
		_, before := f.store.Calls()
		f.store.SlowReads(func() { f.clock.Advance(3 * time.Second) })
		f.change("v2")
		f.gateways[0].recorder.known = false
		f.run(t, streamLifetime+6*time.Second)
		_, after := f.store.Calls()
		assert.Equal(t, after, before)
		record, _, err := f.store.Releases(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, record.Pools[pool], []string{"v1", "v2"})
	})
	t.Run("the answer to an append is lost", func(t *testing.T) {
		f := newKnownFleet(t, 1, "v1")
		f.store.SetFault(releasestore.LostAnswers)
		f.change("v1", "v2")
		f.run(t, time.Second)
		f.store.SetFault(releasestore.None)
		f.run(t, 3*time.Second)
		view := f.gateways[0].catalog.Pool(pool)
		assert.Assert(t, !view.Unrecorded["v2"] && !view.Settling["v2"].After(f.clock.Now()))
	})
}

// TestRecordUnavailable guards against starts that trust a record which may not be the
// newest one, and against refusing longer than streams can be taken up.
func TestRecordUnavailable(t *testing.T) {
	for name, break_ := range map[string]func(*fleet){
		"the store fails":                 func(f *fleet) { f.store.SetFault(releasestore.Down) },
		"there is no record":              func(f *fleet) { f.store.Restore(releasestore.New().Copy()) },
		"restored from an earlier copy":   func(f *fleet) { f.store.Restore(f.store.Copy()) },
		"restored before the second kill": func(f *fleet) { f.store.Restore(f.store.Copy()); f.startAll(); f.restored = f.position + 1 },
	} {
		t.Run(name, func(t *testing.T) {
			f := newKnownFleet(t, 2, "v1")
			break_(f)
			f.startAll()
			f.run(t, streamLifetime-time.Second)
			f.assertOnly(t, "", false)
			f.run(t, 2*time.Second)
			f.assertOnly(t, "v1", true)
			f.store.SetFault(releasestore.None)
			f.run(t, 5*time.Second)
			f.startAll()
			f.step(t)
			f.assertOnly(t, "v1", true)
		})
	}
	t.Run("gateways that run record again what a restore lost", func(t *testing.T) {
		f := newKnownFleet(t, 2, "v1")
		f.store.Restore(f.store.Copy())
		f.restored = f.position + 1
		f.run(t, 3*time.Second)
		f.startAll()
		f.step(t)
		f.assertOnly(t, "v1", true)
	})
	t.Run("it answers later", func(t *testing.T) {
		f := newKnownFleet(t, 2, "v1")
		f.store.SetFault(releasestore.Down)
		f.startAll()
		f.run(t, 3*time.Second)
		f.assertOnly(t, "", false)
		f.store.SetFault(releasestore.None)
		f.run(t, 4*time.Second)
		f.assertOnly(t, "v1", true)
	})
}

// TestFirstStart guards against streams that are refused for 30 s after the first start of
// a deployment, and against one that is taken for the first although gateways ran before.
func TestFirstStart(t *testing.T) {
	for name, test := range map[string]struct {
		none   bool
		err    error
		before func(*fleet)
		want   bool
	}{
		"no gateway ran before":              {none: true, want: true},
		"one ran that kept no record":        {},
		"that is not known":                  {none: true, err: context.DeadlineExceeded},
		"the store was restored since":       {none: true, before: func(f *fleet) { f.store.Restore(f.store.Copy()) }},
		"there was a record that is no more": {none: true, before: func(f *fleet) { f.store.Drop() }},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1, "v1", "v2")
			f.change("v2")
			if test.before != nil {
				test.before(f)
			}
			f.gateways[0].recorder.options.NoneBefore = func(context.Context) (bool, error) { return test.none, test.err }
			f.step(t)
			f.assertOnly(t, "v2", test.want)
			f.run(t, time.Second)
			f.startAll()
			f.step(t)
			f.assertOnly(t, "v2", test.want)
		})
	}
}

// TestFewReads guards against a store that is read by every gateway of a large fleet that
// starts: those that read no list themselves learn from the others.
func TestFewReads(t *testing.T) {
	const gateways = 100
	f := newKnownFleet(t, 1, "v1")
	reads, appends := f.store.Calls()
	f.gateways = make([]*gateway, gateways)
	f.startAll()
	for i, g := range f.gateways[2:] {
		g.cutOff = f.n + 1000
		g.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Whole: true, Present: []comfreyworks.Upstream{{ID: "v1", Pool: pool, Release: "v1"}}, Next: f.position}, f.clock.Now())
		assert.Assert(t, g.catalog.WantsReleases(), "gateway %d", i)
	}
	f.step(t)
	for i := range f.gateways[2:] {
		f.exchange(f.gateways[i%2], f.gateways[2+i])
	}
	f.assertOnly(t, "v1", true)
	f.assertCalls(t, reads+2, appends)
}

// TestNothingIsJoined guards against any order of releases that come and go, gateways that
// end, freeze or are cut off, exchanges, and faults of the store after which a gateway
// takes a release for the only one although a stream began at another one.
func TestNothingIsJoined(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newKnownFleet(t, 3, "v1")
		begun := map[string]time.Time{"v1": f.clock.Now()}
		saved := f.store.Copy()
		draw := func(name string, n int) int { return rapid.IntRange(0, n-1).Draw(rt, name) }
		for range 200 {
			switch i := draw("gateway", 3); draw("event", 60) {
			case 0, 1:
				f.start(i)
			case 2, 3:
				f.startAll()
			case 4:
				f.gateways[i].frozen = f.n + draw("frozen", 120)
			case 5:
				f.gateways[i].cutOff = f.n + draw("cut-off", 120)
			case 6, 7, 8, 9:
				f.toggle(fmt.Sprint("v", 1+draw("release", 3)))
			case 10, 11:
				if f.n > f.faultUntil+int(maxFault/step) {
					f.faultUntil = f.n + 1 + draw("fault", int(maxFault/step))
					f.store.SetFault([]releasestore.Fault{releasestore.Down, releasestore.Delayed, releasestore.LostAnswers}[draw("kind", 3)])
				}
			case 12:
				f.store.Deliver()
			case 13:
				f.store.Restore(saved)
				f.restored = f.position + 1
			case 15:
				saved = f.store.Copy()
			case 14:
				f.apart = !f.apart
			}
			f.step(t)
			if draw("long", 40) == 0 {
				f.run(t, time.Second)
			}
			f.begin(begun)
			f.check(rt, begun)
		}
	})
}

// maxFault is how long the store fails at most. A release may come and go meanwhile.
const maxFault = 12 * time.Second

// toggle adds a release or removes it. No release comes and goes between two reads.
func (f *fleet) toggle(release string) {
	if f.clock.Since(f.toggledAt[release]) <= (readSteps+1)*step {
		return
	}
	f.toggledAt[release] = f.clock.Now()
	i := slices.Index(f.listed, release)
	if i < 0 {
		f.listed = append(slices.Clone(f.listed), release)
		f.listedAt[release] = f.clock.Now()
		return
	}
	f.listed = slices.Delete(slices.Clone(f.listed), i, i+1)
}

// begin begins streams at all releases in service at which a gateway lets them: also at one
// that is settling if there is no other.
func (f *fleet) begin(begun map[string]time.Time) {
	for _, g := range f.running() {
		view := g.catalog.Pool(pool)
		var settled, settling []string
		for _, upstream := range view.Upstreams {
			switch {
			case view.Unrecorded[upstream.Release], f.clock.Now().Before(view.Unsettled[upstream.Release]):
			case f.clock.Now().Before(view.Settling[upstream.Release]):
				settling = append(settling, upstream.Release)
			default:
				settled = append(settled, upstream.Release)
			}
		}
		if len(settled) == 0 {
			settled = settling
		}
		for _, release := range settled {
			if slices.Contains(f.listed, release) {
				begun[release] = f.clock.Now()
			}
		}
	}
}

// check fails if a gateway takes a release in service for the only one although a stream
// that began at another one can still be taken up.
func (f *fleet) check(t *rapid.T, begun map[string]time.Time) {
	for i, g := range f.gateways {
		only, ok := g.catalog.OnlyRelease(pool)
		for release, at := range begun {
			if ok && release != only && slices.Contains(f.listed, only) && f.clock.Since(at) < streamLifetime && g.frozen <= f.n {
				t.Fatalf("gateway %d takes %q for the only release, a stream began at %q %s ago", i, only, release, f.clock.Since(at))
			}
		}
	}
}
