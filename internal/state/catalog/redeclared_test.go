package catalog

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// declaredAt applies a read of a routing.
func (f fixture) declaredAt(d comfreyworks.Declaration, version uint64) {
	if version > 0 {
		d.Routing = &comfreyworks.Routing{Version: comfreyworks.ConfigRevision(version)}
	}
	f.ApplyDeclaration(d, f.clock.Now())
}

// TestKeysAfterRestore guards against keys that count as confirmed by a read after the source
// was restored from a copy: one of them may have been revoked after the copy was made.
func TestKeysAfterRestore(t *testing.T) {
	// restoredFixture has confirmed version 7 at a time and then read an earlier one from
	// the restored source.
	restoredFixture := func() (f fixture, confirmedAt time.Time) {
		f = newFixture()
		f.declaredAt(comfreyworks.Declaration{Next: 100}, 7)
		confirmedAt = f.clock.Now()
		f.clock.Advance(time.Second)
		f.declaredAt(comfreyworks.Declaration{Restored: restored, Next: restored + 90}, 6)
		return f, confirmedAt
	}
	assertConfirmed := func(t *testing.T, f fixture, want time.Time) {
		t.Helper()
		table, confirmedAt := f.Routing()
		assert.Assert(t, table != nil)
		assert.Equal(t, confirmedAt, want)
	}
	t.Run("reads of what the copy contains confirm nothing", func(t *testing.T) {
		f, confirmedAt := restoredFixture()
		assertConfirmed(t, f, confirmedAt)
		f.clock.Advance(time.Second)
		f.declaredAt(comfreyworks.Declaration{Next: restored + 90}, 0)
		assertConfirmed(t, f, confirmedAt)
	})
	t.Run("an earlier version that is declared again does not either", func(t *testing.T) {
		f, confirmedAt := restoredFixture()
		f.declaredAt(comfreyworks.Declaration{Next: restored + 91}, 6)
		assertConfirmed(t, f, confirmedAt)
	})
	for name, version := range map[string]uint64{"the version that was in force is declared again": 7, "a later one is declared": 9} {
		t.Run(name, func(t *testing.T) {
			f, _ := restoredFixture()
			f.declaredAt(comfreyworks.Declaration{Next: restored + 91}, version)
			assertConfirmed(t, f, f.clock.Now())
		})
	}
	t.Run("nothing is declared for a time: nothing was lost", func(t *testing.T) {
		f, _ := restoredFixture()
		f.clock.Advance(redeclareTime)
		f.declaredAt(comfreyworks.Declaration{Next: restored + 90}, 0)
		assertConfirmed(t, f, f.clock.Now())
	})
	t.Run("a peer that learns of the restore from this gateway awaits it too", func(t *testing.T) {
		f, _ := restoredFixture()
		peer := fixture{clock: f.clock, Catalog: New(f.clock)}
		peer.declaredAt(comfreyworks.Declaration{Next: 99}, 7)
		confirmedAt := f.clock.Now()
		f.clock.Advance(time.Second)
		d := comfreyworks.Declaration{Next: restored + 90}
		d.Restored, d.Redeclared = f.Redeclared()
		peer.declaredAt(d, 0)
		assertConfirmed(t, peer, confirmedAt)
		t.Run("until one says that it has come", func(t *testing.T) {
			f.declaredAt(comfreyworks.Declaration{Next: restored + 91}, 7)
			d.Restored, d.Redeclared = f.Redeclared()
			peer.declaredAt(d, 0)
			assertConfirmed(t, peer, f.clock.Now())
		})
	})
	t.Run("a gateway that starts then has no confirmed keys", func(t *testing.T) {
		f := newFixture()
		f.declaredAt(comfreyworks.Declaration{Restored: restored, Next: restored + 90}, 6)
		assertConfirmed(t, f, time.Time{})
	})
	t.Run("weights that are declared again may have been declared before the restore", func(t *testing.T) {
		f := newFixture()
		weights := func(d comfreyworks.Declaration, revision comfreyworks.WeightsRevision) {
			d.Weights = map[comfreyworks.Model]comfreyworks.WeightsRevision{"oak": revision}
			f.ApplyDeclaration(d, f.clock.Now())
		}
		weights(comfreyworks.Declaration{Next: 100}, 1)
		confirmedAt := f.clock.Now()
		f.clock.Advance(time.Second)
		weights(comfreyworks.Declaration{Restored: restored, Next: restored + 90}, 1)
		f.clock.Advance(time.Second)
		weights(comfreyworks.Declaration{Next: restored + 91}, 2)
		successor, superseded := f.Weights("oak").Superseded(1)
		assert.Assert(t, superseded)
		assert.Equal(t, successor.NotBefore, confirmedAt)
	})
}
