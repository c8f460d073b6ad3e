package catalog

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// restored is the first position after a restore.
const restored comfreyworks.Position = 1 << 40

func (f fixture) applyRestored(position comfreyworks.Position, present ...comfreyworks.Upstream) Change {
	return f.ApplyUpstreams(comfreyworks.UpstreamChanges{Whole: true, Restored: restored, Present: present, Next: position}, f.clock.Now())
}

func at(id comfreyworks.InstanceID, sequence uint64) comfreyworks.Upstream {
	u := upstream(id)
	u.Sequence = sequence
	return u
}

// TestRestoredList guards against dropping upstreams, or using removed ones, because
// the list of upstreams was restored from a copy some seconds old.
func TestRestoredList(t *testing.T) {
	t.Run("a missing upstream is kept for the grace period", func(t *testing.T) {
		f := newFixture()
		f.applyList(100, true, []comfreyworks.Upstream{at("a", 5), at("b", 5)})
		change := f.applyRestored(restored+50, at("a", 3))
		assert.DeepEqual(t, change.Lapsed, []comfreyworks.InstanceID{"b"})
		assert.Assert(t, change.Restored)
		f.assertLive(t, "a", "b")
		f.clock.Advance(lapsedGracePeriod)
		f.applyList(restored+51, false, nil)
		f.assertLive(t, "a")
	})
	t.Run("an upstream that renews its entry stays", func(t *testing.T) {
		f := newFixture()
		f.applyList(100, true, []comfreyworks.Upstream{at("a", 5)})
		f.applyRestored(restored + 50)
		f.applyList(restored+51, false, []comfreyworks.Upstream{at("a", 6)})
		f.clock.Advance(lapsedGracePeriod)
		f.applyList(restored+52, false, nil)
		f.assertLive(t, "a")
	})
	t.Run("an older entry does not make a leaving upstream live", func(t *testing.T) {
		f := newFixture()
		leaving := at("a", 5)
		leaving.State = comfreyworks.InstanceLeaving
		f.applyList(100, true, []comfreyworks.Upstream{leaving})
		f.applyRestored(restored+50, at("a", 3))
		f.assertLive(t)
	})
	t.Run("an upstream whose removal is known returns only with a newer entry", func(t *testing.T) {
		f := newFixture()
		f.applyList(100, true, []comfreyworks.Upstream{at("a", 5)})
		f.applyList(101, false, nil, "a")
		f.applyRestored(restored+50, at("a", 5))
		f.assertLive(t)
		f.applyList(restored+51, false, []comfreyworks.Upstream{at("a", 6)})
		f.assertLive(t, "a")
	})
	t.Run("the restore is reported once", func(t *testing.T) {
		f := newFixture()
		assert.Assert(t, !newFixture().applyRestored(restored).Restored, "before the first list")
		f.applyList(100, true, nil)
		first, again := f.applyRestored(restored+50), f.applyRestored(restored+60)
		assert.Assert(t, first.Restored)
		assert.Assert(t, !again.Restored)
	})
	t.Run("a late list from before the restore is ignored", func(t *testing.T) {
		f := newFixture()
		f.applyList(100, true, nil)
		f.applyRestored(restored+50, at("a", 5))
		f.applyList(200, false, nil, "a")
		f.assertLive(t, "a")
	})
}

// TestRestoredListOfPeer guards against a peer that missed the restore and keeps
// upstreams which the list no longer has, since no removal of them is known.
func TestRestoredListOfPeer(t *testing.T) {
	reader, follower := newFixture(), newFixture()
	follow := func() Change {
		_, known := follower.SourceStates()
		return follower.ApplyUpstreams(*reader.UpstreamsAfter(known.Position), follower.clock.Now())
	}
	reader.applyList(100, true, []comfreyworks.Upstream{at("a", 5), at("b", 5)})
	follow()
	follower.applyList(102, false, []comfreyworks.Upstream{at("unknown to the reader", 1)})
	reader.applyRestored(restored+50, at("a", 4))
	change := follow()
	assert.Assert(t, change.Restored)
	follower.assertLive(t, "a", "b", "unknown to the reader")
	assert.Assert(t, !reader.UpstreamsAfter(restored+50).Whole, "a peer that knows of the restore gets changes")
	follower.clock.Advance(lapsedGracePeriod)
	reader.applyList(restored+51, false, nil)
	follow()
	follower.assertLive(t, "a")
}

// TestRestoredDeclarations guards against going back to the routing or the weights
// of the copy until operators have declared the lost ones again.
func TestRestoredDeclarations(t *testing.T) {
	f := newFixture()
	declare := func(position comfreyworks.Position, revision uint64) {
		f.ApplyDeclaration(comfreyworks.Declaration{
			Routing: &comfreyworks.Routing{Version: comfreyworks.ConfigRevision(revision)},
			Weights: map[comfreyworks.Model]comfreyworks.WeightsRevision{"oak": comfreyworks.WeightsRevision(revision)}, Next: position,
		}, f.clock.Now())
	}
	assertDeclared := func(t *testing.T, position comfreyworks.Position, revision uint64) {
		t.Helper()
		declared, _ := f.SourceStates()
		assert.Equal(t, declared.Position, position)
		assert.Equal(t, f.version(), comfreyworks.ConfigRevision(revision))
		assert.Equal(t, f.Weights("oak").Revision, comfreyworks.WeightsRevision(revision))
	}
	declare(100, 7)
	f.clock.Advance(time.Second)
	declare(restored+90, 6)
	assertDeclared(t, restored+90, 7)
	behind := f.DeclarationAfter(99)
	assert.Assert(t, behind.Routing != nil && behind.Routing.Version == 7, "a peer that is behind gets what this one acts on")
	declare(101, 8)
	assertDeclared(t, restored+90, 7)
	declare(restored+91, 9)
	assertDeclared(t, restored+91, 9)
}
