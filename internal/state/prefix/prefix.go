// Package prefix computes the chain of prefix hashes of a prompt.
//
// Prompts share long, nested prefixes: a workspace's preamble, a guide, a
// specification. A chain names those prefixes without knowing them in advance.
// Its boundaries are the ends of messages and, inside long messages, lengths
// that double. Both depend only on the text before the boundary, so that two
// prompts with a common prefix have the same boundaries inside it.
//
// The hash is seeded with workspace, model, weights version and adapter. A hash
// of another workspace or of older weights therefore never matches.
//
// # Usage
//
//	chain := prefix.Compute(prefix.Seed{Workspace: "w1", Model: "oak", Weights: "v3"},
//		[]string{guide, question}, 4)
//
// Compute does not fail: an empty prompt has one level of zero tokens.
package prefix

import (
	"github.com/cespare/xxhash/v2"

	"comfreyworks"
)

const (
	// firstInnerBytes is the offset of the first boundary inside a long
	// message, in bytes from the start of the message.
	firstInnerBytes = 4 << 10
	// shallowLevels is how many of the first levels are kept when a prompt
	// has more than comfreyworks.MaxPrefixLevels.
	shallowLevels = 4
)

// Seed separates prompts that must never share cache.
type Seed struct {
	Workspace comfreyworks.Workspace
	Model     comfreyworks.Model
	Weights   comfreyworks.WeightsVersion
	Adapter   comfreyworks.Adapter
}

// Compute returns the chain of a prompt that is given as consecutive parts.
// Lengths are estimated from bytesPerToken, which must be positive.
func Compute(seed Seed, parts []string, bytesPerToken int) comfreyworks.PrefixChain {
	digest := xxhash.New()
	writeSeed(digest, seed)
	levels := make(comfreyworks.PrefixChain, 0, comfreyworks.MaxPrefixLevels)
	total := 0
	mark := func() {
		levels = append(levels, comfreyworks.PrefixLevel{Hash: digest.Sum64(), Tokens: total / bytesPerToken})
	}
	for _, part := range parts {
		done := 0
		for next := firstInnerBytes; next < len(part); next *= 2 {
			_, _ = digest.WriteString(part[done:next])
			total += next - done
			done = next
			mark()
		}
		_, _ = digest.WriteString(part[done:])
		total += len(part) - done
		mark()
	}
	if len(levels) == 0 {
		mark()
	}
	return trim(levels)
}

// writeSeed ends each field with a byte that cannot occur in a name, so that
// no two seeds give the same bytes.
func writeSeed(digest *xxhash.Digest, seed Seed) {
	fields := [...]string{string(seed.Workspace), string(seed.Model), string(seed.Weights), string(seed.Adapter)}
	for _, field := range fields {
		_, _ = digest.WriteString(field)
		_, _ = digest.Write([]byte{0})
	}
}

// trim keeps the first few levels and the last ones. A conversation grows at
// its end, so the next turn shares the deep levels of this one: keeping only
// the first sixteen would lose exactly the levels that save the most work.
func trim(levels comfreyworks.PrefixChain) comfreyworks.PrefixChain {
	if len(levels) <= comfreyworks.MaxPrefixLevels {
		return levels
	}
	deep := levels[len(levels)-(comfreyworks.MaxPrefixLevels-shallowLevels):]
	return append(levels[:shallowLevels:shallowLevels], deep...)
}
