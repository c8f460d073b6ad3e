// Package membership joins the platform's lagging list of instances with
// first-hand evidence.
//
// The list says who exists, late. Failed calls and refusals say who does not
// take work, at once. An instance that failed is avoided for a while and then
// tried again; an instance that refused because it is leaving is avoided for
// longer, until the list has caught up.
//
// # Usage
//
//	view := membership.New(membership.Options{List: list, Clock: clock})
//	group.Go(func() error { return view.Run(ctx) })
//	for _, instance := range view.Usable(pool) { ... }
//	view.Failed(id); view.Leaving(id); view.Worked(id)
//
// When the list cannot be read, the last one stays in use.
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
	// refreshInterval is how often the list is read.
	refreshInterval = time.Second
	// readTimeout bounds one read of the list.
	readTimeout = 2 * time.Second
	// failureAvoidance is how long an instance is avoided after one failure;
	// it doubles with each further one up to maxFailureAvoidance.
	failureAvoidance    = 250 * time.Millisecond
	maxFailureAvoidance = 8 * time.Second
	maxDoublings        = 10
	// leavingAvoidance is how long an instance is avoided that said it leaves.
	leavingAvoidance = 30 * time.Second
)

// Options configures a View.
type Options struct {
	List   comfreyworks.InstanceList
	Clock  comfreyworks.Clock
	Logger *zap.Logger
	// Changed is called with the addresses of all listed sidecars when the list
	// has changed; it may be nil.
	Changed func(addresses map[netip.AddrPort]bool)
}

// View is one process's view of the instances. It is safe for concurrent use.
type View struct {
	options Options
	mu      sync.RWMutex
	known   bool
	byPool  map[comfreyworks.Pool][]comfreyworks.Instance
	rings   map[comfreyworks.Pool]*directory.Ring
	// work holds doubts about instances that take work, directory doubts
	// about the same instances as holders of the directory: a slow answer from
	// a directory shard says nothing about the engine beside it.
	work      doubts
	directory doubts
}

// New returns a view that knows nobody until its first Refresh.
func New(options Options) *View {
	return &View{
		options:   options,
		byPool:    make(map[comfreyworks.Pool][]comfreyworks.Instance),
		rings:     make(map[comfreyworks.Pool]*directory.Ring),
		work:      make(doubts),
		directory: make(doubts),
	}
}

// Run reads the list again and again until ctx ends.
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

// Refresh reads the list once.
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
	v.known = true
	if reflect.DeepEqual(v.byPool, byPool) {
		return
	}
	v.byPool = byPool
	v.rings = make(map[comfreyworks.Pool]*directory.Ring)
	v.forgetDeparted()
}

// forgetDeparted drops what is kept for instances that are no longer listed.
// The mutex must be held.
func (v *View) forgetDeparted() {
	ids := make(map[comfreyworks.InstanceID]bool)
	addresses := make(map[netip.AddrPort]bool)
	for _, members := range v.byPool {
		for _, instance := range members {
			ids[instance.ID] = true
			addresses[instance.Address] = true
		}
	}
	v.work.keep(ids)
	v.directory.keep(ids)
	if v.options.Changed != nil {
		v.options.Changed(addresses)
	}
}

// Ring returns the ring of a pool's directory. It is the same one until the
// list changes.
func (v *View) Ring(pool comfreyworks.Pool, shards int) *directory.Ring {
	v.mu.Lock()
	defer v.mu.Unlock()
	ring := v.rings[pool]
	if ring == nil {
		ring = directory.NewRing(pool, shards, v.byPool[pool])
		v.rings[pool] = ring
	}
	return ring
}

// Avoided returns the listed sidecars of a pool that evidence speaks against.
func (v *View) Avoided(pool comfreyworks.Pool) []comfreyworks.InstanceID {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if len(v.work) == 0 {
		return nil
	}
	now := v.options.Clock.Now()
	var avoided []comfreyworks.InstanceID
	for _, instance := range v.byPool[pool] {
		if v.work.has(instance.ID, now) {
			avoided = append(avoided, instance.ID)
		}
	}
	return avoided
}

// Known reports whether the list was read at least once.
func (v *View) Known() bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.known
}

// Listed returns the sidecars of a pool that the list names, in order of
// their names, whatever the evidence. The slice must not be changed.
func (v *View) Listed(pool comfreyworks.Pool) []comfreyworks.Instance {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.byPool[pool]
}

// All returns the sidecars of every pool that the list names.
func (v *View) All() []comfreyworks.Instance {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var all []comfreyworks.Instance
	for _, members := range v.byPool {
		all = append(all, members...)
	}
	return all
}

// Find returns one listed sidecar of a pool.
func (v *View) Find(pool comfreyworks.Pool, id comfreyworks.InstanceID) (comfreyworks.Instance, bool) {
	for _, instance := range v.Listed(pool) {
		if instance.ID == id {
			return instance, true
		}
	}
	return comfreyworks.Instance{}, false
}

// Usable returns the sidecars of a pool that may take new work. When evidence
// speaks against every one of them, all that the list calls live are returned:
// it is better to try than to give up.
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
		if !v.work.has(instance.ID, now) {
			usable = append(usable, instance)
		}
	}
	if len(usable) == 0 {
		return live
	}
	return usable
}

// Failed records that an instance did not do its work.
func (v *View) Failed(id comfreyworks.InstanceID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.work.fail(id, v.options.Clock.Now()) {
		v.options.Logger.Info("instance avoided after a failure", zap.String("instance", string(id)))
	}
}

// DirectoryFailed records that a directory shard did not answer.
func (v *View) DirectoryFailed(id comfreyworks.InstanceID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.directory.fail(id, v.options.Clock.Now()) {
		v.options.Logger.Info("directory shard avoided after a failure", zap.String("instance", string(id)))
	}
}

// DirectoryWorked records that a directory shard answered.
func (v *View) DirectoryWorked(id comfreyworks.InstanceID) { v.worked(v.directory, id) }

// DirectoryUsable reports whether a directory shard is worth asking.
func (v *View) DirectoryUsable(id comfreyworks.InstanceID) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return !v.directory.has(id, v.options.Clock.Now())
}

// Leaving records that an instance refused work because it is leaving.
func (v *View) Leaving(id comfreyworks.InstanceID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.work.avoid(id, v.options.Clock.Now().Add(leavingAvoidance)) {
		v.options.Logger.Info("instance is leaving", zap.String("instance", string(id)))
	}
}

// Worked records that an instance took work. It ends the doubts about it.
func (v *View) Worked(id comfreyworks.InstanceID) { v.worked(v.work, id) }

func (v *View) worked(d doubts, id comfreyworks.InstanceID) {
	v.mu.RLock()
	_, doubted := d[id]
	v.mu.RUnlock()
	if !doubted {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(d, id)
	v.options.Logger.Info("instance works again", zap.String("instance", string(id)))
}
