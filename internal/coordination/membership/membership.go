// Package membership determines which sidecars may receive requests. It combines
// the platform's list of instances, which lags behind, with the failures and
// refusals that this process observes itself.
//
// An instance that fails is avoided for a while and then tried again. An instance
// that refuses requests because it is leaving is avoided for longer, until the
// list has caught up.
//
// # Usage
//
//	view := membership.New(membership.Options{List: list, Clock: clock})
//	group.Go(func() error { return view.Run(ctx) })
//	for _, instance := range view.Usable(pool) { ... }
//	view.RecordFailure(id); view.RecordLeaving(id); view.RecordSuccess(id)
//
// If the list cannot be read, the previous one stays in use.
package membership

import (
	"context"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/state/directory"
)

const (
	// refreshInterval is the time between two reads of the list.
	refreshInterval = time.Second
	// readTimeout limits the duration of one read of the list.
	readTimeout = 2 * time.Second
	// failureAvoidance is how long an instance is avoided after one failure. It
	// doubles with each further failure, up to maxFailureAvoidance.
	// maxAvoidanceDoublings keeps the shift from overflowing.
	failureAvoidance      = 250 * time.Millisecond
	maxFailureAvoidance   = 8 * time.Second
	maxAvoidanceDoublings = 10
	// leavingAvoidance is how long an instance is avoided after it has refused a
	// request because it is leaving.
	leavingAvoidance = 30 * time.Second
)

// Options configures a View.
type Options struct {
	List   comfreyworks.InstanceList
	Clock  comfreyworks.Clock
	Logger *zap.Logger
	// OnChange is called with the addresses of all listed sidecars whenever the
	// list of sidecars has changed. It runs while the View is locked and must not
	// call its methods. It may be nil.
	OnChange func(addresses map[netip.AddrPort]bool)
}

// View is one process's view of the sidecars. It is safe for concurrent use.
type View struct {
	options     Options
	mu          sync.RWMutex
	loaded      bool
	byPool      map[comfreyworks.Pool][]comfreyworks.Instance
	shardOwners map[comfreyworks.Pool]*directory.ShardOwners
	// forRequests holds the sidecars to avoid for requests, forDirectory those to
	// avoid for directory look-ups. They are separate because a slow answer of a
	// directory shard says nothing about the engine of the same sidecar.
	forRequests  avoidances
	forDirectory avoidances
}

// New returns a view that is empty until its first Refresh.
func New(options Options) *View {
	return &View{
		options:      options,
		byPool:       make(map[comfreyworks.Pool][]comfreyworks.Instance),
		shardOwners:  make(map[comfreyworks.Pool]*directory.ShardOwners),
		forRequests:  make(avoidances),
		forDirectory: make(avoidances),
	}
}

