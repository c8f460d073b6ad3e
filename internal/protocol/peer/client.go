package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"comfreyworks"
	"comfreyworks/internal/state/faults"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindNotSent means that the peer has not received the call.
	KindNotSent Kind = "not sent"
	// KindNoAnswer means that no answer arrived; the call may have been executed.
	KindNoAnswer Kind = "no answer"
	// KindRemote means that the peer answered with an error.
	KindRemote Kind = "remote error"
	// KindSecret means that the handshake failed because one side did not prove
	// that it knows the shared secret or did not accept the other's proof.
	KindSecret Kind = "secret not accepted"
)

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

// notSent returns an error that wraps ErrNotSent and a cause, which may be nil.
func notSent(op string, kind Kind, err error) error {
	if err == nil {
		return &Error{Op: op, Kind: kind, Err: comfreyworks.ErrNotSent}
	}
	return &Error{Op: op, Kind: kind, Err: fmt.Errorf("%w: %w", comfreyworks.ErrNotSent, err)}
}

// noAnswer returns an error that wraps ErrNoAnswer and a cause.
func noAnswer(op string, err error) error {
	return &Error{Op: op, Kind: KindNoAnswer, Err: fmt.Errorf("%w: %w", comfreyworks.ErrNoAnswer, err)}
}

const (
	// dialTimeout limits the opening of a TCP connection.
	dialTimeout = 3 * time.Second
	// maxExtensions limits how often the timeout of a call to a slow peer is
	// extended.
	maxExtensions = 5
	// redialDelay is how long calls fail immediately after a failed dial.
	redialDelay = 100 * time.Millisecond
	// callTimeout limits a call that the peer answers immediately.
	callTimeout = 2 * time.Second
	// serviceName is the net/rpc service name under which servers register their
	// receiver.
	serviceName = "Peer"
)

// Dial opens a connection to a peer. Tests pass one that injects faults.
type Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// ClientOptions configures Clients.
type ClientOptions struct {
	Secret string
	Clock  comfreyworks.Clock
	// Dial opens connections; nil means TCP.
	Dial Dial
	// Limits bounds the answers of peers.
	Limits MessageLimits
	// Faults records panics while answers are decoded.
	Faults *faults.Recorder
}

// Clients holds one client for each address.
type Clients struct {
	options ClientOptions
	mu      sync.Mutex
	clients map[netip.AddrPort]*Client
}

// NewClients returns an empty set of clients.
func NewClients(options ClientOptions) *Clients {
	if options.Dial == nil {
		options.Dial = dialTCP
	}
	return &Clients{options: options, clients: make(map[netip.AddrPort]*Client)}
}

func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", address.String())
}

// To returns the client for an address and creates it if necessary.
func (c *Clients) To(address netip.AddrPort) *Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[address]
	if !ok {
		client = &Client{options: &c.options, address: address}
		c.clients[address] = client
	}
	return client
}

// Retain closes and removes the clients of all addresses that are not listed.
func (c *Clients) Retain(addresses map[netip.AddrPort]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, client := range c.clients {
		if !addresses[address] {
			client.drop(nil)
			delete(c.clients, address)
		}
	}
}

// Close closes all connections.
func (c *Clients) Close() { c.Retain(nil) }

// Client calls one peer. It opens a connection when a call needs one.
type Client struct {
	options *ClientOptions
	address netip.AddrPort
	dialing singleflight.Group
	mu      sync.Mutex
	conn    *connection
	// dialErr is the error of the last dial, or nil.
	dialErr      error
	dialFailedAt time.Time
}

// Sidecar implements comfreyworks.SidecarClients.
func (c *Clients) Sidecar(instance comfreyworks.Instance) comfreyworks.Sidecar {
	return c.To(instance.Address)
}

var (
	_ comfreyworks.SidecarClients = (*Clients)(nil)
	_ comfreyworks.Sidecar        = (*Client)(nil)
	_ comfreyworks.ConfigPeer     = (*Client)(nil)
	_ comfreyworks.GatewayClient  = (*Client)(nil)
)

