package gateway

import (
	"context"

	"comfreyworks"
	"comfreyworks/internal/coordination/peering"
	"comfreyworks/internal/state/streamorigins"
)

const (
	// originBytes is the size of an origin in a message, and maxOriginTraffic is how many bytes
	// of origins a relay may receive in a second while it has no need for them.
	originBytes      = 14
	maxOriginTraffic = 3 << 10
)

// streamOrigins combines the origins of this gateway's streams with those that its
// peers know.
type streamOrigins struct {
	log     *streamorigins.Log
	peering *peering.Peering
	begun   *eventRate
}

var _ comfreyworks.StreamOrigins = (*streamOrigins)(nil)

// Add implements comfreyworks.StreamOrigins.
func (o *streamOrigins) Add(stream comfreyworks.RequestID, release uint32) {
	o.begun.add()
	o.log.Add(stream, release)
}

// StreamOrigin implements comfreyworks.StreamOrigins.
func (o *streamOrigins) StreamOrigin(ctx context.Context, stream comfreyworks.RequestID) (uint32, bool) {
	return o.peering.StreamOrigin(ctx, stream)
}

// passesOrigins reports whether other gateways get the origins of this gateway's streams:
// whether a pool with streams that callers may take up has, or had recently, several releases, or
// the origins take little traffic. A gateway that freezes as a new release begins can no longer
// tell what it began before.
func (g *Gateway) passesOrigins() bool {
	table, _ := g.catalog.Routing()
	if table == nil {
		return false
	}
	if g.origins.begun.perSecond()*float64(max(g.peering.MaxGateways(), 1))*originBytes <= maxOriginTraffic {
		return true
	}
	for _, route := range table.Declared().Routes {
		if route.Kind != comfreyworks.RouteStream || !route.Resumable {
			continue
		}
		for _, split := range route.Pools {
			if g.catalog.NeedsOrigins(split.Pool) {
				return true
			}
		}
	}
	return false
}

// noneBefore reports whether no gateway was ever registered. Relays register within two
// seconds of their start.
func (g *Gateway) noneBefore(ctx context.Context) (bool, error) {
	if g.options.Registry == nil {
		return false, nil
	}
	registered, err := g.options.Registry.Registered(ctx)
	return err == nil && len(registered) == 0, err
}
