package directory

import (
	"comfreyworks"
	"comfreyworks/internal/state/rendezvous"
)

// Ring tells which sidecars hold a pool's directory. Every process that sees
// the same list builds the same ring. A Ring does not change once it is built.
type Ring struct {
	owners []comfreyworks.Instance
	seeds  []uint64
}

// NewRing picks the owners among the listed sidecars of a pool; leaving ones
// are passed over.
func NewRing(pool comfreyworks.Pool, shards int, listed []comfreyworks.Instance) *Ring {
	ids := make([]comfreyworks.InstanceID, 0, len(listed))
	byID := make(map[comfreyworks.InstanceID]comfreyworks.Instance, len(listed))
	for _, instance := range listed {
		if instance.State != comfreyworks.InstanceLeaving {
			ids = append(ids, instance.ID)
			byID[instance.ID] = instance
		}
	}
	ring := new(Ring)
	for _, id := range rendezvous.Top(ids, rendezvous.Seed(string(pool)), shards) {
		ring.owners = append(ring.owners, byID[id])
		ring.seeds = append(ring.seeds, rendezvous.Seed(string(id)))
	}
	return ring
}

// Owners returns the owners; the slice must not be changed.
func (r *Ring) Owners() []comfreyworks.Instance { return r.owners }

// Owner picks the owner of a chain by its root, the shallowest level, so that
// all levels of a chain are in one shard. It returns false in an empty ring.
func (r *Ring) Owner(root uint64) (comfreyworks.Instance, bool) {
	best := -1
	var highest uint64
	for i, seed := range r.seeds {
		score := rendezvous.Score(seed, root)
		if best < 0 || score > highest {
			best = i
			highest = score
		}
	}
	if best < 0 {
		return comfreyworks.Instance{}, false
	}
	return r.owners[best], true
}
