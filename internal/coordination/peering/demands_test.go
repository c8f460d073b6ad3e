package peering

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/coordination/balance"
)

// TestDemandSums guards against gateways that divide engines differently because they count
// the demand that one gateway measured not at all or twice.
func TestDemandSums(t *testing.T) {
	n := newNetworkWith(networkOptions{gateways: 27, zones: 4, seeds: 3})
	judge := func() {
		for _, g := range n.sorted() {
			pick := g.balancer.Pick(balance.Query{Pool: pool, Model: "oak", Tokens: 800})
			pick.JudgeStream(true)
			pick.Done(balance.Result{Outcome: balance.Withdrawn})
		}
	}
	n.run(5*time.Second, func() { recordReaders(n, map[comfreyworks.InstanceID]bool{}) })
	for _, g := range n.sorted() {
		g.list(3, 1, 1)
	}
	n.run(5*time.Second, judge)
	steady := 0
	for _, g := range n.sorted() {
		local, all := g.balancer.LocalDemands(), g.balancer.AllDemandsExcept("")
		assert.Equal(t, len(all), 1)
		if local[0].Streams > 0 && all[0].Streams >= 25*local[0].Streams*8/10 && all[0].Streams <= 27*local[0].Streams*12/10 {
			steady++
		}
	}
	assert.Equal(t, steady, 27)
}
