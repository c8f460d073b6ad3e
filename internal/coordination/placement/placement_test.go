package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/state/directory"
)

const prefillTime = 40 * time.Microsecond

func assertChoice(t *testing.T, name comfreyworks.PolicyName, promptTokens int, want int, candidates ...comfreyworks.Candidate) {
	t.Helper()
	policy, err := New(name)
	assert.NilError(t, err)
	for i := range candidates {
		candidates[i].PrefillTime = prefillTime
	}
	assert.Equal(t, policy.Place(promptTokens, candidates), want)
}

func TestPolicies(t *testing.T) {
	type c = comfreyworks.Candidate
	tests := []struct {
		name       string
		policy     comfreyworks.PolicyName
		expected   int
		candidates []c
	}{
		{"no candidates", comfreyworks.PolicyComfrey, -1, nil},
		{"round robin without candidates", comfreyworks.PolicyRoundRobin, -1, nil},
		{"the candidate with the prefix cached", comfreyworks.PolicyComfrey, 1, []c{{Score: 9}, {CachedTokens: 900}}},
		{"the candidate with the longer prefix cached", comfreyworks.PolicyComfrey, 1, []c{{CachedTokens: 500}, {CachedTokens: 900}}},
		{"a cached prefix despite a short queue", comfreyworks.PolicyComfrey, 1, []c{{}, {CachedTokens: 900, Wait: 1000 * prefillTime}}},
		{"not a cached prefix with a long queue", comfreyworks.PolicyComfrey, 0, []c{{}, {CachedTokens: 900, Wait: 4000 * prefillTime}}},
		{"the highest score for an uncached prompt", comfreyworks.PolicyComfrey, 1, []c{{Score: 1}, {Score: 9}, {Score: 5}}},
		{"the highest score of two with the prefix cached", comfreyworks.PolicyComfrey, 2, []c{{Score: 9}, {Score: 1, CachedTokens: 990}, {Score: 5, CachedTokens: 990}}},
		{"the shortest queue", comfreyworks.PolicyLeastLoaded, 1, []c{{Wait: 5, CachedTokens: 900}, {Wait: 1}}},
		{"the highest score", comfreyworks.PolicyRendezvous, 1, []c{{CachedTokens: 900}, {Score: 9, Wait: time.Hour}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assertChoice(t, test.policy, 1000, test.expected, test.candidates...)
		})
	}
	t.Run("unknown policy", func(t *testing.T) {
		_, err := New("best")
		assert.ErrorContains(t, err, string(KindUnknownPolicy))
	})
	t.Run("round robin chooses in turn", func(t *testing.T) {
		policy := new(RoundRobin)
		for i := range 6 {
			assert.Equal(t, policy.Place(1, make([]c, 3)), i%3)
		}
	})
}

// TestBurstOfOneNewPrefix guards against computing one new prefix on several
// upstreams when requests for it arrive within one report interval: they must
// follow the first request.
func TestBurstOfOneNewPrefix(t *testing.T) {
	clock := clockwork.NewFakeClock()
	shard := directory.New(clock)
	for i := range 5 {
		shard.Report(comfreyworks.DirectoryReport{
			Instance: comfreyworks.InstanceID(fmt.Sprintf("lm/%d", i)), Full: true, Sequence: 1, PrefillTime: prefillTime,
		})
	}
	chooser := NewChooser(shard, Comfrey{RecomputeWeight: DefaultRecomputeWeight})
	chain := comfreyworks.PrefixChain{{Hash: 1, Tokens: 9000}}
	first := chooser.Choose(chain, nil)
	assert.Equal(t, first.Candidates, 5)
	for range 2 {
		assert.Equal(t, chooser.Choose(chain, nil).Instance, first.Instance)
	}
	t.Run("an excluded instance is not chosen", func(t *testing.T) {
		choice := chooser.Choose(chain, []comfreyworks.InstanceID{first.Instance})
		assert.Assert(t, choice.Instance != first.Instance)
	})
}

func TestFallback(t *testing.T) {
	chain := comfreyworks.PrefixChain{{Hash: 1, Tokens: 9000}}
	usable := []comfreyworks.Instance{{ID: "lm/0"}, {ID: "lm/1"}, {ID: "lm/2"}}
	first, ok := Fallback(chain, usable, nil)
	assert.Assert(t, ok)
	t.Run("it chooses the same instance as a directory without cached levels", func(t *testing.T) {
		shard := directory.New(clockwork.NewFakeClock())
		for _, instance := range usable {
			shard.Report(comfreyworks.DirectoryReport{Instance: instance.ID, Full: true, Sequence: 1, PrefillTime: prefillTime})
		}
		assert.Equal(t, NewChooser(shard, Comfrey{RecomputeWeight: DefaultRecomputeWeight}).Choose(chain, nil).Instance, first.ID)
	})
	t.Run("all usable instances are excluded", func(t *testing.T) {
		_, ok := Fallback(chain, usable[:1], []comfreyworks.InstanceID{"lm/0"})
		assert.Assert(t, !ok)
	})
}

func benchmarkChoose(b *testing.B, replicas int) {
	shard := directory.New(clockwork.NewFakeClock())
	chain := make(comfreyworks.PrefixChain, comfreyworks.MaxPrefixLevels)
	for i := range chain {
		chain[i] = comfreyworks.PrefixLevel{Hash: uint64(i + 1), Tokens: (i + 1) * 600}
	}
	for i := range replicas {
		report := comfreyworks.DirectoryReport{
			Instance: comfreyworks.InstanceID(fmt.Sprintf("lm/%d", i)), Full: true, Sequence: 1, PrefillTime: prefillTime,
		}
		for _, l := range chain[:i%len(chain)/4] {
			report.Changes = append(report.Changes, comfreyworks.PrefixLevelChange{Hash: l.Hash, Root: 1, Tokens: int32(l.Tokens), Held: true})
		}
		shard.Report(report)
	}
	policy := Comfrey{RecomputeWeight: DefaultRecomputeWeight}
	buffer := make([]comfreyworks.Candidate, 0, replicas)
	b.ReportAllocs()
	for b.Loop() {
		buffer = shard.Candidates(chain, buffer[:0])
		if policy.Place(chain.Tokens(), buffer) < 0 {
			b.Fatal("no choice")
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, replicas := range []int{10, 20, 40, 70, 80} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) { benchmarkChoose(b, replicas) })
	}
}
