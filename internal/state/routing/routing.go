// Package routing finds the route of a request and the workspace of a key.
//
// A Table is made from one version of the declared routing and never changes,
// so that it can be read without locks.
//
// # Usage
//
//	table := routing.New(declared)
//	route := table.Route("api.example", "/orders/7") // nil: no such route
//	workspace := table.Workspace(key)                // nil: no such key
//	pool := routing.Choose(route, rand.Float64())
package routing

import (
	"crypto/sha256"
	"net"
	"slices"
	"strings"

	"comfreyworks"
)

// Table is one version of the routing, arranged for look-ups.
type Table struct {
	declared comfreyworks.Routing
	// byHost holds the routes of a host, the longest prefix first.
	byHost map[string][]*comfreyworks.Route
	// byKey holds digests, so that a look-up takes as long for any wrong key.
	byKey map[[sha256.Size]byte]*comfreyworks.WorkspaceKeys
}

// New arranges a routing. The routing must not be changed afterwards.
func New(declared comfreyworks.Routing) *Table {
	t := &Table{
		declared: declared,
		byHost:   make(map[string][]*comfreyworks.Route),
		byKey:    make(map[[sha256.Size]byte]*comfreyworks.WorkspaceKeys),
	}
	for i := range declared.Routes {
		route := &declared.Routes[i]
		if route.MaxAttempts < 1 {
			route.MaxAttempts = 1
		}
		host := strings.ToLower(route.Host)
		t.byHost[host] = append(t.byHost[host], route)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *comfreyworks.Route) int {
			return len(b.PathPrefix) - len(a.PathPrefix)
		})
	}
	for i := range declared.Workspaces {
		workspace := &declared.Workspaces[i]
		for _, key := range workspace.Keys {
			t.byKey[sha256.Sum256([]byte(key))] = workspace
		}
	}
	return t
}

// Version returns the version of the routing.
func (t *Table) Version() comfreyworks.ConfigRevision { return t.declared.Version }

// Declared returns the routing that the table was made from.
func (t *Table) Declared() *comfreyworks.Routing { return &t.declared }

// Limits returns what callers may send.
func (t *Table) Limits() comfreyworks.CallerLimits { return t.declared.Limits }

// NeedsKeys reports whether requests of routes that are not public need a key.
func (t *Table) NeedsKeys() bool { return len(t.declared.Workspaces) > 0 }

// Route returns the route with the longest matching prefix, or nil.
func (t *Table) Route(host, path string) *comfreyworks.Route {
	host = strings.ToLower(host)
	routes, ok := t.byHost[host]
	if !ok {
		if name, _, err := net.SplitHostPort(host); err == nil {
			routes = t.byHost[name]
		}
	}
	for _, route := range routes {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Workspace returns the workspace that holds a key, or nil.
func (t *Table) Workspace(key string) *comfreyworks.WorkspaceKeys {
	if key == "" {
		return nil
	}
	return t.byKey[sha256.Sum256([]byte(key))]
}

// Choose picks one of a route's pools by weight, for a draw between 0 and 1.
func Choose(route *comfreyworks.Route, draw float64) comfreyworks.Pool {
	total := 0
	for _, share := range route.Pools {
		total += max(share.Weight, 0)
	}
	if total == 0 {
		return route.Pools[0].Pool
	}
	left := draw * float64(total)
	for _, share := range route.Pools {
		left -= float64(max(share.Weight, 0))
		if left < 0 {
			return share.Pool
		}
	}
	return route.Pools[len(route.Pools)-1].Pool
}
