package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"comfreyworks"
)

const prefillTime = 40 * time.Microsecond

const (
	upstreamA = comfreyworks.InstanceID("lm/0")
	upstreamB = comfreyworks.InstanceID("lm/1")
)

var testChain = comfreyworks.PrefixChain{{Hash: 1, Tokens: 100}, {Hash: 2, Tokens: 2000}, {Hash: 3, Tokens: 2100}}

func held(hash uint64, tokens int32) comfreyworks.PrefixLevelChange {
	return comfreyworks.PrefixLevelChange{Hash: hash, Root: 1, Tokens: tokens, Held: true}
}

func full(id comfreyworks.InstanceID, changes ...comfreyworks.PrefixLevelChange) comfreyworks.DirectoryReport {
	return comfreyworks.DirectoryReport{
		Instance: id, Incarnation: 1, Weights: "v1", Sequence: 1, Full: true, Changes: changes,
		PrefillTime: prefillTime,
	}
}

func expectCached(t *testing.T, s *Shard, id comfreyworks.InstanceID, tokens int) {
	t.Helper()
	for _, candidate := range s.Candidates(testChain, nil) {
		if candidate.Instance == id {
			assert.Equal(t, candidate.CachedTokens, tokens)
			return
		}
	}
	t.Fatalf("%s is not a candidate", id)
}

func expectNoCandidate(t *testing.T, s *Shard) {
	t.Helper()
	assert.Equal(t, len(s.Candidates(testChain, nil)), 0)
}

func TestReports(t *testing.T) {
	t.Run("the deepest level held determines the cached tokens", func(t *testing.T) {
		s := New(clockwork.NewFakeClock())
		assert.Assert(t, !s.Report(full(upstreamA, held(1, 100), held(2, 2000))))
		assert.Assert(t, !s.Report(full(upstreamB, held(1, 100))))
		expectCached(t, s, upstreamA, 2000)
		expectCached(t, s, upstreamB, 100)
	})
	t.Run("a gap in the sequence requests a full report", func(t *testing.T) {
		s := New(clockwork.NewFakeClock())
		s.Report(full(upstreamA, held(1, 100)))
		next := full(upstreamA)
		next.Full = false
		next.Sequence = 3
		assert.Assert(t, s.Report(next))
	})
	t.Run("a new incarnation invalidates all holdings", func(t *testing.T) {
		s := New(clockwork.NewFakeClock())
		s.Report(full(upstreamA, held(2, 2000)))
		next := full(upstreamA)
		next.Incarnation = 2
		next.Full = false
		next.Sequence = 2
		assert.Assert(t, s.Report(next))
		expectCached(t, s, upstreamA, 0)
	})
	t.Run("other weights invalidate all holdings", func(t *testing.T) {
		s := New(clockwork.NewFakeClock())
		s.Report(full(upstreamA, held(2, 2000)))
		next := full(upstreamA)
		next.Weights = "v2"
		s.Report(next)
		expectCached(t, s, upstreamA, 0)
	})
	t.Run("upstreams that are leaving, down or silent are not candidates", func(t *testing.T) {
		clock := clockwork.NewFakeClock()
		s := New(clock)
		leaving := full(upstreamA)
		leaving.Leaving = true
		s.Report(leaving)
		expectNoCandidate(t, s)
		down := full(upstreamA)
		down.Down = true
		s.Report(down)
		expectNoCandidate(t, s)
		s.Report(full(upstreamA))
		expectCached(t, s, upstreamA, 0)
		clock.Advance(reportTTL + time.Second)
		expectNoCandidate(t, s)
	})
}

func TestAssign(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := New(clock)
	s.Report(full(upstreamA))
	s.Assign(upstreamA, testChain, 2100)
	expectWait := func(t *testing.T, expected time.Duration) {
		t.Helper()
		assert.Equal(t, s.Candidates(testChain, nil)[0].Wait, expected)
	}
	t.Run("assigned work counts as queued and its prefix as held", func(t *testing.T) {
		expectWait(t, 2100*prefillTime)
		expectCached(t, s, upstreamA, 2100)
	})
	t.Run("a report within the report delay does not remove the work", func(t *testing.T) {
		next := full(upstreamA)
		next.Full = false
		next.Sequence = 2
		s.Report(next)
		expectWait(t, 2100*prefillTime)
	})
	t.Run("the queue drains between reports", func(t *testing.T) {
		clock.Advance(2 * reportDelay)
		expectWait(t, 2100*prefillTime-2*reportDelay)
	})
	t.Run("a later report replaces the estimated queue", func(t *testing.T) {
		next := full(upstreamA)
		next.Full = false
		next.Sequence = 3
		next.QueuedTokens = 1500
		s.Report(next)
		expectWait(t, 1500*prefillTime)
	})
	t.Run("an unconfirmed holding expires", func(t *testing.T) {
		clock.Advance(unconfirmedTTL)
		next := full(upstreamA)
		next.Full = false
		next.Sequence = 4
		s.Report(next)
		expectCached(t, s, upstreamA, 0)
		assert.Equal(t, s.Sweep(), 0)
	})
}

