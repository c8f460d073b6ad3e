package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/coordination/balance"
	"comfreyworks/internal/coordination/placement"
	"comfreyworks/internal/state/holdings"
)

// weightsLimit is how long superseded weights may begin answers.
const weightsLimit = 8 * time.Second

// newWithdrawalFixture returns a fixture that limits the age of weights. Revision 3 of them
// is declared, which all upstreams serve.
func newWithdrawalFixture(script ...response) *fixture {
	f := newFixture(script...)
	f.forwarder.options.Balancer = balance.New(balance.Options{
		Catalog: f.catalog, Holdings: holdings.New(), Clock: f.clock, SupersededWeights: weightsLimit,
		Policy: placement.Comfrey{RecomputeWeight: placement.DefaultRecomputeWeight},
	})
	f.declared = Prompt{Model: model, Parts: []comfreyworks.PromptPart{{ID: "guide", Tokens: 100}, {ID: "own", Tokens: 10}}, Tokens: 110}
	f.declareWeights(3)
	return f
}

func (f *fixture) declareWeights(revision comfreyworks.WeightsRevision) {
	f.catalog.ApplyDeclaration(comfreyworks.Declaration{
		Weights: map[comfreyworks.Model]comfreyworks.WeightsRevision{model: revision}, Next: comfreyworks.Position(revision),
	}, f.clock.Now())
}

// TestWithdrawal guards against answers that begin on weights which were superseded for too
// long, because the request waited in its upstream's queue for longer than was estimated.
func TestWithdrawal(t *testing.T) {
	for name, test := range map[string]struct {
		// supersededAfter is when newer weights are declared after the request was sent;
		// negative means that they were before.
		supersededAfter time.Duration
		repeatable      bool
		want            Verdict
		sends           int
	}{
		"the weights were superseded when it was sent": {-5 * time.Second, false, Failed, 1},
		"they are superseded while it waits":           {2 * time.Second, false, Failed, 1},
		"it waits at two upstreams":                    {-5 * time.Second, true, Failed, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newWithdrawalFixture(neverRespond)
				declaredAt := f.clock.Now().Add(max(test.supersededAfter, 0))
				if test.supersededAfter < 0 {
					f.declareWeights(4)
					f.clock.Advance(-test.supersededAfter)
				}
				var outcome Outcome
				var group errgroup.Group
				group.Go(func() error {
					outcome = f.forwarder.Forward(context.Background(), f.request(route(comfreyworks.RouteStream, 2, test.repeatable)), f.sink)
					return nil
				})
				for synctest.Wait(); outcome.Verdict == ""; synctest.Wait() {
					f.clock.Advance(50 * time.Millisecond)
					f.catalog.ApplyDeclaration(comfreyworks.Declaration{Next: 3}, f.clock.Now())
					if f.clock.Now().Equal(declaredAt) {
						f.declareWeights(4)
					}
				}
				assert.NilError(t, group.Wait())
				assert.Equal(t, outcome.Verdict, test.want)
				assert.Equal(t, outcome.Sends, test.sends)
				took := f.clock.Since(declaredAt)
				assert.Assert(t, took <= weightsLimit && took >= weightsLimit-time.Second, "%s", took)
			})
		})
	}
	t.Run("an answer that has begun is relayed to its end", func(t *testing.T) {
		f := newWithdrawalFixture(respondOK("x"))
		f.declareWeights(4)
		outcome := f.forwarder.Forward(context.Background(), f.request(route(comfreyworks.RouteIdempotent, 2, false)), f.sink)
		assert.Equal(t, outcome.Verdict, Delivered)
		f.clock.Advance(time.Minute)
		assert.Equal(t, len(f.upstreams.sent), 1)
	})
}
