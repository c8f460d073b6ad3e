package prefix

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

var seed = Seed{Workspace: "w1", Model: "oak", Weights: "v1"}

func text(name string, bytes int) string {
	return strings.Repeat(name, bytes/len(name)+1)[:bytes]
}

// expectShared checks how many of the first levels two chains share, and that
// none of the others match.
func expectShared(t *testing.T, a, b comfreyworks.PrefixChain, shared int) {
	t.Helper()
	hashes := make(map[uint64]bool)
	for _, l := range a {
		hashes[l.Hash] = true
	}
	n := 0
	for _, l := range b {
		if hashes[l.Hash] {
			n++
		}
	}
	assert.Equal(t, n, shared)
}

func TestCompute(t *testing.T) {
	guide := text("guide ", 40_000)
	base := Compute(seed, []string{"preamble", guide, "tail one"}, 4)
	// One level for each message and four inside the guide: 4, 8, 16 and 32 KiB.
	assert.Equal(t, len(base), 7)
	assert.Equal(t, base.Tokens(), (8+40_000+8)/4)

	tests := []struct {
		name   string
		seed   Seed
		parts  []string
		shared int
	}{
		{"same prompt", seed, []string{"preamble", guide, "tail one"}, 7},
		{"other tail", seed, []string{"preamble", guide, "tail two"}, 6},
		{"guide cut short", seed, []string{"preamble", guide[:20_000]}, 4},
		{"other preamble", seed, []string{"Preamble", guide, "tail one"}, 0},
		{"other workspace", Seed{Workspace: "w2", Model: "oak", Weights: "v1"}, []string{"preamble", guide, "tail one"}, 0},
		{"older weights", Seed{Workspace: "w1", Model: "oak", Weights: "v0"}, []string{"preamble", guide, "tail one"}, 0},
		{"other adapter", Seed{Workspace: "w1", Model: "oak", Weights: "v1", Adapter: "a"}, []string{"preamble", guide, "tail one"}, 0},
		{"fields run together", Seed{Workspace: "w1o", Model: "ak", Weights: "v1"}, []string{"preamble", guide, "tail one"}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			expectShared(t, base, Compute(test.seed, test.parts, 4), test.shared)
		})
	}
}

func TestLongConversation(t *testing.T) {
	var parts []string
	for i := range 40 {
		parts = append(parts, fmt.Sprintf("message %d", i))
	}
	now := Compute(seed, parts, 4)
	next := Compute(seed, append(parts, "answer", "question"), 4)
	assert.Equal(t, len(now), comfreyworks.MaxPrefixLevels)
	// The next turn still knows the end of this one.
	expectShared(t, now, next, comfreyworks.MaxPrefixLevels-2)
}

func FuzzCompute(f *testing.F) {
	f.Add("a", "b", 3)
	f.Add("", text("x", 70_000), 1)
	f.Fuzz(func(t *testing.T, first, second string, bytesPerToken int) {
		if bytesPerToken < 1 {
			return
		}
		parts := []string{first, second}
		chain := Compute(seed, parts, bytesPerToken)
		assert.Assert(t, len(chain) >= 1 && len(chain) <= comfreyworks.MaxPrefixLevels)
		for i := 1; i < len(chain); i++ {
			assert.Assert(t, chain[i].Tokens >= chain[i-1].Tokens)
		}
		assert.Equal(t, chain.Tokens(), (len(first)+len(second))/bytesPerToken)
		assert.DeepEqual(t, chain, Compute(seed, parts, bytesPerToken))
	})
}