// Start implements comfreyworks.Sidecar.
func (c *Client) Start(ctx context.Context, attempt comfreyworks.GenerateAttempt) (*comfreyworks.Refusal, error) {
	reply, err := call[StartReply](ctx, c, "Start", StartArgs{Work: attempt}, callTimeout)
	return reply.Refusal, err
}

// Read implements comfreyworks.Sidecar.
func (c *Client) Read(ctx context.Context, id comfreyworks.StreamID, from int, wait time.Duration) (comfreyworks.StreamUpdate, error) {
	args := ReadArgs{Stream: id, From: from, Wait: wait}
	return call[comfreyworks.StreamUpdate](ctx, c, "Read", args, wait+callTimeout)
}

// Cancel implements comfreyworks.Sidecar.
func (c *Client) Cancel(ctx context.Context, id comfreyworks.StreamID) error {
	_, err := call[Empty](ctx, c, "Cancel", CancelArgs{Stream: id}, callTimeout)
	return err
}

// Call implements comfreyworks.Sidecar.
func (c *Client) Call(ctx context.Context, attempt comfreyworks.ServiceAttempt) (comfreyworks.ServiceOutcome, error) {
	return call[comfreyworks.ServiceOutcome](ctx, c, "Call", attempt, attempt.Remaining+callTimeout)
}

// Place implements comfreyworks.Sidecar.
func (c *Client) Place(ctx context.Context, request comfreyworks.PlaceRequest, timeout time.Duration) (comfreyworks.Placement, error) {
	return call[comfreyworks.Placement](ctx, c, "Place", request, timeout)
}

// Pull implements comfreyworks.ConfigPeer.
func (c *Client) Pull(ctx context.Context, since comfreyworks.ConfigRevision) (comfreyworks.ConfigUpdate, error) {
	return call[comfreyworks.ConfigUpdate](ctx, c, "Pull", PullArgs{Since: since}, callTimeout)
}

// Report sends a report to a directory shard.
func (c *Client) Report(ctx context.Context, args ReportArgs) (ReportReply, error) {
	return call[ReportReply](ctx, c, "Report", args, callTimeout)
}

// Sync implements comfreyworks.GatewayClient.
func (c *Client) Sync(ctx context.Context, state comfreyworks.GatewayState) (comfreyworks.GatewayUpdate, error) {
	update, err := call[comfreyworks.GatewayUpdate](ctx, c, "Sync", state, callTimeout)
	c.setAsideUpstreams(update.Upstreams)
	return update, err
}

// Notify implements comfreyworks.GatewayClient.
func (c *Client) Notify(ctx context.Context, notices comfreyworks.WeightsLoadNotices) error {
	_, err := call[Empty](ctx, c, "Notify", notices, callTimeout)
	return err
}

// FindStream implements comfreyworks.GatewayClient.
func (c *Client) FindStream(ctx context.Context, stream uint32) (release uint32, found bool, err error) {
	reply, err := call[FindStreamReply](ctx, c, "FindStream", FindStreamArgs{Stream: stream}, callTimeout)
	return reply.Release, reply.Found, err
}

// call calls a method of the peer. The timeout includes the time to connect and
// may be extended as described at callDeadline.
func call[R any](ctx context.Context, c *Client, method string, args any, timeout time.Duration) (R, error) {
	var zero R
	timer := c.options.Clock.NewTimer(timeout)
	defer timer.Stop()
	conn, err := c.connect(ctx, timer.Chan())
	if err != nil {
		return zero, err
	}
	conn.addCall()
	defer conn.removeCall()
	sentAt := c.options.Clock.Now()
	reply := new(R)
	deadline := callDeadline{timer: timer, timeout: timeout, conn: conn, lastReads: conn.reads.Load()}
	pending := conn.rpc.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	for {
		select {
		case <-pending.Done:
			return *reply, c.callError(conn, method, pending.Error)
		case <-timer.Chan():
			if deadline.extend() {
				continue
			}
			c.noteSilence(conn, &deadline, sentAt)
			return zero, noAnswer(method, context.DeadlineExceeded)
		case <-ctx.Done():
			c.noteSilence(conn, &deadline, sentAt)
			return zero, noAnswer(method, context.Cause(ctx))
		}
	}
}

