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
	trafficSecret = "capacity-secret-0123"
	// warmUpCalls are made before bytes count, because a connection sends its
	// type descriptions once.
	warmUpCalls = 10
	// trafficCalls is how many calls are measured.
	trafficCalls = 5_000
	// measuredConnections is how many connections are held at once.
	measuredConnections = 300
	// placedLevels is the length of a usual chain.
	placedLevels = 8
	// measuredReplicas is how many candidates a placement has.
	measuredReplicas = 70
	// reportedChanges is how many changes a large report has.
	reportedChanges = 100
	placeTimeout    = time.Second
)

// receiver answers like a sidecar that has nothing else to do.
type receiver struct {
	shard   *directory.Shard
	chooser *placement.Chooser
}

// Place chooses from the shard.
func (r *receiver) Place(request comfreyworks.PlaceRequest, reply *comfreyworks.Placement) error {
	*reply = r.chooser.Choose(request.Chain, request.Exclude)
	return nil
}

// Report goes to the shard.
func (r *receiver) Report(args peer.ReportArgs, reply *peer.ReportReply) error {
	reply.NeedFull = r.shard.Report(args.Report)
	return nil
}

// Read answers with one token.
func (r *receiver) Read(_ peer.ReadArgs, reply *comfreyworks.StreamUpdate) error {
	reply.Frames = []string{"word "}
	return nil
}

// Pull answers that there is nothing newer.
func (r *receiver) Pull(args peer.PullArgs, reply *comfreyworks.ConfigUpdate) error {
	*reply = comfreyworks.ConfigUpdate{Revision: args.Since, Digest: strings.Repeat("0", 64)}
	return nil
}

// countingConn counts the bytes of a client's connection, both ways.
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

// wire is a server and a counted client.
type wire struct {
	address netip.AddrPort
	client  *peer.Client
	bytes   atomic.Int64
}

func (w *wire) dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, bytes: &w.bytes}, nil
}

// measureTraffic measures what goes over connections.
func measureTraffic(ctx context.Context, slopes Slopes) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	shard := directory.New(clockwork.NewRealClock())
	placer := placement.Comfrey{RecomputeWeight: placement.DefaultRecomputeWeight}
	server, err := peer.NewServer(trafficSecret, &receiver{shard: shard, chooser: placement.NewChooser(shard, placer)})
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	var group errgroup.Group
	group.Go(func() error { return server.Serve(ctx, listener) })
	w := &wire{address: listener.Addr().(*net.TCPAddr).AddrPort()}
	clients := peer.NewClients(peer.ClientOptions{Secret: trafficSecret, Clock: clockwork.NewRealClock(), Dial: w.dial})
	w.client = clients.To(w.address)
	err = w.measure(ctx, slopes)
	clients.Close()
	cancel()
	if waitErr := group.Wait(); err == nil {
		err = waitErr
	}
	return err
}

func (w *wire) measure(ctx context.Context, slopes Slopes) error {
	if err := w.fillShard(ctx); err != nil {
		return err
	}
	steps := []func(context.Context, Slopes) error{w.measurePlace, w.measureRead, w.measureReports, w.measurePull, w.measureConnections}
	for _, step := range steps {
		if err := step(ctx, slopes); err != nil {
			return err
		}
	}
	return nil
}

// fillShard makes every replica a candidate.
func (w *wire) fillShard(ctx context.Context) error {
	for _, instance := range instances(measuredReplicas) {
		report := comfreyworks.DirectoryReport{
			Instance: instance.ID, Full: true, Sequence: 1, PrefillTime: 40 * time.Microsecond,
		}
		if _, err := w.client.Report(ctx, peer.ReportArgs{Report: report}); err != nil {
			return err
		}
	}
	return nil
}

// cost makes calls and returns bytes and processor time of each.
func (w *wire) cost(calls int, call func() error) (bytes, nanos float64, err error) {
	for range warmUpCalls {
		if err := call(); err != nil {
			return 0, 0, err
		}
	}
	before := w.bytes.Load()
	nanos, err = cpuOf(calls, call)
	return float64(w.bytes.Load()-before) / float64(calls), nanos, err
}

func (w *wire) measurePlace(ctx context.Context, slopes Slopes) error {
	chain := make(comfreyworks.PrefixChain, placedLevels)
	for i, change := range changes(1, placedLevels) {
		chain[i] = comfreyworks.PrefixLevel{Hash: change.Hash, Tokens: (i + 1) * 1200}
	}
	request := comfreyworks.PlaceRequest{Pool: "lm-pool", Chain: chain}
	bytes, nanos, err := w.cost(trafficCalls, func() error {
		_, err := w.client.Place(ctx, request, placeTimeout)
		return err
	})
	slopes.set(SlopePlaceBytes, bytes, unitBytes)
	slopes.set(SlopePlaceCPU, nanos, unitNanos)
	return err
}

func (w *wire) measureRead(ctx context.Context, slopes Slopes) error {
	_, nanos, err := w.cost(trafficCalls, func() error {
		_, err := w.client.Read(ctx, "cmpl-0193d0f0/1", 100, time.Second)
		return err
	})
	slopes.set(SlopeReadCPU, nanos, unitNanos)
	return err
}

func (w *wire) measureReports(ctx context.Context, slopes Slopes) error {
	sequence := uint64(1)
	report := func(n int) func() error {
		list := changes(1000, n)
		return func() error {
			sequence++
			_, err := w.client.Report(ctx, peer.ReportArgs{Pool: "lm-pool", Report: comfreyworks.DirectoryReport{
				Instance: "lm-pool-0/0", Incarnation: 1, Weights: "2026-10", Sequence: sequence, Full: n > 0,
				Changes: list, QueuedTokens: 9000, Running: 12, PrefillTime: 40 * time.Microsecond,
			}})
			return err
		}
	}
	bytes, nanos, err := w.cost(trafficCalls, report(0))
	if err != nil {
		return err
	}
	large, _, err := w.cost(trafficCalls/reportedChanges, report(reportedChanges))
	slopes.set(SlopeReportBytes, bytes, unitBytes)
	slopes.set(SlopeReportCPU, nanos, unitNanos)
	slopes.set(SlopeChangeBytes, (large-bytes)/reportedChanges, unitBytes)
	return err
}

func (w *wire) measurePull(ctx context.Context, slopes Slopes) error {
	bytes, nanos, err := w.cost(trafficCalls, func() error {
		_, err := w.client.Pull(ctx, 1300)
		return err
	})
	slopes.set(SlopePullBytes, bytes, unitBytes)
	slopes.set(SlopePullCPU, nanos, unitNanos)
	return err
}

// measureConnections holds many connections open, each of which was used.
func (w *wire) measureConnections(ctx context.Context, slopes Slopes) error {
	var kept []*peer.Clients
	before := heap()
	for range measuredConnections {
		clients := peer.NewClients(peer.ClientOptions{Secret: trafficSecret, Clock: clockwork.NewRealClock()})
		kept = append(kept, clients)
		if _, err := clients.To(w.address).Read(ctx, "s", 0, 0); err != nil {
			return err
		}
	}
	slopes.set(SlopeConnectionMemory, (heap()-before)/measuredConnections, unitBytes)
	for _, clients := range kept {
		clients.Close()
	}
	return nil
}
