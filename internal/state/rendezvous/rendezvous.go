// Package rendezvous implements rendezvous hashing (highest random weight). All
// processes choose the same instance for a key without communicating, and if the
// set of instances changes, only keys of added or removed instances move.
//
// # Usage
//
//	seed := rendezvous.Seed("lm-pool/3")
//	score := rendezvous.Score(seed, key) // the highest score wins
//	score = rendezvous.Weighted(score, 1.5) // wins 1.5 times as many keys
//	best := rendezvous.Top(ids, key, 2)
package rendezvous

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"comfreyworks"
)

// Seed returns the hash of a name, to be passed to Score.
func Seed(name string) uint64 { return xxhash.Sum64String(name) }

// Score returns the score of the instance with the given seed for a key. The
// instance with the highest score is chosen.
func Score(seed, key uint64) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], seed)
	binary.LittleEndian.PutUint64(pair[8:], key)
	return xxhash.Sum64(pair[:])
}

// Weighted returns the score of an instance that is to be chosen for a share of the keys
// in proportion to weight. The weight 1 leaves a score as it is. If the weight of an
// instance changes, only keys of that instance or to it move.
func Weighted(score uint64, weight float64) uint64 {
	if weight == 1 || weight <= 0 {
		return score
	}
	const scores = 1 << 64
	if weighted := math.Pow((float64(score)+0.5)/scores, 1/weight) * scores; weighted < scores {
		return uint64(weighted)
	}
	return math.MaxUint64
}

// Top returns up to n instances by descending score.
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