// noteSilence retires a connection on which calls have waited in vain for too long. After a
// partition the kernel may not send anything on it for as long as that lasted.
func (c *Client) noteSilence(conn *connection, deadline *callDeadline, sentAt time.Time) {
	now := c.options.Clock.Now()
	if deadline.noNewReads() && conn.silentFor(now, now.Sub(sentAt)) >= callTimeout {
		c.retire(conn)
	}
}

// callError converts the error of a finished call and closes the connection
// unless the peer answered. Only ErrShutdown guarantees that nothing was sent,
// because net/rpc returns it before it writes anything; see ReadResponseHeader.
func (c *Client) callError(conn *connection, method string, err error) error {
	if err == nil {
		return nil
	}
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return &Error{Op: method, Kind: KindRemote, Err: err}
	}
	c.drop(conn)
	if errors.Is(err, rpc.ErrShutdown) {
		return notSent(method, KindNotSent, err)
	}
	return noAnswer(method, err)
}

// connect returns the open connection or dials one. Concurrent callers share one
// dial, but each waits no longer than its own timeout. For redialDelay after a
// failed dial it returns the error of that dial.
func (c *Client) connect(ctx context.Context, timeout <-chan time.Time) (*connection, error) {
	conn, err := c.currentConn()
	if conn != nil || err != nil {
		return conn, err
	}
	dialed := c.dialing.DoChan("", c.dial)
	select {
	case result := <-dialed:
		if result.Err != nil {
			return nil, result.Err
		}
		return result.Val.(*connection), nil
	case <-timeout:
		return nil, notSent("dial", KindNotSent, context.DeadlineExceeded)
	case <-ctx.Done():
		return nil, notSent("dial", KindNotSent, context.Cause(ctx))
	}
}

// currentConn returns the open connection, or nil if there is none. It returns
// the error of the last dial if redialDelay has not passed since.
func (c *Client) currentConn() (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		return c.conn, nil
	}
	if c.dialErr != nil && c.options.Clock.Since(c.dialFailedAt) < redialDelay {
		return nil, c.dialErr
	}
	return nil, nil
}

// dial opens a connection and stores it, or stores the error. It returns the open
// connection if another call has opened one in the meantime.
func (c *Client) dial() (any, error) {
	if conn, _ := c.currentConn(); conn != nil {
		return conn, nil
	}
	conn, err := c.openConnection()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
	c.dialErr = err
	c.dialFailedAt = c.options.Clock.Now()
	return conn, err
}

// openConnection dials once and authenticates the connection.
func (c *Client) openConnection() (*connection, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := c.options.Dial(ctx, c.address)
	if err != nil {
		return nil, notSent("dial", KindNotSent, err)
	}
	if err := authenticate(conn, c.options.Secret); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return newConnection(conn, c.options.Limits, c.options.Faults), nil
}

// authenticate runs the client's half of the handshake within handshakeTimeout.
func authenticate(conn net.Conn, secret string) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return notSent("handshake", KindNotSent, err)
	}
	if err := clientHandshake(conn, secret); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

// retire stops using a connection for new calls. The connection stays open until
// its running calls end. If the client uses another connection by now, retire
// does nothing.
func (c *Client) retire(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn = nil
		conn.retire()
	}
}

// drop closes a connection immediately unless the client uses another one by now;
// nil means the connection in use.
func (c *Client) drop(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil || (conn != nil && c.conn != conn) {
		return
	}
	_ = c.conn.rpc.Close()
	c.conn = nil
}
