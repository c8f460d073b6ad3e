package fleet

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"comfreyworks"
	"comfreyworks/cmd/soak/internal/proxy"
	"comfreyworks/internal/standin/replica"
	"comfreyworks/platform"
	"comfreyworks/platform/standin"
)

// Slots is the number of replicas that serve unless some are being replaced. The first
// EngineSlots of them are engines.
const (
	EngineSlots = 4
	Slots       = EngineSlots + 3
)

const (
	// heartbeatInterval is the time between two renewals of the replicas' entries.
	heartbeatInterval = 1200 * time.Millisecond
	// expiryTime is how long the entry of a crashed replica stays listed.
	expiryTime = 2 * heartbeatInterval
	// drainTime is how long a replica that leaves serves the requests that still
	// arrive, and those that it runs.
	drainTime = 2 * time.Second
	// eventInterval and longEventInterval are the times between two events of a
	// stream.
	eventInterval     = 15 * time.Millisecond
	longEventInterval = 60 * time.Millisecond
)

// Releases are the releases of the replicas' software. A fleet starts with the first.
var Releases = []string{"v1", "v1.1", "v2"}

// Replica is a test double of a replica. Gateways reach it through Link.
type Replica struct {
	*replica.Replica
	Disturbances
	ID      comfreyworks.InstanceID
	Pool    string
	Release string
	// Started is the time at which the replica was first listed.
	Started time.Time
	Link    *proxy.Proxy
	// LinkFaults records when Link was disturbed.
	LinkFaults Disturbances
	Engine     *standin.Engine
	// Pausing is held while the replica is paused although it is sound.
	Pausing sync.Mutex

	slot int

	mu       sync.Mutex
	entry    standin.Entry
	unlisted bool
	// leaving means that the replica serves no new requests, left that it has been
	// stopped. Neither changes back.
	leaving, left bool
	// removed means that the entry has been removed for good.
	removed bool
	// departedAt is when the store acknowledged that the replica leaves, if Depart was
	// called.
	departedAt time.Time
	// crashed means that the replica was stopped by a request.
	crashed bool
	server  *http.Server
	// starts are the times at which the incarnations of the replica started.
	starts []time.Time
}

// Replica returns the replica that was started last in a slot.
func (f *Fleet) Replica(slot int) *Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.slots[slot]
}

// Replicas returns all replicas that were ever started.
func (f *Fleet) Replicas() []*Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Replica(nil), f.replicas...)
}

// StartReplica starts and lists a replica of a release in a slot. It returns the one
// that it replaces, which keeps serving until it leaves or crashes.
func (f *Fleet) StartReplica(slot int, release string) (replaced *Replica, err error) {
	pool := EnginePool
	if slot >= EngineSlots {
		pool = AppPool
	}
	r, err := f.newReplica(f.newReplicaID(pool), pool, release)
	if err != nil {
		return nil, err
	}
	r.entry.Zone = fmt.Sprint("z", slot%2)
	r.slot = slot
	f.mu.Lock()
	replaced, f.slots[slot] = f.slots[slot], r
	f.replicas = append(f.replicas, r)
	f.mu.Unlock()
	r.HarmOn(f.harm, func() { f.crashAndReplace(r) })
	f.putEntry(r)
	return replaced, nil
}

func (f *Fleet) newReplicaID(pool string) comfreyworks.InstanceID {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replicaIDs++
	return comfreyworks.InstanceID(fmt.Sprint(pool, "-", f.replicaIDs-1))
}

func (f *Fleet) newReplica(id comfreyworks.InstanceID, pool, release string) (*Replica, error) {
	r := &Replica{Pool: pool, ID: id, Release: release, Started: time.Now()}
	r.starts = []time.Time{r.Started}
	options := replica.Options{ID: r.ID, Headers: platform.HeaderNames(), Release: release, EventPause: eventPause}
	if pool == EnginePool {
		options.Events, options.Delay = StreamEvents, f.engineDelay
	}
	r.Replica = replica.New(options)
	r.entry = standin.Entry{Service: pool, Started: r.Started, Release: release, Version: 1}
	var handler http.Handler = r.Replica
	if pool == EnginePool {
		r.Engine = &standin.Engine{Requests: r.Replica, OnLoad: r.SetWeights, Model: Model, SetHeader: r.SetAdviceHeader, ClosedFor: r.ClosedFor}
		r.entry.Model = Model
		handler = r.Engine
	}
	server, address, err := f.serveOnLoopback(handler)
	if err != nil {
		return nil, err
	}
	r.server = server
	if r.Link, err = proxy.New(address); err != nil {
		return nil, err
	}
	r.entry.Address = r.Link.Address()
	return r, nil
}

