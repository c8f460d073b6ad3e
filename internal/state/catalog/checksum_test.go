package catalog

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// TestChecksum guards against a list that stays wrong because a removal or an entry was
// lost on the way, and against doubts in lists that differ only for a time.
func TestChecksum(t *testing.T) {
	for name, test := range map[string]struct {
		// prepare changes the list of a catalog that has upstreams a and b at position 10.
		prepare func(f fixture)
		want    bool
	}{
		"the same list":             {func(f fixture) { f.applyList(11, false, nil) }, false},
		"heartbeats":                {func(f fixture) { f.applyList(11, false, []comfreyworks.Upstream{at("a", 2)}) }, false},
		"an upstream too few":       {func(f fixture) { f.applyList(11, false, nil, "b") }, true},
		"an upstream too many":      {func(f fixture) { f.applyList(11, false, []comfreyworks.Upstream{at("c", 1)}) }, true},
		"another content":           {func(f fixture) { f.applyList(11, false, []comfreyworks.Upstream{listed("a", 7, 2)}) }, true},
		"an upstream in grace":      {func(f fixture) { f.clock.Advance(2 * outageThreshold); f.applyList(11, false, nil, "b") }, false},
		"a list after a restore":    {func(f fixture) { f.applyRestored(restored+1, at("a", 1)) }, false},
		"a peer without a checksum": {func(f fixture) { f.applyList(11, false, nil, "b"); f.checksumsFrom = f.clock.Now().Add(1) }, false},
		"a list after the last doubt": {func(f fixture) {
			f.applyList(11, false, nil, "b")
			f.doubt = doubt{notBefore: f.clock.Now().Add(1), pause: time.Second}
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			f, peer := newFixture(), newFixture()
			for _, each := range []fixture{f, peer} {
				each.applyList(10, true, []comfreyworks.Upstream{at("b", 1), at("a", 1)})
			}
			test.prepare(f)
			_, known := f.SourceStates()
			peer.applyList(known.Position, false, nil)
			change := f.ApplyUpstreams(*peer.UpstreamsAfter(known.Position), f.clock.Now())
			assert.Equal(t, change.Doubted, test.want)
			assert.Equal(t, f.UpstreamsDoubtful(), test.want)
			f.UpstreamsVerified()
			assert.Assert(t, !f.UpstreamsDoubtful())
			assert.Assert(t, !f.ApplyUpstreams(*peer.UpstreamsAfter(known.Position), f.clock.Now()).Doubted, "doubted twice at once")
		})
	}
}

// TestLapsedUpstreamAtStart guards against a gateway that starts while its peer keeps an
// upstream without an entry, and that keeps it for ever because it reads ahead of the
// peer's removal.
func TestLapsedUpstreamAtStart(t *testing.T) {
	peer := newFixture()
	starting := fixture{clock: peer.clock, Catalog: New(peer.clock)}
	peer.applyList(10, true, []comfreyworks.Upstream{at("a", 1)})
	peer.clock.Advance(2 * outageThreshold)
	peer.applyList(11, true, nil)
	starting.ApplyUpstreams(*peer.UpstreamsAfter(0), peer.clock.Now())
	starting.applyList(13, false, nil)
	peer.clock.Advance(lapsedGracePeriod)
	peer.applyList(11, false, nil)
	peer.applyList(14, false, nil)
	starting.ApplyUpstreams(*peer.UpstreamsAfter(13), peer.clock.Now())
	starting.assertLive(t)
	peer.assertLive(t)
}
