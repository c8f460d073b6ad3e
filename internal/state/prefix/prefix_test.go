package prefix

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

var seed = Seed{Workspace: "w1", Model: "oak", Weights: "v1"}

func repeatText(name string, bytes int) string {
	return strings.Repeat(name, bytes/len(name)+1)[:bytes]
}

// expectShared checks how many levels of b are also levels of a.
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
	guide := repeatText("guide ", 40_000)
	base := Compute(seed, []string{"preamble", guide, "tail one"}, 4)
	// One level for each message, and four at 4, 8, 16 and 32 KiB of the guide.
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
		{"truncated guide", seed, []string{"preamble", guide[:20_000]}, 4},
		{"other preamble", seed, []string{"Preamble", guide, "tail one"}, 0},
		{"other workspace", Seed{Workspace: "w2", Model: "oak", Weights: "v1"}, []string{"preamble", guide, "tail one"}, 0},
		{"older weights", Seed{Workspace: "w1", Model: "oak", Weights: "v0"}, []string{"preamble", guide, "tail one"}, 0},
		{"other adapter", Seed{Workspace: "w1", Model: "oak", Weights: "v1", Adapter: "a"}, []string{"preamble", guide, "tail one"}, 0},
		{"same bytes across the fields of the seed", Seed{Workspace: "w1o", Model: "ak", Weights: "v1"}, []string{"preamble", guide, "tail one"}, 0},
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
	// The next turn shares the deepest levels of this one.
	expectShared(t, now, next, comfreyworks.MaxPrefixLevels-2)
}

func FuzzCompute(f *testing.F) {
	f.Add("a", "b", 3)
	f.Add("", repeatText("x", 70_000), 1)
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
