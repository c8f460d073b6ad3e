// Package proxy is a TCP proxy on loopback that injects network faults into the
// connections that it forwards.
//
// # Usage
//
//	p, err := proxy.New(target)
//	p.Set(proxy.Fault{Kind: proxy.Stalled})
//	p.Set(proxy.Fault{}) // removes the fault
//	p.Close()
package proxy

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Kind is a kind of network fault.
type Kind string

// Kinds of network faults.
const (
	// None forwards everything without delay.
	None Kind = ""
	// Delayed delays the data of both directions.
	Delayed Kind = "slow"
	// ResetAll resets the open connections and every new one.
	ResetAll Kind = "refused"
	// Stalled withholds the data of both directions until the fault is removed.
	Stalled Kind = "silent"
	// ResponsesStalled withholds the data from the upstream until the fault is
	// removed.
	ResponsesStalled Kind = "deaf"
)

// Fault is a network fault that affects all connections of a proxy.
type Fault struct {
	Kind Kind
	// Delay applies to each read of at most bufferSize bytes. Only Delayed uses it.
	Delay time.Duration
	// From is the text from which on data is withheld. Each connection forwards its
	// responses until one read contains it. Only ResponsesStalled uses it.
	From string
	// Torn means that half of the first data that is withheld is forwarded.
	Torn bool
}

// withholds reports whether the fault withholds data.
func (f *Fault) withholds(data []byte, responses bool) bool {
	return f.Kind == Stalled || f.Kind == ResponsesStalled && responses && bytes.Contains(data, []byte(f.From))
}

const (
	// pollInterval is the time between two checks whether a fault was removed.
	pollInterval = 5 * time.Millisecond
	// dialTimeout is the timeout for connecting to the upstream on loopback.
	dialTimeout = 2 * time.Second
	// bufferSize is the maximum number of bytes that are forwarded at once.
	bufferSize = 32 << 10
)

// Proxy forwards connections to one upstream. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   netip.AddrPort
	group    errgroup.Group
	mu       sync.Mutex
	fault    Fault
	conns    map[net.Conn]struct{}
	closed   bool
}

// New returns a proxy that listens on a free loopback port and forwards
// connections to target.
func New(target netip.AddrPort) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, conns: make(map[net.Conn]struct{})}
	p.group.Go(p.accept)
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

// Set replaces the injected fault; the zero value removes it.
func (p *Proxy) Set(fault Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	if fault.Kind == ResetAll {
		p.resetAll()
	}
}

// Close resets all connections, stops listening and waits until the proxy's
// goroutines have ended.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	p.resetAll()
	p.mu.Unlock()
	_ = p.group.Wait()
}

// AwaitIdle waits until no connection is open or ctx ends.
func (p *Proxy) AwaitIdle(ctx context.Context) {
	for ctx.Err() == nil {
		p.mu.Lock()
		open := len(p.conns)
		p.mu.Unlock()
		if open == 0 {
			return
		}
		time.Sleep(pollInterval)
	}
}

// resetAll resets all open connections. The caller must hold p.mu.
func (p *Proxy) resetAll() {
	for conn := range p.conns {
		reset(conn)
		delete(p.conns, conn)
	}
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *Proxy) accept() error {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return nil
		}
		p.group.Go(func() error {
			p.serve(conn)
			return nil
		})
	}
}

// track adds an open connection, so that resetAll includes it. It returns false
// if the connection has to be reset instead.
func (p *Proxy) track(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.fault.Kind == ResetAll {
		return false
	}
	p.conns[conn] = struct{}{}
	return true
}

func (p *Proxy) serve(client net.Conn) {
	defer reset(client)
	if !p.track(client) {
		return
	}
	defer p.untrack(client)
	upstream, err := net.DialTimeout("tcp", p.target.String(), dialTimeout)
	if err != nil {
		return
	}
	defer reset(upstream)
	if !p.track(upstream) {
		return
	}
	defer p.untrack(upstream)
	var group errgroup.Group
	group.Go(func() error { return p.forward(upstream, client, false) })
	group.Go(func() error { return p.forward(client, upstream, true) })
	_ = group.Wait()
}

func (p *Proxy) untrack(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

// forward copies the data of one direction. At its end it closes only the write
// side of to, because the client may still be waiting for the rest of a response. It
// passes a reset on.
// If responses is true, from is the upstream.
func (p *Proxy) forward(to, from net.Conn, responses bool) error {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			first := p.firstPart(buffer[:n], responses)
			_, err := to.Write(buffer[:first])
			if err == nil && p.applyFault(buffer[:n], responses) {
				_, err = to.Write(buffer[first:n])
			}
			if err != nil {
				reset(from)
				return err
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF {
				_ = tcp.CloseWrite()
			} else {
				reset(to)
			}
			return err
		}
	}
}

// firstPart returns how much of the data is forwarded although the current fault withholds
// the rest.
func (p *Proxy) firstPart(data []byte, responses bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault.Torn && p.fault.withholds(data, responses) {
		return len(data) / 2
	}
	return 0
}

// applyFault blocks as long as the current fault delays or withholds data. It
// returns false if the proxy was closed.
func (p *Proxy) applyFault(data []byte, responses bool) bool {
	for delayed := false; ; time.Sleep(pollInterval) {
		p.mu.Lock()
		fault, closed := p.fault, p.closed
		p.mu.Unlock()
		switch {
		case closed:
			return false
		case fault.withholds(data, responses):
			continue
		case fault.Kind == Delayed && !delayed:
			time.Sleep(fault.Delay)
		}
		return true
	}
}
