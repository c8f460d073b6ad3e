package retrybudget

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func spend(b *Budget, tries int) int {
	spent := 0
	for range tries {
		if b.Spend() {
			spent++
		}
	}
	return spent
}

func TestBudget(t *testing.T) {
	limit := Limit{Ratio: 0.2, Slack: 5, Window: 10 * time.Second}
	clock := clockwork.NewFakeClockAt(time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC))
	newBudget := func() *Budget { return New(clock, limit) }
	t.Run("slack without requests", func(t *testing.T) {
		assert.Equal(t, spend(newBudget(), 100), 5)
	})
	t.Run("share of requests", func(t *testing.T) {
		b := newBudget()
		for range 100 {
			b.Earn()
		}
		assert.Equal(t, spend(b, 100), 25)
	})
	t.Run("comes back after the window", func(t *testing.T) {
		b := newBudget()
		assert.Equal(t, spend(b, 100), 5)
		clock.Advance(9 * time.Second)
		assert.Equal(t, spend(b, 100), 0)
		clock.Advance(2 * time.Second)
		assert.Equal(t, spend(b, 100), 5)
	})
}

// TestEveryWindow holds the budget against a list of all that happened: in no
// window of the given length may repeats exceed what its requests allow.
func TestEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClockAt(time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC))
		limit := Limit{
			Ratio: rapid.Float64Range(0, 1).Draw(t, "ratio"), Slack: float64(rapid.IntRange(0, 20).Draw(t, "slack")),
			Window: 10 * time.Second,
		}
		b := New(clock, limit)
		var requests, repeats []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.Earn()
				requests = append(requests, clock.Now())
			} else if b.Spend() {
				repeats = append(repeats, clock.Now())
			}
		}
		for _, end := range repeats {
			start := end.Add(-limit.Window)
			// Requests of the part in which the window begins count too: the
			// rule allows for those of an earlier window.
			allowed := limit.Ratio*float64(within(requests, start.Add(-limit.Window/slices), end)) + limit.Slack
			if n := within(repeats, start, end); float64(n) > allowed {
				t.Fatalf("%d repeats up to %s, %.1f allowed", n, end, allowed)
			}
		}
	})
}

func within(times []time.Time, start, end time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(start) && !at.After(end) {
			n++
		}
	}
	return n
}

// TestTrafficMoves is the load of gateways that are stopped in turn while most
// requests fail: the requests of one move to the next, and each spends what it
// may. Together they must stay within the limit in every window, measured
// against the requests of that window, the one before it or half a window before.
func TestTrafficMoves(t *testing.T) {
	const processes, step, perStep = 4, 50 * time.Millisecond, 5
	limit := Limit{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
	clock := clockwork.NewFakeClockAt(time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC))
	var budgets []*Budget
	for range processes {
		budgets = append(budgets, New(clock, limit.Share(processes+2)))
	}
	var requests, repeats []time.Time
	for at := time.Duration(0); at < 40*time.Second; at += step {
		clock.Advance(step)
		// From the tenth second on a process leaves every 1.5 s.
		left := max(int((at-10*time.Second)/(1500*time.Millisecond))+1, 0)
		active := budgets[min(left, processes-1):]
		for i := range perStep {
			b := active[i%len(active)]
			b.Earn()
			requests = append(requests, clock.Now())
			if at > 8*time.Second && b.Spend() {
				repeats = append(repeats, clock.Now())
			}
		}
	}
	for _, end := range repeats {
		start := end.Add(-limit.Window)
		most := 0
		for _, shift := range []time.Duration{0, limit.Window / 2, limit.Window} {
			most = max(most, within(requests, start.Add(-shift), end.Add(-shift)))
		}
		allowed := int(limit.Ratio*float64(most) + limit.Slack)
		n := within(repeats, start, end)
		assert.Assert(t, n <= allowed, "%d repeats up to %s, %d allowed", n, end, allowed)
	}
}
