package peering

import (
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/state/enginepace"
)

// TestPaceExchange guards against speeds that one gateway measures and others do not
// learn, and against reports that take more than a small part of the bytes for control.
func TestPaceExchange(t *testing.T) {
	n := newNetworkWith(networkOptions{gateways: 22, zones: 3, seeds: 3, capacity: func(i int) int { return 100 + 30*(i%5) }})
	engines := make([]comfreyworks.Upstream, 41)
	for i := range engines {
		engines[i] = comfreyworks.Upstream{ID: comfreyworks.InstanceID(fmt.Sprint("lm/", i)), Pool: "lm"}
	}
	measure := func() {
		for _, g := range n.sorted()[:12] {
			for i := range engines {
				speed := []float64{0.6, 1, 1.6}[i%3]
				g.options.Pace.ObserveDecode(&engines[i], 3, time.Duration(float64(72*time.Millisecond)/speed), false)
			}
		}
	}
	n.run(8*time.Second, measure)
	bytes := 0
	for _, g := range n.sorted() {
		assert.Assert(t, g.options.Pace.Pace(&engines[0]).Decode < 0.65, "%s does not know a slow engine", g.options.Self.ID)
		assert.Assert(t, g.options.Pace.Pace(&engines[2]).Decode > 1.5, "%s does not know a fast engine", g.options.Self.ID)
		assert.Equal(t, g.options.Pace.Pace(&engines[1]), enginepace.Pace{Prefill: 1, Decode: 1})
		var sent byteCounter
		assert.NilError(t, gob.NewEncoder(&sent).Encode(g.options.Pace.Sum(nil)))
		bytes = max(bytes, int(sent))
	}
	assert.Assert(t, bytes <= 8*64+64, "%d bytes in a report", bytes)
}
