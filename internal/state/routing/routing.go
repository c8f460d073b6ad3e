// Package routing finds the route of a request and the workspace of an API key.
//
// A Table is built from one version of the declared routing. It is immutable and
// can be read without locks.
//
// # Usage
//
//	table := routing.New(declared)
//	route := table.Route("api.example", "/orders/7") // nil if there is no such route
//	workspace := table.Workspace(key)                // nil if there is no such key
//	pool := routing.ChoosePool(route, rand.Float64())
package routing

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"

	"comfreyworks"
)

// Table indexes one version of the routing.
type Table struct {
	declared comfreyworks.Routing
	// byHost lists the routes of each host by descending length of their path
	// prefix.
	byHost map[string][]*comfreyworks.Route
	// byKey is indexed by the SHA-256 digest of a key, so that the time of a
	// look-up does not depend on how much of a wrong key matches.
	byKey map[[sha256.Size]byte]*comfreyworks.WorkspaceKeys
	// isolated holds the names of the isolated workspaces.
	isolated    map[comfreyworks.Workspace]bool
	sharedScope string
}

// sharedCacheScope begins the cache scopes that several workspaces share.
const sharedCacheScope = "shared"

// New builds a table. It sets MaxAttempts of routes that have none to one. The
// caller must not change the routing afterwards.
func New(declared comfreyworks.Routing) *Table {
	t := &Table{
		declared: declared,
		byHost:   make(map[string][]*comfreyworks.Route),
		byKey:    make(map[[sha256.Size]byte]*comfreyworks.WorkspaceKeys),
		isolated: make(map[comfreyworks.Workspace]bool),
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
		if workspace.Isolated {
			t.isolated[workspace.Name] = true
		}
	}
	t.sharedScope = sharedScopeWithout(t.isolated)
	return t
}

// sharedScopeWithout returns the name of the cache scope that all workspaces but the given
// ones share. It differs for each set of workspaces: a scope that was named after the others
// when one of them was not isolated may contain its parts. Since the name depends on nothing
// else, gateways agree on it, and it does not matter which versions they have seen.
func sharedScopeWithout(isolated map[comfreyworks.Workspace]bool) string {
	if len(isolated) == 0 {
		return sharedCacheScope
	}
	digest := sha256.New()
	for _, name := range slices.Sorted(maps.Keys(isolated)) {
		_, _ = fmt.Fprintf(digest, "%d:%s", len(name), name)
	}
	return sharedCacheScope + ":" + hex.EncodeToString(digest.Sum(nil)[:8])
}

// CacheScope names the group of workspaces whose cached parts a request of a workspace may
// use and may add to. The workspace may be from an earlier table, or nil if requests need
// no key.
func (t *Table) CacheScope(workspace *comfreyworks.WorkspaceKeys) string {
	if workspace != nil && (workspace.Isolated || t.isolated[workspace.Name]) {
		return "workspace:" + string(workspace.Name)
	}
	return t.sharedScope
}

// Version returns the version of the routing.
func (t *Table) Version() comfreyworks.ConfigRevision { return t.declared.Version }

// Declared returns the routing that the table was built from. It must not be
// changed.
func (t *Table) Declared() *comfreyworks.Routing { return &t.declared }

// Limits returns the limits for what callers send.
func (t *Table) Limits() comfreyworks.CallerLimits { return t.declared.Limits }

// RequiresKeys reports whether requests need a key unless their route is public. A list of
// workspaces that has become empty still requires keys: all of them were revoked.
func (t *Table) RequiresKeys() bool {
	return t.declared.KeysRequired || len(t.declared.Workspaces) > 0
}

// Route returns the route with the longest path prefix that matches, or nil. The
// host may include a port and is case-insensitive.
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

// Workspace returns the workspace that a key belongs to, or nil.
func (t *Table) Workspace(key string) *comfreyworks.WorkspaceKeys {
	if key == "" {
		return nil
	}
	return t.byKey[sha256.Sum256([]byte(key))]
}

// ChoosePool returns one of the route's pools according to their weights, given a
// random number in [0, 1). If all weights are zero, it returns the first pool, and if there
// are none the empty name.
func ChoosePool(route *comfreyworks.Route, draw float64) comfreyworks.Pool {
	if len(route.Pools) == 0 {
		return ""
	}
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
