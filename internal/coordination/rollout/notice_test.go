package rollout

import (
	"testing"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// TestNoticesOfLaterHolders guards against ignoring the notices of a lease holder
// because its token, which has the store's restores in its high bits, is too large
// to be multiplied.
func TestNoticesOfLaterHolders(t *testing.T) {
	f := newFixture(t, 1)
	for i, token := range []uint64{41, 7 << 32, 255<<32 + 1, 256 << 32, 1<<53 - 1} {
		revision := comfreyworks.WeightsRevision(i + 2)
		f.announce(token, comfreyworks.WeightsLoadNotice{Engine: "e0", Model: model, Weights: revision, Done: true})
		assert.Equal(t, f.balancer.Weights(&f.catalog.Upstreams(pool)[0], model), revision)
	}
	f.announce(41, comfreyworks.WeightsLoadNotice{Engine: "e0", Model: model, Weights: 99, Done: true})
	assert.Equal(t, f.balancer.Weights(&f.catalog.Upstreams(pool)[0], model), comfreyworks.WeightsRevision(6), "an earlier holder")
}
