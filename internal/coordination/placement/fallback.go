package placement

import (
	"slices"

	"comfreyworks"
	"comfreyworks/internal/state/directory"
	"comfreyworks/internal/state/rendezvous"
)

// Fallback places a request without a directory. It chooses among the usable
// instances that are not excluded by rendezvous hashing of the prefix level that
// determines the request's preferred upstream. It returns false if there is no
// such instance.
func Fallback(chain comfreyworks.PrefixChain, usable []comfreyworks.Instance, exclude []comfreyworks.InstanceID) (comfreyworks.Instance, bool) {
	key := directory.AffinityKey(chain)
	best := -1
	var highest uint64
	for i := range usable {
		if slices.Contains(exclude, usable[i].ID) {
			continue
		}
		score := rendezvous.Score(rendezvous.Seed(string(usable[i].ID)), key)
		if best < 0 || score > highest {
			best = i
			highest = score
		}
	}
	if best < 0 {
		return comfreyworks.Instance{}, false
	}
	return usable[best], true
}
