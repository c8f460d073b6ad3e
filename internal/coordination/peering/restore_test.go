package peering

import (
	"context"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks"
)

const (
	// restoredAt is the first position after a restore of the source.
	restoredAt comfreyworks.Position = 1 << 40
	// readInterval is the pause of a reader between two reads of the source, and
	// fallbackAge the age of its state at which another gateway reads it.
	readInterval = 800 * time.Millisecond
	fallbackAge  = 1800 * time.Millisecond
)

// restoredSource is a list of upstreams that gateways read while the network runs.
type restoredSource struct {
	network  *network
	position comfreyworks.Position
	restored comfreyworks.Position
	// engines is the number of engines that are listed.
	engines  int
	sequence uint64
	// reads counts the reads of each gateway.
	reads    map[comfreyworks.InstanceID]int
	nextRead map[comfreyworks.InstanceID]time.Time
}

// readAll lets the gateways read that are due: readers, and those whose state is too
// old.
func (s *restoredSource) readAll() {
	now := s.network.clock.Now()
	for _, g := range s.network.sorted() {
		id := g.options.Self.ID
		due := g.IsSelected("read", 2) || now.Sub(g.catalog.UpstreamsConfirmedAt()) >= fallbackAge+g.FallbackDelay()
		if !due || now.Before(s.nextRead[id]) {
			continue
		}
		s.reads[id]++
		s.nextRead[id] = now.Add(readInterval)
		changes := comfreyworks.UpstreamChanges{Whole: true, Restored: s.restored, Next: s.position, Present: engines(s.engines, s.sequence)}
		g.catalog.ApplyUpstreams(changes, now)
	}
}

// TestRestoredSource guards against a fleet that turns to the source, or keeps
// positions and upstreams of before, when the source is restored from an earlier
// copy. One gateway is cut off meanwhile.
func TestRestoredSource(t *testing.T) {
	n := settle(t)
	source := &restoredSource{
		network: n, position: 100, engines: engineCount, sequence: 10,
		reads: make(map[comfreyworks.InstanceID]int), nextRead: make(map[comfreyworks.InstanceID]time.Time),
	}
	n.run(2*time.Second, source.readAll)
	cutOff := leaf(n)
	n.unreachable[cutOff.address] = true
	const lost = 10
	source.position, source.restored, source.engines, source.sequence = restoredAt+40, restoredAt, engineCount-lost, 8
	clear(source.reads)
	restoredTime := n.clock.Now()
	var knownAfter time.Duration
	n.run(1500*time.Millisecond, func() {
		source.readAll()
		if knownAfter == 0 && allAfterRestore(n) {
			knownAfter = n.clock.Since(restoredTime)
		}
	})
	assert.Assert(t, allAfterRestore(n), "a gateway has not learned of the restore")
	for _, g := range n.sorted() {
		assert.Equal(t, len(g.catalog.Upstreams(pool)), engineCount, "%s", g.options.Self.ID)
	}
	// All but one of the engines write their entries again.
	source.position, source.engines, source.sequence = restoredAt+60, engineCount-1, 11
	delete(n.unreachable, cutOff.address)
	n.run(3500*time.Millisecond, source.readAll)
	assert.Assert(t, allAfterRestore(n), "the gateway that was cut off has not learned of the restore")
	n.run(2*time.Second, func() { source.readAll() })
	for _, g := range n.sorted() {
		assert.Equal(t, len(g.catalog.Upstreams(pool)), engineCount-1, "%s", g.options.Self.ID)
	}
	total := 0
	for _, count := range source.reads {
		total += count
	}
	t.Logf("%d gateways read the source %d times in 7 s; all knew of the restore after %s", len(source.reads), total, knownAfter)
	assert.Assert(t, len(source.reads) <= 4, "%d gateways read the source", len(source.reads))
	assert.Assert(t, total <= 2*int(7*time.Second/readInterval)+4, "%d reads", total)
}

func allAfterRestore(n *network) bool {
	for _, g := range n.sorted() {
		if _, listed := g.catalog.SourceStates(); listed.Position < restoredAt {
			return false
		}
	}
	return true
}

// TestLostRegistration guards against a gateway that is never registered again after
// the registry was restored from a copy without it.
func TestLostRegistration(t *testing.T) {
	n := newNetwork(1)
	registry := &countingRegistry{}
	g := n.gateway(0)
	g.options.Registry = registry
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return g.pollRegistry(ctx) })
	runFor := func(d time.Duration) {
		for end := n.clock.Now().Add(d); n.clock.Now().Before(end); n.clock.Advance(stepInterval) {
			assert.NilError(t, n.clock.BlockUntilContext(ctx, 1))
		}
		assert.NilError(t, n.clock.BlockUntilContext(ctx, 1))
	}
	runFor(5 * time.Second)
	assert.Equal(t, registry.count(), 1)
	registry.lose()
	runFor(registryInterval + 5*time.Second)
	assert.Equal(t, registry.count(), 2)
	stop()
	assert.NilError(t, group.Wait())
}

// countingRegistry counts registrations.
type countingRegistry struct {
	mu            sync.Mutex
	registered    []comfreyworks.GatewayPeer
	registrations int
}

// Register implements comfreyworks.GatewayRegistry.
func (r *countingRegistry) Register(_ context.Context, self comfreyworks.GatewayPeer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registrations++
	r.registered = append(r.registered, self)
	return nil
}

// Registered implements comfreyworks.GatewayRegistry.
func (r *countingRegistry) Registered(context.Context) ([]comfreyworks.GatewayPeer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registered, nil
}

func (r *countingRegistry) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registrations
}

func (r *countingRegistry) lose() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registered = nil
}
