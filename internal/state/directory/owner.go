package directory

import (
	"comfreyworks"
	"comfreyworks/internal/state/rendezvous"
)

// ShardOwners determines which sidecars own the shards of a pool's directory, and which
// of them owns a chain, by rendezvous hashing. All processes with the same list of
// sidecars get the same owners. A ShardOwners is immutable.
type ShardOwners struct {
	owners []comfreyworks.Instance
	seeds  []uint64
}

// NewShardOwners selects the owners from the listed sidecars of a pool. Sidecars that are
// leaving are not selected.
func NewShardOwners(pool comfreyworks.Pool, shards int, listed []comfreyworks.Instance) *ShardOwners {
	ids := make([]comfreyworks.InstanceID, 0, len(listed))
	byID := make(map[comfreyworks.InstanceID]comfreyworks.Instance, len(listed))
	for _, instance := range listed {
		if instance.State != comfreyworks.InstanceLeaving {
			ids = append(ids, instance.ID)
			byID[instance.ID] = instance
		}
	}
	ring := new(ShardOwners)
	for _, id := range rendezvous.Top(ids, rendezvous.Seed(string(pool)), shards) {
		ring.owners = append(ring.owners, byID[id])
		ring.seeds = append(ring.seeds, rendezvous.Seed(string(id)))
	}
	return ring
}

// Owners returns the owners. The caller must not change the slice.
func (r *ShardOwners) Owners() []comfreyworks.Instance { return r.owners }

// Owner returns the owner of the chains with the given root, the hash of their
// shallowest level. All levels of a chain are thus in the same shard. It returns
// false if there are no owners.
func (r *ShardOwners) Owner(root uint64) (comfreyworks.Instance, bool) {
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
