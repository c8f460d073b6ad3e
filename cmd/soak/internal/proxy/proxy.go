// Package proxy passes connections on over loopback and disturbs them.
//
// # Usage
//
//	p, err := proxy.New(target)
//	p.Set(proxy.Trouble{Kind: proxy.Silent})
//	p.Set(proxy.Trouble{})
//	p.Close()
package proxy

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Kind is what happens to connections.
type Kind string

// Kinds of trouble.
const (
	// None passes everything on.
	None Kind = ""
	// Slow delays what is sent either way.
	Slow Kind = "slow"
	// Refused resets all connections, open ones and new ones.
	Refused Kind = "refused"
	// Silent holds everything back until it ends.
	Silent Kind = "silent"
	// Deaf holds the answers back until it ends.
	Deaf Kind = "deaf"
)

// Trouble is what happens to the connections of a proxy.
type Trouble struct {
	Kind  Kind
	Delay time.Duration
}

const (
	// poll is the pause between two looks at whether a trouble has ended.
	poll = 5 * time.Millisecond
	// dialTimeout bounds the opening of a connection on loopback.
	dialTimeout = 2 * time.Second
	// bufferBytes is how much is passed on at once.
	bufferBytes = 32 << 10
)

// Proxy is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   netip.AddrPort
	group    errgroup.Group
	mu       sync.Mutex
	trouble  Trouble
	conns    map[net.Conn]struct{}
	closed   bool
}

// New listens on loopback and passes connections on to a target.
func New(target netip.AddrPort) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, conns: make(map[net.Conn]struct{})}
	p.group.Go(p.accept)
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

// Set changes what happens to connections.
func (p *Proxy) Set(trouble Trouble) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trouble = trouble
	if trouble.Kind == Refused {
		p.resetAll()
	}
}

// Close ends all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	p.resetAll()
	p.mu.Unlock()
	_ = p.group.Wait()
}

// resetAll must be called with the mutex held.
func (p *Proxy) resetAll() {
	for conn := range p.conns {
		reset(conn)
		delete(p.conns, conn)
	}
}

// reset closes a connection so that the other end sees a reset.
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

// keep registers a connection; false means that it is to be reset.
func (p *Proxy) keep(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.trouble.Kind == Refused {
		return false
	}
	p.conns[conn] = struct{}{}
	return true
}

func (p *Proxy) serve(caller net.Conn) {
	defer reset(caller)
	if !p.keep(caller) {
		return
	}
	defer p.drop(caller)
	upstream, err := net.DialTimeout("tcp", p.target.String(), dialTimeout)
	if err != nil {
		return
	}
	defer reset(upstream)
	if !p.keep(upstream) {
		return
	}
	defer p.drop(upstream)
	var group errgroup.Group
	group.Go(func() error { return p.pass(upstream, caller, false) })
	group.Go(func() error { return p.pass(caller, upstream, true) })
	_ = group.Wait()
}

func (p *Proxy) drop(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

// pass copies one direction. The end of one closes the other end for writing, as
// a caller may wait for the rest of an answer.
func (p *Proxy) pass(to, from net.Conn, answers bool) error {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.hold(answers) {
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return err
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return err
		}
	}
}

// hold waits as long as the trouble says; false means that the proxy is closed.
func (p *Proxy) hold(answers bool) bool {
	for delayed := false; ; time.Sleep(poll) {
		p.mu.Lock()
		trouble, closed := p.trouble, p.closed
		p.mu.Unlock()
		switch {
		case closed:
			return false
		case trouble.Kind == Silent || (trouble.Kind == Deaf && answers):
			continue
		case trouble.Kind == Slow && !delayed:
			time.Sleep(trouble.Delay)
		}
		return true
	}
}
