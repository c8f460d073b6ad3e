// Package rendezvous ranks instances for a key by highest random weight, so
// that every process picks the same instance for a key without talking, and a
// change of instances moves only the keys of the instances that changed.
//
// # Usage
//
//	seed := rendezvous.Seed("lm-pool/3")
//	score := rendezvous.Score(seed, key) // the highest score wins
//	best := rendezvous.Top(ids, key, 2)
package rendezvous

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"comfreyworks"
)

// Seed returns the seed of a name.
func Seed(name string) uint64 { return xxhash.Sum64String(name) }

// Score returns the weight of a seed for a key.
func Score(seed, key uint64) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], seed)
	binary.LittleEndian.PutUint64(pair[8:], key)
	return xxhash.Sum64(pair[:])
}

// Top returns up to n instances in falling order of score.
func Top(ids []comfreyworks.InstanceID, key uint64, n int) []comfreyworks.InstanceID {
	ranked := slices.Clone(ids)
	slices.SortFunc(ranked, func(a, b comfreyworks.InstanceID) int {
		scoreA := Score(Seed(string(a)), key)
		scoreB := Score(Seed(string(b)), key)
		switch {
		case scoreA > scoreB:
			return -1
		case scoreA < scoreB:
			return 1
		default:
			return 0
		}
	})
	return ranked[:min(n, len(ranked))]
}
