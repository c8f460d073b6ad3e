package gateway

import (
	"context"

	"comfreyworks"
	"comfreyworks/internal/coordination/peering"
	"comfreyworks/internal/state/streamorigins"
)

// streamOrigins combines the origins of this gateway's streams with those that its
// peers know.
type streamOrigins struct {
	log     *streamorigins.Log
	peering *peering.Peering
}

var _ comfreyworks.StreamOrigins = (*streamOrigins)(nil)

// Add implements comfreyworks.StreamOrigins.
func (o *streamOrigins) Add(stream comfreyworks.RequestID, release uint32) {
	o.log.Add(stream, release)
}

// StreamOrigin implements comfreyworks.StreamOrigins.
func (o *streamOrigins) StreamOrigin(ctx context.Context, stream comfreyworks.RequestID) (uint32, bool) {
	return o.peering.StreamOrigin(ctx, stream)
}

// passesOrigins reports whether other gateways need the origins of this gateway's
// streams: whether a pool with streams that callers may take up has, or had recently,
// several releases.
func (g *Gateway) passesOrigins() bool {
	table, _ := g.catalog.Routing()
	if table == nil {
		return false
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
