package directory

import (
	"comfreyworks"
	"comfreyworks/internal/state/rendezvous"
)

// ShardOwners determines which sidecars own the shards of a pool's directory, and
// which of them owns a chain, by rendezvous hashing. All processes with the same
// list of sidecars get the same owners. A ShardOwners is immutable.
type ShardOwners struct {
	owners []comfreyworks.Instance
	seeds  []uint64
}

// NewShardOwners selects the owners from the listed sidecars of a pool. Sidecars
// that are leaving are not selected.
func NewShardOwners(pool comfreyworks.Pool, shards int, listed []comfreyworks.Instance) *ShardOwners {
	ids := make([]comfreyworks.InstanceID, 0, len(listed))
	byID := make(map[comfreyworks.InstanceID]comfreyworks.Instance, len(listed))
	for _, instance := range listed {
		if instance.State != comfreyworks.InstanceLeaving {
			ids = append(ids, instance.ID)
			byID[instance.ID] = instance
		}
	}
	selected := new(ShardOwners)
	for _, id := range rendezvous.Top(ids, rendezvous.Seed(string(pool)), shards) {
		selected.owners = append(selected.owners, byID[id])
		selected.seeds = append(selected.seeds, rendezvous.Seed(string(id)))
	}
	return selected
}

// Owners returns the owners. The caller must not change the slice.
func (o *ShardOwners) Owners() []comfreyworks.Instance { return o.owners }

// Owner returns the owner of the chains with the given root, the hash of their
// shallowest level. All levels of a chain are thus in the same shard. It returns
// false if there are no owners.
func (o *ShardOwners) Owner(root uint64) (comfreyworks.Instance, bool) {
	best := -1
	var highest uint64
	for i, seed := range o.seeds {
		score := rendezvous.Score(seed, root)
		if best < 0 || score > highest {
			best = i
			highest = score
		}
	}
	if best < 0 {
		return comfreyworks.Instance{}, false
	}
	return o.owners[best], true
}