func eventPause(target string) time.Duration {
	if strings.HasPrefix(target, LongStreamPath) {
		return longEventInterval
	}
	return eventInterval
}

// Leave lists a replica as draining, and stops it after drainTime.
func (f *Fleet) Leave(r *Replica) {
	r.Disturb()
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	f.putEntry(r)
	time.Sleep(drainTime)
	f.remove(r)
	r.stop()
}

// Depart removes the entry of a replica at once. The replica goes on serving, so that
// requests which should not arrive are seen.
func (f *Fleet) Depart(r *Replica) {
	r.Disturb()
	f.remove(r)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.departedAt = time.Now()
}

// DepartedAt returns when the store acknowledged that the replica leaves; zero means that
// it did not depart.
func (r *Replica) DepartedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.departedAt
}

// Crash stops a replica in the middle of its requests. Its entry is removed after
// expiryTime.
func (f *Fleet) Crash(r *Replica) {
	r.Disturb()
	r.mu.Lock()
	r.left = true
	r.mu.Unlock()
	r.stop()
	time.Sleep(expiryTime)
	f.remove(r)
}

// remove removes the entry of a replica for good.
func (f *Fleet) remove(r *Replica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left, r.removed = true, true
	f.Store.Put(standin.UpstreamTopic, string(r.ID), "")
}

// removeRestored removes the entries that a restored store contains again of replicas
// that had been removed.
func (f *Fleet) removeRestored() {
	for _, r := range f.Replicas() {
		r.mu.Lock()
		removed := r.removed
		r.mu.Unlock()
		if removed {
			f.remove(r)
		}
	}
}

func (r *Replica) stop() {
	r.Link.Close()
	_ = r.server.Close()
}

// putEntry writes a replica's entry with the next sequence number to the list of
// upstreams, or removes the entry if the replica is unlisted. It does nothing after
// the replica has left.
func (f *Fleet) putEntry(r *Replica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.left {
		return
	}
	if r.unlisted {
		f.Store.Put(standin.UpstreamTopic, string(r.ID), "")
		return
	}
	r.entry.Sequence++
	if r.Engine != nil {
		r.entry.Version = max(r.Engine.Version(), 1)
	}
	entry := r.entry
	entry.Draining = entry.Draining || r.leaving
	f.Store.Put(standin.UpstreamTopic, string(r.ID), entry.Record())
}

// SetDraining lists a replica as draining or as ready.
func (f *Fleet) SetDraining(r *Replica, draining bool) {
	r.mu.Lock()
	r.entry.Draining = draining
	r.mu.Unlock()
	f.putEntry(r)
}

// Restart replaces a replica by a new incarnation at the same address, which does not
// say that it is leaving. What the replica serves and has recorded stays, its release
// included. It does nothing after the replica has left.
func (f *Fleet) Restart(r *Replica) {
	r.mu.Lock()
	if r.left {
		r.mu.Unlock()
		return
	}
	r.SetLeaving(false)
	r.entry.Started, r.entry.Sequence = time.Now(), 0
	r.starts = append(r.starts, r.entry.Started)
	r.mu.Unlock()
	f.putEntry(r)
}

// Starts returns the times at which the incarnations of the replica started, the
// first one first.
func (r *Replica) Starts() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.starts...)
}

// SetUnlisted removes a replica's entry from the list of upstreams or adds it
// again.
func (f *Fleet) SetUnlisted(r *Replica, unlisted bool) {
	r.mu.Lock()
	r.unlisted = unlisted
	r.mu.Unlock()
	f.putEntry(r)
}

// renewEntries writes the entries of all replicas at each heartbeatInterval until
// the fleet is stopped.
func (f *Fleet) renewEntries() error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.stopping:
			return nil
		case <-ticker.C:
			for _, r := range f.Replicas() {
				f.putEntry(r)
			}
		}
	}
}
