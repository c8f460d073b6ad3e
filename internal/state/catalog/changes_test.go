package catalog

import (
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"comfreyworks"
)

func listed(id string, slots int, sequence uint64) comfreyworks.Upstream {
	return comfreyworks.Upstream{
		ID: comfreyworks.InstanceID(id), Pool: "lm", State: comfreyworks.InstanceLive, Slots: slots, Sequence: sequence,
	}
}

// TestUpstreamsAfter guards against sending a whole list of upstreams to a peer
// that lacks only its latest changes.
func TestUpstreamsAfter(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := New(clock)
	c.ApplyUpstreams(comfreyworks.UpstreamChanges{
		Whole: true, Present: []comfreyworks.Upstream{listed("a", 1, 1), listed("b", 1, 1)}, Next: 10,
	}, clock.Now())
	t.Run("heartbeats are no changes", func(t *testing.T) {
		c.ApplyUpstreams(comfreyworks.UpstreamChanges{Present: []comfreyworks.Upstream{listed("a", 1, 2)}, Next: 11}, clock.Now())
		changes := c.UpstreamsAfter(10)
		assert.Assert(t, !changes.Whole && len(changes.Present) == 0 && len(changes.Gone) == 0)
		assert.Equal(t, changes.Next, comfreyworks.Position(11))
	})
	t.Run("a changed and a removed upstream", func(t *testing.T) {
		c.ApplyUpstreams(comfreyworks.UpstreamChanges{
			Present: []comfreyworks.Upstream{listed("a", 2, 3)}, Gone: []comfreyworks.InstanceID{"b"}, Next: 13,
		}, clock.Now())
		changes := c.UpstreamsAfter(11)
		assert.Equal(t, len(changes.Present), 1)
		assert.DeepEqual(t, changes.Gone, []comfreyworks.InstanceID{"b"})
		assert.Equal(t, len(c.UpstreamsAfter(13).Present)+len(c.UpstreamsAfter(13).Gone), 0)
	})
	t.Run("a peer that knows nothing gets the whole list", func(t *testing.T) {
		changes := c.UpstreamsAfter(0)
		assert.Assert(t, changes.Whole && len(changes.Present) == 1)
	})
	t.Run("a peer that lacks forgotten removals gets the whole list", func(t *testing.T) {
		for i := range maxRemovals + 1 {
			id := fmt.Sprint("x", i)
			c.ApplyUpstreams(comfreyworks.UpstreamChanges{Present: []comfreyworks.Upstream{listed(id, 1, 1)}, Next: comfreyworks.Position(20 + 2*i)}, clock.Now())
			c.ApplyUpstreams(comfreyworks.UpstreamChanges{Gone: []comfreyworks.InstanceID{comfreyworks.InstanceID(id)}, Next: comfreyworks.Position(21 + 2*i)}, clock.Now())
		}
		assert.Assert(t, c.UpstreamsAfter(13).Whole)
		assert.Assert(t, !c.UpstreamsAfter(40).Whole)
	})
}

// TestUnknownRemoval guards against a catalog that never learns of a removal, because
// it took the position from one that had not listed the upstream.
func TestUnknownRemoval(t *testing.T) {
	for name, teach := range map[string]func(b, before fixture){
		"started and read the source": func(b, _ fixture) { b.applyList(restored+35, true, nil) },
		"started and asked a peer": func(b, before fixture) {
			before.applyList(restored+35, false, nil, "a")
			b.ApplyUpstreams(*before.UpstreamsAfter(0), b.clock.Now())
		},
		"missed records that the source dropped": func(b, _ fixture) { b.applyList(restored+20, true, nil); b.applyList(restored+35, true, nil) },
		"missed a restore":                       func(b, _ fixture) { b.applyList(20, true, nil); b.applyRestored(restored + 35) },
		"read an entry with its removal":         func(b, _ fixture) { b.applyList(restored+20, true, nil); b.applyList(restored+35, false, nil, "a") },
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			a, b, before := fixture{clock, New(clock)}, fixture{clock, New(clock)}, fixture{clock, New(clock)}
			for _, f := range []fixture{a, before} {
				f.ApplyUpstreams(comfreyworks.UpstreamChanges{
					Whole: true, Restored: restored, Present: []comfreyworks.Upstream{listed("a", 1, 1)}, Next: restored + 34,
				}, clock.Now())
			}
			teach(b, before)
			a.ApplyUpstreams(*b.UpstreamsAfter(restored + 34), clock.Now())
			a.applyList(restored+36, false, nil)
			a.assertLive(t)
		})
	}
}

// TestUpstreamsAfterFollows checks that a catalog that is fed with the changes of
// another one at random moments has the same upstreams.
func TestUpstreamsAfterFollows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		reader, follower := New(clock), New(clock)
		sequence := uint64(0)
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			sequence++
			changes := comfreyworks.UpstreamChanges{Next: comfreyworks.Position(step + 1), Whole: rapid.IntRange(0, 9).Draw(t, "whole") == 0}
			for i := range 5 {
				id := string(rune('a' + i))
				switch rapid.IntRange(0, 4).Draw(t, id) {
				case 0:
					changes.Present = append(changes.Present, listed(id, rapid.IntRange(1, 2).Draw(t, "slots"), sequence))
				case 1:
					changes.Gone = append(changes.Gone, comfreyworks.InstanceID(id))
				}
			}
			reader.ApplyUpstreams(changes, clock.Now())
			if rapid.Bool().Draw(t, "follow") {
				_, known := follower.SourceStates()
				follower.ApplyUpstreams(*reader.UpstreamsAfter(known.Position), clock.Now())
				assert.DeepEqual(t, withoutSequence(follower.Upstreams("lm")), withoutSequence(reader.Upstreams("lm")))
			}
		}
	})
}

// withoutSequence returns what the test compares of upstreams: ID and slots.
func withoutSequence(upstreams []comfreyworks.Upstream) []string {
	var described []string
	for _, upstream := range upstreams {
		described = append(described, fmt.Sprint(upstream.ID, " ", upstream.Slots))
	}
	return described
}

// TestDeclarationAfter guards against sending the routing to peers for each newly
// declared revision of weights.
func TestDeclarationAfter(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := New(clock)
	c.ApplyDeclaration(comfreyworks.Declaration{Routing: &comfreyworks.Routing{Version: 3}, Next: 5}, clock.Now())
	c.ApplyDeclaration(comfreyworks.Declaration{Weights: map[comfreyworks.Model]comfreyworks.WeightsRevision{"oak": 2}, Next: 6}, clock.Now())
	assert.Assert(t, c.DeclarationAfter(0).Routing != nil)
	assert.Assert(t, c.DeclarationAfter(4).Routing != nil)
	d := c.DeclarationAfter(5)
	assert.Assert(t, d.Routing == nil)
	assert.Equal(t, d.Weights["oak"], comfreyworks.WeightsRevision(2))
	assert.Equal(t, d.Next, comfreyworks.Position(6))
}
