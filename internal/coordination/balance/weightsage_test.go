package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/state/catalog"
)

// TestWeightsLearnedLate guards against prompts on superseded weights at a gateway
// that learned of newer ones late, and took them for as new as its knowledge.
func TestWeightsLearnedLate(t *testing.T) {
	query := promptQuery("guide", "site")
	t.Run("a gateway that was frozen counts from its last reading", func(t *testing.T) {
		f := newFixture(1)
		f.clock.Advance(3400 * time.Millisecond)
		f.declareWeights(2)
		f.clock.Advance(3030 * time.Millisecond)
		f.expectNoUpstream(t, query)
	})
	t.Run("so does one whose first peer was behind", func(t *testing.T) {
		f := newFixture(0)
		f.catalog = catalog.New(f.clock)
		f.options.Catalog = f.catalog
		f.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Whole: true, Present: []comfreyworks.Upstream{newUpstream(engines, 0)}, Next: 1}, f.clock.Now())
		f.catalog.ApplyDeclaration(comfreyworks.Declaration{
			Weights: map[comfreyworks.Model]comfreyworks.WeightsRevision{model: 1}, Next: 1,
		}, f.clock.Now().Add(-4*time.Second))
		f.position = 1
		f.declareWeights(2)
		f.clock.Advance(unknownAgeLimit + time.Millisecond)
		f.expectNoUpstream(t, query)
	})
	t.Run("superseded weights are used until engines can have loaded newer ones", func(t *testing.T) {
		f := newFixture(1)
		f.clock.Advance(time.Minute)
		f.declareWeights(2)
		f.clock.Advance(unknownAgeLimit)
		assert.Assert(t, f.Pick(query) != nil)
	})
	t.Run("unless they would have to wait in the queue of an engine for longer", func(t *testing.T) {
		f := newFixture(1)
		f.clock.Advance(time.Minute)
		f.declareWeights(2)
		f.SetPeerLoads("other", []comfreyworks.UpstreamLoad{{ID: "lm/0", Unread: comfreyworks.PrefillBacklog{80_000}}}, f.clock.Now().Add(time.Second))
		f.expectNoUpstream(t, query)
	})
	t.Run("or as long as a request has waited there, whatever the prompts ahead of it", func(t *testing.T) {
		f := newFixture(1)
		f.clock.Advance(time.Minute)
		waiting := f.Pick(query)
		f.clock.Advance(time.Second)
		f.declareWeights(2)
		f.clock.Advance(unknownAgeLimit - time.Second + time.Millisecond)
		f.expectNoUpstream(t, query)
		waiting.AnswerStarted()
		assert.Assert(t, f.Pick(query) != nil)
	})
	t.Run("a gateway that reads regularly uses them almost as long as allowed", func(t *testing.T) {
		f := newFixture(1)
		for range 5 {
			f.clock.Advance(600 * time.Millisecond)
			f.declareWeights(1)
		}
		f.clock.Advance(600 * time.Millisecond)
		f.declareWeights(2)
		f.clock.Advance(4500 * time.Millisecond)
		assert.Assert(t, f.Pick(query) != nil)
	})
}
