package peering

import (
	"context"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/coordination/lease"
)

const (
	// restoredAt is the first position after a restore of the source.
	restoredAt comfreyworks.Position = 1 << 40
	// readInterval is the pause of a reader between two reads of the source, and
	// fallbackAge the age of its state at which another gateway reads it.
	readInterval = 800 * time.Millisecond
	fallbackAge  = 1800 * time.Millisecond
	// leaseDuration is how long the lease of a silent holder lasts.
	leaseDuration = 3 * time.Second
)

// restoredSource is a list of upstreams and the log of a lease. Gateways use both
// while the network runs.
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
	// records are the lease's records, leaseCalls counts the calls for it.
	records    [][]byte
	leaseCalls int
	leases     map[*gateway]*lease.Lease
	nextStep   map[*gateway]time.Time
}

func newRestoredSource(n *network) *restoredSource {
	s := &restoredSource{
		network: n, position: 100, engines: engineCount, sequence: 10,
		reads: make(map[comfreyworks.InstanceID]int), nextRead: make(map[comfreyworks.InstanceID]time.Time),
		leases: make(map[*gateway]*lease.Lease), nextStep: make(map[*gateway]time.Time),
	}
	for _, g := range n.sorted() {
		s.leases[g] = lease.New(lease.Options{
			Log: s, Stream: "s", Self: g.options.Self.ID, Duration: leaseDuration, Clock: n.clock,
			Candidate: func() bool { return g.IsSelected("rollout", 3) },
		})
	}
	return s
}

// end returns the offset that the next lease record will get.
func (s *restoredSource) end() comfreyworks.Offset {
	return comfreyworks.Offset(uint64(s.restored) + uint64(len(s.records)))
}

// Tail implements comfreyworks.LeaseLog.
func (s *restoredSource) Tail(context.Context, string) ([]byte, comfreyworks.Offset, error) {
	s.leaseCalls++
	if len(s.records) == 0 {
		return nil, s.end(), nil
	}
	return s.records[len(s.records)-1], s.end(), nil
}

// AppendAt implements comfreyworks.LeaseLog.
func (s *restoredSource) AppendAt(_ context.Context, _ string, at comfreyworks.Offset, record []byte) (bool, error) {
	s.leaseCalls++
	if at != s.end() {
		return false, nil
	}
	s.records = append(s.records, record)
	return true, nil
}

// stepAll lets the gateways make the calls to the source that are due.
func (s *restoredSource) stepAll() {
	s.readAll()
	now := s.network.clock.Now()
	for _, g := range s.network.sorted() {
		if now.Before(s.nextStep[g]) {
			continue
		}
		pause, _ := s.leases[g].Step(context.Background())
		s.nextStep[g] = now.Add(pause)
	}
}

// holder returns the gateway that holds the lease, with its token, or nil.
func (s *restoredSource) holder(t *testing.T) (*gateway, uint64) {
	t.Helper()
	var holder *gateway
	var token uint64
	for g, l := range s.leases {
		if held, ok := l.Held(); ok {
			assert.Assert(t, holder == nil, "two holders")
			holder, token = g, held
		}
	}
	return holder, token
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
	source := newRestoredSource(n)
	n.run(5*time.Second, source.stepAll)
	holder, token := source.holder(t)
	assert.Assert(t, holder != nil)
	cutOff := leaf(n)
	n.unreachable[cutOff.address] = true
	const lost = 10
	source.position, source.restored, source.engines, source.sequence = restoredAt+40, restoredAt, engineCount-lost, 8
	source.records, source.leaseCalls = source.records[:1], 0
	clear(source.reads)
	restoredTime := n.clock.Now()
	var knownAfter time.Duration
	n.run(1500*time.Millisecond, func() {
		source.stepAll()
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
	n.run(3500*time.Millisecond, source.stepAll)
	total := source.leaseCalls
	for _, count := range source.reads {
		total += count
	}
	t.Logf("%d gateways read the list and %d calls went to the source in 5 s; all knew of the restore after %s", len(source.reads), total, knownAfter)
	assert.Assert(t, len(source.reads) <= 4, "%d gateways read the list", len(source.reads))
	assert.Assert(t, total <= 10*5, "%d calls", total)
	next, nextToken := source.holder(t)
	assert.Assert(t, next == holder && nextToken > token, "the lease has not been taken up again")
	assert.Assert(t, allAfterRestore(n), "the gateway that was cut off has not learned of the restore")
	n.run(2*time.Second, source.stepAll)
	for _, g := range n.sorted() {
		assert.Equal(t, len(g.catalog.Upstreams(pool)), engineCount-1, "%s", g.options.Self.ID)
	}
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
