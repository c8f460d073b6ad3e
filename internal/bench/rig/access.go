package rig

import (
	"net/netip"
	"slices"

	"comfreyworks"
	"comfreyworks/internal/standin/engine"
	"comfreyworks/internal/standin/logservice"
	"comfreyworks/internal/standin/service"
	"comfreyworks/internal/state/meter"
	"comfreyworks/internal/state/settings"
)

// EntryURL returns the base URL of entry i modulo the number of entries.
func (r *Rig) EntryURL(i int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return "http://" + r.entries[i%len(r.entries)].instance.Listen.String()
}

// Entries returns the number of entries.
func (r *Rig) Entries() int { return r.options.Entries }

// Log returns the test double of the platform's log service.
func (r *Rig) Log() *logservice.Log { return r.log }

// PlatformAddress returns the address at which the log and the list of instances
// are served.
func (r *Rig) PlatformAddress() netip.AddrPort { return r.platformAddress }

// PeerSecret returns the secret with which the instances authenticate to each
// other.
func (r *Rig) PeerSecret() string { return peerSecret }

// List returns the test double of the platform's list of instances.
func (r *Rig) List() *logservice.List { return r.list }

// Meter returns the metrics that all entries and sidecars share.
func (r *Rig) Meter() *meter.Meter { return r.meter }

// Engine returns the engine of an instance, or nil if there is none.
func (r *Rig) Engine(id comfreyworks.InstanceID) *engine.Engine {
	if u := r.upstreamByID(id); u != nil {
		return u.engine
	}
	return nil
}

// Engines returns the engines of a pool.
func (r *Rig) Engines(pool comfreyworks.Pool) []*engine.Engine {
	var engines []*engine.Engine
	for _, u := range r.upstreamsOf(pool) {
		if u.engine != nil {
			engines = append(engines, u.engine)
		}
	}
	return engines
}

// EngineIDs returns the IDs of the instances of a pool that have an engine.
func (r *Rig) EngineIDs(pool comfreyworks.Pool) []comfreyworks.InstanceID {
	var ids []comfreyworks.InstanceID
	for _, u := range r.upstreamsOf(pool) {
		if u.engine != nil {
			ids = append(ids, u.instance.ID)
		}
	}
	return ids
}

// Services returns the plain services of a pool.
func (r *Rig) Services(pool comfreyworks.Pool) []*service.Service {
	var services []*service.Service
	for _, u := range r.upstreamsOf(pool) {
		if u.service != nil {
			services = append(services, u.service)
		}
	}
	return services
}

// Runs returns how many times the services of a pool ran each call, all
// services added up.
func (r *Rig) Runs(pool comfreyworks.Pool) map[service.Call]int {
	runs := make(map[service.Call]int)
	for _, s := range r.Services(pool) {
		for call, n := range s.Runs() {
			runs[call] += n
		}
	}
	return runs
}

func (r *Rig) upstreamsOf(pool comfreyworks.Pool) []*fakeUpstream {
	var members []*fakeUpstream
	for _, u := range r.upstreams {
		if u.instance.Pool == pool {
			members = append(members, u)
		}
	}
	return members
}

func (r *Rig) upstreamByID(id comfreyworks.InstanceID) *fakeUpstream {
	i := slices.IndexFunc(r.upstreams, func(u *fakeUpstream) bool { return u.instance.ID == id })
	if i < 0 {
		return nil
	}
	return r.upstreams[i]
}

// Instances returns the start-up settings of every sidecar and entry.
func (r *Rig) Instances() []settings.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	var instances []settings.Instance
	for _, u := range r.upstreams {
		instances = append(instances, r.sidecarSettings(u))
	}
	for _, p := range r.entries {
		instances = append(instances, p.instance)
	}
	return instances
}
