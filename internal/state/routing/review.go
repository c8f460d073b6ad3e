package routing

import (
	"fmt"
	"strings"

	"comfreyworks"
)

// List names a list of a declared routing.
type List string

// Lists of a declared routing.
const (
	Routes     List = "routes"
	Pools      List = "pools"
	Workspaces List = "workspaces"
)

// Field names the field of an entry to which a warning refers.
type Field string

// Fields of entries.
const (
	FieldName      Field = "name"
	FieldHost      Field = "host"
	FieldPrefix    Field = "prefix"
	FieldPools     Field = "pools"
	FieldTimeout   Field = "timeout"
	FieldObjective Field = "objective"
	FieldGap       Field = "gap"
	FieldAttempts  Field = "attempts"
	FieldAffinity  Field = "affinity"
	FieldResumable Field = "resumable"
	FieldKeys      Field = "keys"
)

// minGateways is the least number of gateways among which the retry budget is divided.
const minGateways = 6

// Warning is a fault of a routing that is well-formed.
type Warning struct {
	List List
	// Index is that of the entry; negative if the warning is about the whole list.
	Index int
	Field Field
	// Message says what was found and what it means. It contains no keys.
	Message string
}

// reviewer collects warnings.
type reviewer struct {
	declared *comfreyworks.Routing
	pools    map[comfreyworks.Pool]*comfreyworks.UpstreamPool
	warnings []Warning
}

// Review returns warnings about a routing: entries that can never match or that nothing
// refers to, and limits that contradict each other or the bounds of gateways.
func Review(declared *comfreyworks.Routing, bounds *comfreyworks.GatewayBounds) []Warning {
	r := &reviewer{declared: declared, pools: make(map[comfreyworks.Pool]*comfreyworks.UpstreamPool)}
	for i := range declared.Pools {
		r.pools[declared.Pools[i].Name] = &declared.Pools[i]
	}
	r.shadowedRoutes()
	for i := range declared.Routes {
		r.routeLimits(i, bounds)
		r.routePools(i)
	}
	r.unusedPools()
	r.workspaceKeys()
	return r.warnings
}

func (r *reviewer) warn(list List, index int, field Field, format string, args ...any) {
	r.warnings = append(r.warnings, Warning{list, index, field, fmt.Sprintf(format, args...)})
}

// shadowedRoutes finds routes that no request reaches. Of routes with the same host and
// prefix the first one is used.
func (r *reviewer) shadowedRoutes() {
	type key struct{ host, prefix string }
	first := make(map[key]string)
	for i := range r.declared.Routes {
		route := &r.declared.Routes[i]
		k := key{strings.ToLower(route.Host), route.PathPrefix}
		other, shadowed := first[k]
		switch {
		case route.Host == "":
			r.warn(Routes, i, FieldHost, "no host, so no request matches")
		case route.PathPrefix != "" && !strings.HasPrefix(route.PathPrefix, "/"):
			r.warn(Routes, i, FieldPrefix, "%q does not start with /, so no request matches", route.PathPrefix)
		case shadowed:
			r.warn(Routes, i, FieldPrefix, "%s%s never matches, because route %q is the same", route.Host, route.PathPrefix, other)
		default:
			first[k] = route.Name
		}
	}
}

func (r *reviewer) routeLimits(i int, bounds *comfreyworks.GatewayBounds) {
	route := &r.declared.Routes[i]
	switch {
	case route.Timeout <= 0:
		r.warn(Routes, i, FieldTimeout, "no timeout, so requests without a deadline of their own end at once")
	case route.Timeout < route.Objective:
		r.warn(Routes, i, FieldObjective, "found %s, more than the timeout, %s", route.Objective, route.Timeout)
	case route.Kind == comfreyworks.RouteStream && route.Timeout < route.MaxEventGap:
		r.warn(Routes, i, FieldGap, "found %s, more than the timeout, %s", route.MaxEventGap, route.Timeout)
	}
	if route.Resumable && route.Kind != comfreyworks.RouteStream {
		r.warn(Routes, i, FieldResumable, "has no effect, because the route is not a stream")
	}
	if bounds == nil || !route.Repeatable() {
		return
	}
	retries := int(float64(bounds.RetrySlack)/minGateways + bounds.RetryRatio)
	if route.MaxAttempts-1 > retries {
		r.warn(Routes, i, FieldAttempts, "found %d, but the retry budget of one gateway allows at most %d retries of a request", route.MaxAttempts, retries)
	}
}

func (r *reviewer) routePools(i int) {
	route := &r.declared.Routes[i]
	engines, total := false, 0
	for _, share := range route.Pools {
		total += max(share.Weight, 0)
		pool := r.pools[share.Pool]
		switch {
		case pool == nil:
			r.warn(Routes, i, FieldPools, "pool %q is not declared, so its requests are refused", share.Pool)
		case pool.Store != nil:
			r.warn(Routes, i, FieldPools, "%q is a cache store, which serves no requests", share.Pool)
		default:
			engines = engines || len(pool.Models) > 0
		}
	}
	if len(route.Pools) > 1 && total == 0 {
		r.warn(Routes, i, FieldPools, "all weights are zero, so all requests go to %q", route.Pools[0].Pool)
	}
	if route.Affinity && !engines {
		r.warn(Routes, i, FieldAffinity, "has no effect, because no pool of the route serves models")
	}
}

func (r *reviewer) unusedPools() {
	used := make(map[comfreyworks.Pool]bool)
	for _, route := range r.declared.Routes {
		for _, share := range route.Pools {
			used[share.Pool] = true
		}
	}
	first := make(map[comfreyworks.Pool]bool)
	for i, pool := range r.declared.Pools {
		switch {
		case first[pool.Name]:
			r.warn(Pools, i, FieldName, "%q is declared twice", pool.Name)
		case pool.Store == nil && !used[pool.Name]:
			r.warn(Pools, i, FieldName, "no route refers to %q", pool.Name)
		}
		first[pool.Name] = true
	}
}

// workspaceKeys finds workspaces to which no request can belong. A key that several
// workspaces have belongs to the last one.
func (r *reviewer) workspaceKeys() {
	owner, names := make(map[string]int), make(map[comfreyworks.Workspace]bool)
	for i, workspace := range r.declared.Workspaces {
		for _, key := range workspace.Keys {
			owner[key] = i
		}
	}
	if r.declared.KeysRequired && len(r.declared.Workspaces) == 0 {
		r.warn(Workspaces, -1, "", "the list is empty, so requests are refused unless their route is public")
	}
	for i, workspace := range r.declared.Workspaces {
		if names[workspace.Name] {
			r.warn(Workspaces, i, FieldName, "%q is declared twice", workspace.Name)
		}
		names[workspace.Name] = true
		if len(workspace.Keys) == 0 {
			r.warn(Workspaces, i, FieldKeys, "no keys, so no request belongs to %q", workspace.Name)
		}
		for n, key := range workspace.Keys {
			switch other := r.declared.Workspaces[owner[key]]; {
			case key == "":
				r.warn(Workspaces, i, FieldKeys, "key %d is empty and never matches", n)
			case owner[key] != i:
				r.warn(Workspaces, i, FieldKeys, "key %d is also one of %q, to which its requests belong", n, other.Name)
			}
		}
	}
}
