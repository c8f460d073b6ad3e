package capacity

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"comfreyworks"
	"comfreyworks/internal/coordination/placement"
	"comfreyworks/internal/protocol/peer"
	"comfreyworks/internal/state/directory"
)

const (
	peerSecret = "capacity-secret-0123"
	// warmUpCalls is the number of calls before a measurement starts. They keep the
	// gob type descriptions, which each connection sends once, out of its result.
	warmUpCalls   = 10
	measuredCalls = 5_000
	// measuredConnections is the number of connections that are open at once.
	measuredConnections = 300
	// chainLevels is the length of a typical prefix chain.
	chainLevels = 8
	// candidateReplicas is the number of upstreams that a placement chooses from.
	candidateReplicas = 70
	// changesPerReport is the number of changes in a large report.
	changesPerReport = 100
	placeTimeout     = time.Second
)

// receiver implements the measured RPC methods like a sidecar without other load.
type receiver struct {
	shard   *directory.Shard
	chooser *placement.Chooser
}

// Place chooses an upstream from the candidates of the shard.
func (r *receiver) Place(request comfreyworks.PlaceRequest, reply *comfreyworks.Placement) error {
	*reply = r.chooser.Choose(request.Chain, request.Exclude)
	return nil
}

// Report applies a report to the shard.
func (r *receiver) Report(args peer.ReportArgs, reply *peer.ReportReply) error {
	reply.NeedFull = r.shard.Report(args.Report)
	return nil
}

// Read returns one token.
func (r *receiver) Read(_ peer.ReadArgs, reply *comfreyworks.StreamUpdate) error {
	reply.Frames = []string{"word "}
	return nil
}

// Pull returns the caller's own revision, without changes.
func (r *receiver) Pull(args peer.PullArgs, reply *comfreyworks.ConfigUpdate) error {
	*reply = comfreyworks.ConfigUpdate{Revision: args.Since, Digest: strings.Repeat("0", 64)}
	return nil
}

// countingConn counts the bytes that a client sends and receives.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// rpcBenchmark calls a peer server over loopback and counts the bytes of its client.
type rpcBenchmark struct {
	address netip.AddrPort
	client  *peer.Client
	bytes   atomic.Int64
}

func (b *rpcBenchmark) dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, bytes: &b.bytes}, nil
}

// measureTraffic measures the bytes and CPU time of calls between peers and the
// memory of their connections.
func measureTraffic(ctx context.Context, slopes Slopes) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	shard := directory.New(clockwork.NewRealClock())
	policy := placement.Comfrey{RecomputeWeight: placement.DefaultRecomputeWeight}
	server, err := peer.NewServer(peerSecret, &receiver{shard: shard, chooser: placement.NewChooser(shard, policy)})
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	var group errgroup.Group
	group.Go(func() error { return server.Serve(ctx, listener) })
	b := &rpcBenchmark{address: listener.Addr().(*net.TCPAddr).AddrPort()}
	clients := peer.NewClients(peer.ClientOptions{Secret: peerSecret, Clock: clockwork.NewRealClock(), Dial: b.dial})
	b.client = clients.To(b.address)
	err = b.measureAll(ctx, slopes)
	clients.Close()
	cancel()
	if waitErr := group.Wait(); err == nil {
		err = waitErr
	}
	return err
}

func (b *rpcBenchmark) measureAll(ctx context.Context, slopes Slopes) error {
	if err := b.reportReplicas(ctx); err != nil {
		return err
	}
	measurements := []func(context.Context, Slopes) error{b.measurePlace, b.measureRead, b.measureReports, b.measurePull, b.measureConnections}
	for _, measure := range measurements {
		if err := measure(ctx, slopes); err != nil {
			return err
		}
	}
	return nil
}

// reportReplicas reports candidateReplicas upstreams to the shard, so that all of
// them are candidates for placements.
func (b *rpcBenchmark) reportReplicas(ctx context.Context) error {
	for _, instance := range instanceList(candidateReplicas) {
		report := comfreyworks.DirectoryReport{
			Instance: instance.ID, Full: true, Sequence: 1, PrefillTime: 40 * time.Microsecond,
		}
		if _, err := b.client.Report(ctx, peer.ReportArgs{Report: report}); err != nil {
			return err
		}
	}
	return nil
}

