package catalog

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// TestUndecoded guards against gateways that disagree about an upstream for ever, because
// only some have read a sound entry of it before one that cannot be decoded.
func TestUndecoded(t *testing.T) {
	undecoded := func(position comfreyworks.Position, ids ...comfreyworks.InstanceID) comfreyworks.UpstreamChanges {
		return comfreyworks.UpstreamChanges{Since: position - 1, Next: position, Undecoded: ids}
	}
	f, late := newFixture(), newFixture()
	assertAgree := func(t *testing.T, want ...comfreyworks.InstanceID) {
		t.Helper()
		f.assertLive(t, want...)
		_, known := late.SourceStates()
		assert.Assert(t, !late.ApplyUpstreams(*f.UpstreamsAfter(known.Position), f.clock.Now()).Doubted)
	}
	f.applyList(10, true, []comfreyworks.Upstream{at("a", 1), at("b", 1)})
	f.ApplyUpstreams(undecoded(11, "b"), f.clock.Now())
	whole := undecoded(11, "b")
	whole.Whole, whole.Present = true, []comfreyworks.Upstream{at("a", 1)}
	late.ApplyUpstreams(whole, f.clock.Now())
	f.applyList(12, false, []comfreyworks.Upstream{listed("a", 7, 2)})
	assertAgree(t, "a", "b")
	t.Run("a sound entry that is as the last one", func(t *testing.T) {
		f.applyList(13, false, []comfreyworks.Upstream{at("b", 2)})
		assertAgree(t, "a", "b")
		late.assertLive(t, "a", "b")
		assert.Equal(t, len(f.undecoded)+len(late.undecoded), 0)
	})
	t.Run("a whole list of a peer that has no sound entry", func(t *testing.T) {
		f.ApplyUpstreams(undecoded(14, "b"), f.clock.Now())
		whole.Next, whole.Present = 15, []comfreyworks.Upstream{listed("a", 7, 2)}
		late := newFixture()
		late.ApplyUpstreams(whole, f.clock.Now())
		assert.Assert(t, !f.ApplyUpstreams(*late.UpstreamsAfter(0), f.clock.Now()).Doubted)
		f.assertLive(t, "a", "b")
	})
	t.Run("what is removed is forgotten", func(t *testing.T) {
		f.applyList(16, false, nil, "b")
		assertAgree(t, "a")
		assert.Equal(t, len(f.undecoded)+len(late.undecoded), 0)
		many := undecoded(17)
		for i := range 2 * maxUndecoded {
			many.Undecoded = append(many.Undecoded, comfreyworks.InstanceID(fmt.Sprint(i)))
		}
		f.ApplyUpstreams(many, f.clock.Now())
		assert.Equal(t, len(f.undecoded), maxUndecoded)
		f.applyList(18, true, []comfreyworks.Upstream{at("a", 1)})
		assert.Equal(t, len(f.undecoded), 0)
	})
}

// TestMissedRemovalOfUndecoded guards against keeping an upstream for ever whose removal was
// missed, because its last entry cannot be decoded and gateways that differ in it agree.
func TestMissedRemovalOfUndecoded(t *testing.T) {
	f, removed := newFixture(), newFixture()
	f.applyList(10, true, []comfreyworks.Upstream{at("a", 1), at("b", 1)})
	f.ApplyUpstreams(comfreyworks.UpstreamChanges{Since: 10, Next: 11, Undecoded: []comfreyworks.InstanceID{"b"}}, f.clock.Now())
	removed.applyList(12, true, []comfreyworks.Upstream{at("a", 1)})
	changes := *removed.UpstreamsAfter(12)
	changes.Since = 11
	assert.Assert(t, f.ApplyUpstreams(changes, f.clock.Now()).Doubted)
	f.applyList(12, true, []comfreyworks.Upstream{at("a", 1)})
	f.assertLive(t, "a")
	f.UpstreamsVerified()
	f.clock.Advance(maxDoubtPause)
	assert.Assert(t, !f.ApplyUpstreams(*removed.UpstreamsAfter(12), f.clock.Now()).Doubted)
}
