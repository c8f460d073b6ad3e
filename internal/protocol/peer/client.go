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
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindNotSent means that the other side has not seen the call.
	KindNotSent Kind = "not sent"
	// KindNoAnswer means that the call was sent and got no answer in time.
	KindNoAnswer Kind = "no answer"
	// KindRemote means that the other side answered with an error.
	KindRemote Kind = "remote error"
	// KindSecret means that the shared secret was not accepted.
	KindSecret Kind = "secret not accepted"
)

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

// notSent wraps a cause in the promise that the other side saw nothing.
func notSent(op string, kind Kind, err error) error {
	if err == nil {
		return &Error{Op: op, Kind: kind, Err: comfreyworks.ErrNotSent}
	}
	return &Error{Op: op, Kind: kind, Err: fmt.Errorf("%w: %w", comfreyworks.ErrNotSent, err)}
}

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 3 * time.Second
	// maxExtensions bounds how often a call to a slow peer is given its time
	// again.
	maxExtensions = 5
	// redialDelay is how long calls fail at once after a failed dial.
	redialDelay = 100 * time.Millisecond
	// callTimeout bounds a call that is answered at once.
	callTimeout = 2 * time.Second
	// serviceName is the name that servers register their receiver under.
	serviceName = "Peer"
)

// Dial opens a connection to a peer. Tests pass faulty ones.
type Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// ClientOptions configures Clients.
type ClientOptions struct {
	Secret string
	Clock  comfreyworks.Clock
	// Dial opens connections; nil means TCP.
	Dial Dial
}

// Clients keeps one client for each address.
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

// To returns the client for an address.
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

// Keep closes and forgets the clients of all other addresses.
func (c *Clients) Keep(addresses map[netip.AddrPort]bool) {
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
func (c *Clients) Close() { c.Keep(nil) }

// Client calls one peer. It dials when it has to.
type Client struct {
	options  *ClientOptions
	address  netip.AddrPort
	dialing  singleflight.Group
	mu       sync.Mutex
	open     *link
	failure  error
	failedAt time.Time
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
func (c *Client) Start(ctx context.Context, work comfreyworks.GenerateAttempt) (*comfreyworks.Refusal, error) {
	reply, err := call[StartReply](ctx, c, "Start", StartArgs{Work: work}, callTimeout)
	return reply.Refusal, err
}

// Read implements comfreyworks.Sidecar.
func (c *Client) Read(ctx context.Context, id comfreyworks.StreamID, from int, wait time.Duration) (comfreyworks.StreamUpdate, error) {
	args := ReadArgs{Stream: id, From: from, Wait: wait}
	return call[comfreyworks.StreamUpdate](ctx, c, "Read", args, wait+callTimeout)
}

// Cancel implements comfreyworks.Sidecar.
func (c *Client) Cancel(ctx context.Context, id comfreyworks.StreamID) error {
	_, err := call[Nothing](ctx, c, "Cancel", CancelArgs{Stream: id}, callTimeout)
	return err
}

// Call implements comfreyworks.Sidecar.
func (c *Client) Call(ctx context.Context, work comfreyworks.ServiceAttempt) (comfreyworks.ServiceOutcome, error) {
	return call[comfreyworks.ServiceOutcome](ctx, c, "Call", work, work.Remaining+callTimeout)
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
	return call[comfreyworks.GatewayUpdate](ctx, c, "Sync", state, callTimeout)
}

// Notify implements comfreyworks.GatewayClient.
func (c *Client) Notify(ctx context.Context, notice comfreyworks.WeightsLoadNotice) error {
	_, err := call[Nothing](ctx, c, "Notify", notice, callTimeout)
	return err
}

func call[R any](ctx context.Context, c *Client, method string, args any, timeout time.Duration) (R, error) {
	var none R
	timer := c.options.Clock.NewTimer(timeout)
	defer timer.Stop()
	l, err := c.connection(ctx, timer.Chan())
	if err != nil {
		return none, err
	}
	l.enter()
	defer l.leave()
	reply := new(R)
	p := patience{timer: timer, timeout: timeout, link: l, heard: l.heard.Load()}
	pending := l.rpc.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	for {
		select {
		case <-pending.Done:
			return *reply, c.outcome(l, method, pending.Error)
		case <-timer.Chan():
			if p.extend() {
				continue
			}
			if p.silent() && l.quietFor(c.options.Clock.Now(), timeout) >= callTimeout {
				c.retire(l)
			}
			return none, &Error{Op: method, Kind: KindNoAnswer, Err: context.DeadlineExceeded}
		case <-ctx.Done():
			return none, &Error{Op: method, Kind: KindNoAnswer, Err: context.Cause(ctx)}
		}
	}
}

// outcome sorts the error of a finished call. net/rpc reports ErrShutdown
// before it writes anything, so only that one promises that nothing was sent.
func (c *Client) outcome(l *link, method string, err error) error {
	if err == nil {
		return nil
	}
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return &Error{Op: method, Kind: KindRemote, Err: err}
	}
	c.drop(l)
	if errors.Is(err, rpc.ErrShutdown) {
		return notSent(method, KindNotSent, err)
	}
	return &Error{Op: method, Kind: KindNoAnswer, Err: err}
}

// connection returns the open connection or dials one. Callers that arrive
// while one of them dials share the result, and each waits only as long as its
// own call may take. For a short while after a failed dial calls fail at once.
func (c *Client) connection(ctx context.Context, timeout <-chan time.Time) (*link, error) {
	l, err := c.current()
	if l != nil || err != nil {
		return l, err
	}
	dialed := c.dialing.DoChan("", c.dial)
	select {
	case result := <-dialed:
		if result.Err != nil {
			return nil, result.Err
		}
		return result.Val.(*link), nil
	case <-timeout:
		return nil, notSent("dial", KindNotSent, context.DeadlineExceeded)
	case <-ctx.Done():
		return nil, notSent("dial", KindNotSent, context.Cause(ctx))
	}
}

func (c *Client) current() (*link, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open != nil {
		return c.open, nil
	}
	if c.failure != nil && c.options.Clock.Since(c.failedAt) < redialDelay {
		return nil, c.failure
	}
	return nil, nil
}

func (c *Client) dial() (any, error) {
	if l, _ := c.current(); l != nil {
		return l, nil
	}
	l, err := c.dialOnce()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open = l
	c.failure = err
	c.failedAt = c.options.Clock.Now()
	return l, err
}

func (c *Client) dialOnce() (*link, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := c.options.Dial(ctx, c.address)
	if err != nil {
		return nil, notSent("dial", KindNotSent, err)
	}
	if err := openConn(conn, c.options.Secret); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return newLink(conn), nil
}

func openConn(conn net.Conn, secret string) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return notSent("handshake", KindNotSent, err)
	}
	if err := respond(conn, secret); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

// retire stops using a connection if it is still the current one, and leaves it
// to the calls that wait on it.
func (c *Client) retire(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == l {
		c.open = nil
		l.retire()
	}
}

// drop closes a connection if it is still the current one; nil means any.
func (c *Client) drop(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil || (l != nil && c.open != l) {
		return
	}
	_ = c.open.rpc.Close()
	c.open = nil
}