// Run reads the list every refreshInterval until ctx ends.
func (v *View) Run(ctx context.Context) error {
	for {
		v.Refresh(ctx)
		select {
		case <-v.options.Clock.After(refreshInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// Refresh reads the list once. An error or an empty list leaves the view
// unchanged.
func (v *View) Refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	instances, err := v.options.List.Instances(ctx)
	if err != nil || len(instances) == 0 {
		return
	}
	byPool := make(map[comfreyworks.Pool][]comfreyworks.Instance)
	for _, instance := range instances {
		if instance.Role == comfreyworks.RoleSidecar {
			byPool[instance.Pool] = append(byPool[instance.Pool], instance)
		}
	}
	for _, members := range byPool {
		slices.SortFunc(members, func(a, b comfreyworks.Instance) int {
			return strings.Compare(string(a.ID), string(b.ID))
		})
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.loaded = true
	if reflect.DeepEqual(v.byPool, byPool) {
		return
	}
	v.byPool = byPool
	v.shardOwners = make(map[comfreyworks.Pool]*directory.ShardOwners)
	v.removeUnlisted()
}

// removeUnlisted removes the records of instances that are no longer listed and
// calls OnChange. The mutex must be held.
func (v *View) removeUnlisted() {
	ids := make(map[comfreyworks.InstanceID]bool)
	addresses := make(map[netip.AddrPort]bool)
	for _, members := range v.byPool {
		for _, instance := range members {
			ids[instance.ID] = true
			addresses[instance.Address] = true
		}
	}
	v.forRequests.retain(ids)
	v.forDirectory.retain(ids)
	if v.options.OnChange != nil {
		v.options.OnChange(addresses)
	}
}

// ShardOwners returns the owners of the shards of a pool's directory. Until the
// list changes, it returns the same ones, whatever the number of shards.
func (v *View) ShardOwners(pool comfreyworks.Pool, shards int) *directory.ShardOwners {
	v.mu.Lock()
	defer v.mu.Unlock()
	owners := v.shardOwners[pool]
	if owners == nil {
		owners = directory.NewShardOwners(pool, shards, v.byPool[pool])
		v.shardOwners[pool] = owners
	}
	return owners
}

// Avoided returns the listed sidecars of a pool that are currently avoided for
// requests.
func (v *View) Avoided(pool comfreyworks.Pool) []comfreyworks.InstanceID {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if len(v.forRequests) == 0 {
		return nil
	}
	now := v.options.Clock.Now()
	var avoided []comfreyworks.InstanceID
	for _, instance := range v.byPool[pool] {
		if v.forRequests.active(instance.ID, now) {
			avoided = append(avoided, instance.ID)
		}
	}
	return avoided
}

// Loaded reports whether the list has been read at least once.
func (v *View) Loaded() bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.loaded
}

// Listed returns all sidecars of a pool, sorted by ID, including those that are
// leaving or avoided. The caller must not change the slice.
func (v *View) Listed(pool comfreyworks.Pool) []comfreyworks.Instance {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.byPool[pool]
}

// All returns the listed sidecars of all pools.
func (v *View) All() []comfreyworks.Instance {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var all []comfreyworks.Instance
	for _, members := range v.byPool {
		all = append(all, members...)
	}
	return all
}

// Find returns the sidecar with the given ID, or false if the pool lists none.
func (v *View) Find(pool comfreyworks.Pool, id comfreyworks.InstanceID) (comfreyworks.Instance, bool) {
	for _, instance := range v.Listed(pool) {
		if instance.ID == id {
			return instance, true
		}
	}
	return comfreyworks.Instance{}, false
}

// Usable returns the sidecars of a pool that may receive new requests: those that
// are listed as live and not avoided. If all live ones are avoided, it returns
// all of them, because trying one is better than failing the request.
func (v *View) Usable(pool comfreyworks.Pool) []comfreyworks.Instance {
	v.mu.RLock()
	defer v.mu.RUnlock()
	now := v.options.Clock.Now()
	var usable, live []comfreyworks.Instance
	for _, instance := range v.byPool[pool] {
		if instance.State == comfreyworks.InstanceLeaving {
			continue
		}
		live = append(live, instance)
		if !v.forRequests.active(instance.ID, now) {
			usable = append(usable, instance)
		}
	}
	if len(usable) == 0 {
		return live
	}
	return usable
}

// RecordFailure records that a sidecar failed to process a request.
func (v *View) RecordFailure(id comfreyworks.InstanceID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.forRequests.recordFailure(id, v.options.Clock.Now()) {
		v.options.Logger.Info("instance failed, avoiding it for requests", zap.String("instance", string(id)))
	}
}

// RecordDirectoryFailure records that the directory shard of a sidecar did not
// answer.
func (v *View) RecordDirectoryFailure(id comfreyworks.InstanceID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.forDirectory.recordFailure(id, v.options.Clock.Now()) {
		v.options.Logger.Info("directory shard did not answer, avoiding it for look-ups", zap.String("instance", string(id)))
	}
}

// RecordDirectorySuccess records that the directory shard of a sidecar answered.
// The shard is no longer avoided.
func (v *View) RecordDirectorySuccess(id comfreyworks.InstanceID) { v.clear(v.forDirectory, id) }

// DirectoryUsable reports whether the directory shard of a sidecar is not avoided.
func (v *View) DirectoryUsable(id comfreyworks.InstanceID) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return !v.forDirectory.active(id, v.options.Clock.Now())
}

// RecordLeaving records that a sidecar refused a request because it is leaving.
func (v *View) RecordLeaving(id comfreyworks.InstanceID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.forRequests.avoidUntil(id, v.options.Clock.Now().Add(leavingAvoidance)) {
		v.options.Logger.Info("instance refused a request because it is leaving, avoiding it", zap.String("instance", string(id)))
	}
}

// RecordSuccess records that a sidecar accepted a request. The sidecar is no longer
// avoided.
func (v *View) RecordSuccess(id comfreyworks.InstanceID) { v.clear(v.forRequests, id) }

// clear removes the record of an instance. It takes the write lock only if there
// is one.
func (v *View) clear(a avoidances, id comfreyworks.InstanceID) {
	v.mu.RLock()
	_, recorded := a[id]
	v.mu.RUnlock()
	if !recorded {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(a, id)
	v.options.Logger.Info("instance works again, no longer avoiding it", zap.String("instance", string(id)))
}
