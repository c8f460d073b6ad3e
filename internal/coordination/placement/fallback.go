package placement

import (
	"slices"

	"comfreyworks"
	"comfreyworks/internal/state/directory"
	"comfreyworks/internal/state/rendezvous"
)

// Fallback places a request without a directory: by rendezvous over the chain's
// home level, among the usable instances that are not excluded. It returns
// false when none is left.
func Fallback(chain comfreyworks.PrefixChain, usable []comfreyworks.Instance, excluded []comfreyworks.InstanceID) (comfreyworks.Instance, bool) {
	home := directory.Home(chain)
	best := -1
	var highest uint64
	for i := range usable {
		if slices.Contains(excluded, usable[i].ID) {
			continue
		}
		score := rendezvous.Score(rendezvous.Seed(string(usable[i].ID)), home)
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
