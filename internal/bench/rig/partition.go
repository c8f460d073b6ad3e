package rig

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"comfreyworks"
)

// partition cuts instances off from their peers. A cut connection goes silent:
// what is written to it vanishes, and new ones cannot be made. Nobody is told.
type partition struct {
	mu  sync.Mutex
	cut map[netip.AddrPort]bool
	// addresses finds an instance's address.
	addresses map[comfreyworks.InstanceID]netip.AddrPort
}

func newPartition() *partition {
	return &partition{
		cut:       make(map[netip.AddrPort]bool),
		addresses: make(map[comfreyworks.InstanceID]netip.AddrPort),
	}
}

func (p *partition) add(id comfreyworks.InstanceID, address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses[id] = address
}

// set cuts an instance off or joins it again.
func (p *partition) set(id comfreyworks.InstanceID, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[p.addresses[id]] = cut
}

func (p *partition) between(a, b netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut[a] || p.cut[b]
}

// dialer returns the way in which an instance dials its peers.
func (p *partition) dialer(from netip.AddrPort) func(context.Context, netip.AddrPort) (net.Conn, error) {
	return func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		if p.between(from, to) {
			<-ctx.Done()
			return nil, context.Cause(ctx)
		}
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", to.String())
		if err != nil {
			return nil, err
		}
		return &cuttableConn{Conn: conn, partition: p, from: from, to: to}, nil
	}
}

// cuttableConn is a connection that a partition can silence.
type cuttableConn struct {
	net.Conn
	partition *partition
	from, to  netip.AddrPort
}

// Write implements io.Writer.
func (c *cuttableConn) Write(b []byte) (int, error) {
	if c.partition.between(c.from, c.to) {
		return len(b), nil
	}
	return c.Conn.Write(b)
}