// costPerCall returns the mean number of bytes and the mean CPU time in nanoseconds
// of a call.
func (b *rpcBenchmark) costPerCall(calls int, call func() error) (bytes, nanos float64, err error) {
	for range warmUpCalls {
		if err := call(); err != nil {
			return 0, 0, err
		}
	}
	before := b.bytes.Load()
	nanos, err = cpuTimePerRun(calls, call)
	return float64(b.bytes.Load()-before) / float64(calls), nanos, err
}

func (b *rpcBenchmark) measurePlace(ctx context.Context, slopes Slopes) error {
	chain := make(comfreyworks.PrefixChain, chainLevels)
	for i, change := range levelChanges(1, chainLevels) {
		chain[i] = comfreyworks.PrefixLevel{Hash: change.Hash, Tokens: (i + 1) * 1200}
	}
	request := comfreyworks.PlaceRequest{Pool: "lm-pool", Chain: chain}
	bytes, nanos, err := b.costPerCall(measuredCalls, func() error {
		_, err := b.client.Place(ctx, request, placeTimeout)
		return err
	})
	slopes.set(SlopePlaceBytes, bytes, unitBytes)
	slopes.set(SlopePlaceCPU, nanos, unitNanoseconds)
	return err
}

func (b *rpcBenchmark) measureRead(ctx context.Context, slopes Slopes) error {
	_, nanos, err := b.costPerCall(measuredCalls, func() error {
		_, err := b.client.Read(ctx, "cmpl-0193d0f0/1", 100, time.Second)
		return err
	})
	slopes.set(SlopeReadCPU, nanos, unitNanoseconds)
	return err
}

func (b *rpcBenchmark) measureReports(ctx context.Context, slopes Slopes) error {
	sequence := uint64(1)
	sendReport := func(n int) func() error {
		list := levelChanges(1000, n)
		return func() error {
			sequence++
			_, err := b.client.Report(ctx, peer.ReportArgs{Pool: "lm-pool", Report: comfreyworks.DirectoryReport{
				Instance: "lm-pool-0/0", Incarnation: 1, Weights: "2026-10", Sequence: sequence, Full: n > 0,
				Changes: list, QueuedTokens: 9000, Running: 12, PrefillTime: 40 * time.Microsecond,
			}})
			return err
		}
	}
	bytes, nanos, err := b.costPerCall(measuredCalls, sendReport(0))
	if err != nil {
		return err
	}
	largeBytes, _, err := b.costPerCall(measuredCalls/changesPerReport, sendReport(changesPerReport))
	slopes.set(SlopeReportBytes, bytes, unitBytes)
	slopes.set(SlopeReportCPU, nanos, unitNanoseconds)
	slopes.set(SlopeChangeBytes, (largeBytes-bytes)/changesPerReport, unitBytes)
	return err
}

func (b *rpcBenchmark) measurePull(ctx context.Context, slopes Slopes) error {
	bytes, nanos, err := b.costPerCall(measuredCalls, func() error {
		_, err := b.client.Pull(ctx, 1300)
		return err
	})
	slopes.set(SlopePullBytes, bytes, unitBytes)
	slopes.set(SlopePullCPU, nanos, unitNanoseconds)
	return err
}

// measureConnections measures the memory of open connections, each of which has
// already carried a call.
func (b *rpcBenchmark) measureConnections(ctx context.Context, slopes Slopes) error {
	var open []*peer.Clients
	before := memoryInUse()
	for range measuredConnections {
		clients := peer.NewClients(peer.ClientOptions{Secret: peerSecret, Clock: clockwork.NewRealClock()})
		open = append(open, clients)
		if _, err := clients.To(b.address).Read(ctx, "s", 0, 0); err != nil {
			return err
		}
	}
	slopes.set(SlopeConnectionMemory, (memoryInUse()-before)/measuredConnections, unitBytes)
	for _, clients := range open {
		clients.Close()
	}
	return nil
}
