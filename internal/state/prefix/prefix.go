// Package prefix computes the chain of prefix hashes of a prompt.
//
// Prompts share long, nested prefixes, for example a workspace's preamble, a
// guide or a specification. The levels of a chain end at the ends of messages
// and, inside long messages, at offsets that double, so that shared prefixes
// need not be known in advance. Both depend only on the text before the end of
// the level, so two prompts with a common prefix have the same levels within
// it.
//
// The hash is seeded with workspace, model, weights version and adapter, so
// that it never matches a hash of another workspace or of older weights.
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
	// firstInnerBoundary is the offset of the end of the first level inside a
	// long message, in bytes from the start of the message.
	firstInnerBoundary = 4 << 10
	// shallowLevels is the number of levels that are kept from the start of a
	// chain with more than comfreyworks.MaxPrefixLevels.
	shallowLevels = 4
)

// Seed holds what distinguishes prompts that must not share cached prefixes.
type Seed struct {
	Workspace comfreyworks.Workspace
	Model     comfreyworks.Model
	Weights   comfreyworks.WeightsVersion
	Adapter   comfreyworks.Adapter
}

// Compute returns the chain of a prompt whose messages are parts. It estimates
// token counts from bytesPerToken, which must be positive.
func Compute(seed Seed, parts []string, bytesPerToken int) comfreyworks.PrefixChain {
	digest := xxhash.New()
	writeSeed(digest, seed)
	levels := make(comfreyworks.PrefixChain, 0, comfreyworks.MaxPrefixLevels)
	total := 0
	addLevel := func() {
		levels = append(levels, comfreyworks.PrefixLevel{Hash: digest.Sum64(), Tokens: total / bytesPerToken})
	}
	for _, part := range parts {
		hashed := 0
		for next := firstInnerBoundary; next < len(part); next *= 2 {
			_, _ = digest.WriteString(part[hashed:next])
			total += next - hashed
			hashed = next
			addLevel()
		}
		_, _ = digest.WriteString(part[hashed:])
		total += len(part) - hashed
		addLevel()
	}
	if len(levels) == 0 {
		addLevel()
	}
	return trimLevels(levels)
}

// writeSeed writes a zero byte after each field. No name contains one, so two
// different seeds never write the same bytes.
func writeSeed(digest *xxhash.Digest, seed Seed) {
	fields := [...]string{string(seed.Workspace), string(seed.Model), string(seed.Weights), string(seed.Adapter)}
	for _, field := range fields {
		_, _ = digest.WriteString(field)
		_, _ = digest.Write([]byte{0})
	}
}

// trimLevels keeps the first few levels and the last ones. A conversation grows
// at its end, so the next turn shares the deepest levels of this one. Keeping
// only the first sixteen would drop the levels that save the most work.
func trimLevels(levels comfreyworks.PrefixChain) comfreyworks.PrefixChain {
	if len(levels) <= comfreyworks.MaxPrefixLevels {
		return levels
	}
	deep := levels[len(levels)-(comfreyworks.MaxPrefixLevels-shallowLevels):]
	return append(levels[:shallowLevels:shallowLevels], deep...)
}
