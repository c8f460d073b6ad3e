package rig

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"comfreyworks"
)

// partition isolates instances from their peers without an error: what a
// dialer writes to an existing connection is discarded, and dialing blocks until
// its context ends. Instances are not told that they are isolated.
type partition struct {
	mu        sync.Mutex
	isolated  map[netip.AddrPort]bool
	addresses map[comfreyworks.InstanceID]netip.AddrPort
}

func newPartition() *partition {
	return &partition{
		isolated:  make(map[netip.AddrPort]bool),
		addresses: make(map[comfreyworks.InstanceID]netip.AddrPort),
	}
}

func (p *partition) addInstance(id comfreyworks.InstanceID, address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses[id] = address
}

// setIsolated isolates an instance or reconnects it.
func (p *partition) setIsolated(id comfreyworks.InstanceID, isolate bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isolated[p.addresses[id]] = isolate
}

// separates reports whether one of the two addresses is isolated.
func (p *partition) separates(a, b netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isolated[a] || p.isolated[b]
}

// dialer returns the function with which the instance at address from dials its
// peers.
func (p *partition) dialer(from netip.AddrPort) func(context.Context, netip.AddrPort) (net.Conn, error) {
	return func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		if p.separates(from, to) {
			<-ctx.Done()
			return nil, context.Cause(ctx)
		}
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", to.String())
		if err != nil {
			return nil, err
		}
		return &partitionableConn{Conn: conn, partition: p, from: from, to: to}, nil
	}
}

// partitionableConn is a connection whose writes are discarded while a
// partition separates its ends.
type partitionableConn struct {
	net.Conn
	partition *partition
	from, to  netip.AddrPort
}

// Write implements io.Writer.
func (c *partitionableConn) Write(b []byte) (int, error) {
	if c.partition.separates(c.from, c.to) {
		return len(b), nil
	}
	return c.Conn.Write(b)
}