// TestReplacedUpstreams replaces an upstream 1000 times. A new upstream must not
// inherit the holdings of the one whose index it gets, and indexes must be reused.
func TestReplacedUpstreams(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := New(clock)
	for i := range 1000 {
		id := comfreyworks.InstanceID(fmt.Sprintf("lm/%d", i))
		s.Report(full(id))
		expectCached(t, s, id, 0)
		s.Report(full(id, held(2, 2000)))
		expectCached(t, s, id, 2000)
		clock.Advance(upstreamTTL + time.Second)
		if i%2 == 0 {
			s.Sweep()
		}
	}
	assert.Assert(t, len(s.upstreams) <= 2)
}

// referenceModel is the exact state of one upstream: its incarnation, its weights
// and the levels it holds.
type referenceModel struct {
	incarnation comfreyworks.Incarnation
	weights     comfreyworks.WeightsVersion
	sequence    uint64
	levels      map[uint64]int32
}

// TestAgainstReferenceModel applies the same random gains and losses of levels,
// crashes and changes of weights to a shard and to a reference model. Both must
// agree on the cached tokens of each upstream: none may be credited with the cache
// of an earlier incarnation or of older weights.
func TestAgainstReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(clockwork.NewFakeClock())
		models := make(map[comfreyworks.InstanceID]*referenceModel)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			id := comfreyworks.InstanceID(fmt.Sprintf("lm/%d", rapid.IntRange(0, 3).Draw(t, "replica")))
			m := models[id]
			if m == nil {
				m = &referenceModel{incarnation: 1, weights: "v1", levels: make(map[uint64]int32)}
				models[id] = m
			}
			report := nextReport(t, id, m)
			for s.Report(report) {
				report = fullReport(id, m)
			}
		}
		for _, candidate := range s.Candidates(testChain, nil) {
			if expected := models[candidate.Instance].cached(); candidate.CachedTokens != expected {
				t.Fatalf("%s: got %d tokens, expected %d", candidate.Instance, candidate.CachedTokens, expected)
			}
		}
	})
}

func nextReport(t *rapid.T, id comfreyworks.InstanceID, m *referenceModel) comfreyworks.DirectoryReport {
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0:
		m.incarnation++
		m.levels = make(map[uint64]int32)
	case 1:
		m.weights += "+"
		m.levels = make(map[uint64]int32)
	}
	level := testChain[rapid.IntRange(0, len(testChain)-1).Draw(t, "level")]
	change := held(level.Hash, int32(level.Tokens))
	change.Held = rapid.Bool().Draw(t, "held")
	if change.Held {
		m.levels[change.Hash] = change.Tokens
	} else {
		delete(m.levels, change.Hash)
	}
	m.sequence++
	// A lost report leaves a gap in the sequence that the shard must detect.
	if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
		m.sequence++
	}
	report := fullReport(id, m)
	report.Full = false
	report.Changes = []comfreyworks.PrefixLevelChange{change}
	return report
}

func fullReport(id comfreyworks.InstanceID, m *referenceModel) comfreyworks.DirectoryReport {
	report := comfreyworks.DirectoryReport{
		Instance: id, Incarnation: m.incarnation, Weights: m.weights, Sequence: m.sequence, Full: true,
	}
	for hash, tokens := range m.levels {
		report.Changes = append(report.Changes, held(hash, tokens))
	}
	return report
}

func (m *referenceModel) cached() int {
	best := int32(0)
	for _, tokens := range m.levels {
		best = max(best, tokens)
	}
	return int(best)
}

func TestShardOwners(t *testing.T) {
	var listed []comfreyworks.Instance
	for i := range 10 {
		listed = append(listed, comfreyworks.Instance{ID: comfreyworks.InstanceID(fmt.Sprintf("lm/%d", i))})
	}
	owners := NewShardOwners("lm", 3, listed)
	assert.Equal(t, len(owners.Owners()), 3)
	t.Run("only roots of the removed and the new owner move", func(t *testing.T) {
		var rest []comfreyworks.Instance
		for _, instance := range listed {
			if instance.ID != owners.Owners()[0].ID {
				rest = append(rest, instance)
			}
		}
		newOwner := NewShardOwners("lm", 3, rest).Owners()[2].ID
		for root := range uint64(1000) {
			before, _ := owners.Owner(root)
			after, _ := NewShardOwners("lm", 3, rest).Owner(root)
			moved := before.ID != after.ID
			assert.Assert(t, !moved || before.ID == owners.Owners()[0].ID || after.ID == newOwner)
		}
	})
	t.Run("no sidecars, no owner", func(t *testing.T) {
		_, ok := NewShardOwners("lm", 3, nil).Owner(1)
		assert.Assert(t, !ok)
	})
}
