package retrybudget

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// countRetries returns how many of a number of retries the budget allows.
func countRetries(b *Budget, tries int) int {
	allowed := 0
	for range tries {
		if b.TryRetry() {
			allowed++
		}
	}
	return allowed
}

func TestBudget(t *testing.T) {
	limit := Limit{Ratio: 0.2, Slack: 5, Window: 10 * time.Second}
	clock := clockwork.NewFakeClockAt(time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC))
	newBudget := func() *Budget { return New(clock, limit) }
	t.Run("only slack without requests", func(t *testing.T) {
		assert.Equal(t, countRetries(newBudget(), 100), 5)
	})
	t.Run("share of requests plus slack", func(t *testing.T) {
		b := newBudget()
		for range 100 {
			b.AddRequest()
		}
		assert.Equal(t, countRetries(b, 100), 25)
	})
	t.Run("a reserved retry is left for its owner", func(t *testing.T) {
		b := newBudget()
		assert.Assert(t, b.TryRetryAndReserve())
		assert.Equal(t, countRetries(b, 100), 3)
		assert.Assert(t, b.UseReserved())
		assert.Equal(t, countRetries(b, 100), 0)
	})
	t.Run("a reserved retry that is given back", func(t *testing.T) {
		b := newBudget()
		assert.Equal(t, countRetries(b, 4), 4)
		assert.Assert(t, !b.TryRetryAndReserve(), "one is left")
		assert.Equal(t, countRetries(b, 100), 1)
		clock.Advance(11 * time.Second)
		assert.Assert(t, b.TryRetryAndReserve())
		b.ReturnReserved()
		assert.Equal(t, countRetries(b, 100), 4)
	})
	t.Run("available again after the window", func(t *testing.T) {
		b := newBudget()
		assert.Equal(t, countRetries(b, 100), 5)
		clock.Advance(9 * time.Second)
		assert.Equal(t, countRetries(b, 100), 0)
		clock.Advance(2 * time.Second)
		assert.Equal(t, countRetries(b, 100), 5)
	})
}

// TestEveryWindow compares the budget with a list of all requests and retries: no
// window may contain more retries than the limit allows for its requests.
func TestEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClockAt(time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC))
		limit := Limit{
			Ratio: rapid.Float64Range(0, 1).Draw(t, "ratio"), Slack: float64(rapid.IntRange(0, 20).Draw(t, "slack")),
			Window: 10 * time.Second,
		}
		b := New(clock, limit)
		var requests, retries []time.Time
		reserved := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			isRetry := false
			switch step := rapid.SampledFrom([]string{"request", "retry", "reserve", "use", "return"}).Draw(t, "step"); {
			case step == "request":
				b.AddRequest()
				requests = append(requests, clock.Now())
			case step == "retry":
				isRetry = b.TryRetry()
			case step == "reserve":
				if isRetry = b.TryRetryAndReserve(); isRetry {
					reserved++
				}
			case reserved > 0 && step == "use":
				isRetry = b.UseReserved()
				reserved--
			case reserved > 0:
				b.ReturnReserved()
				reserved--
			}
			if isRetry {
				retries = append(retries, clock.Now())
			}
		}
		for _, end := range retries {
			start := end.Add(-limit.Window)
			// Requests in the bucket in which the window begins are all counted,
			// including those shortly before the window.
			allowed := limit.Ratio*float64(countWithin(requests, start.Add(-limit.Window/bucketsPerWindow), end)) + limit.Slack
			if n := countWithin(retries, start, end); float64(n) > allowed {
				t.Fatalf("%d retries in the window up to %s, %.1f allowed", n, end, allowed)
			}
		}
	})
}

func countWithin(times []time.Time, start, end time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(start) && !at.After(end) {
			n++
		}
	}
	return n
}

// TestTrafficShift simulates gateways that stop one after another while most
// requests fail. The traffic of each moves to the remaining ones, and each uses
// its whole share. In every window their retries together must stay within the
// limit for the requests of that window, the one before it or the one that began
// half a window earlier.
func TestTrafficShift(t *testing.T) {
	const processes, step, perStep = 4, 50 * time.Millisecond, 5
	limit := Limit{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
	clock := clockwork.NewFakeClockAt(time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC))
	var budgets []*Budget
	for range processes {
		budgets = append(budgets, New(clock, limit.Share(processes+2)))
	}
	var requests, retries []time.Time
	for at := time.Duration(0); at < 40*time.Second; at += step {
		clock.Advance(step)
		// After 10 s the processes stop one by one, at intervals of 1.5 s.
		left := max(int((at-10*time.Second)/(1500*time.Millisecond))+1, 0)
		active := budgets[min(left, processes-1):]
		for i := range perStep {
			b := active[i%len(active)]
			b.AddRequest()
			requests = append(requests, clock.Now())
			if at > 8*time.Second && b.TryRetry() {
				retries = append(retries, clock.Now())
			}
		}
	}
	for _, end := range retries {
		start := end.Add(-limit.Window)
		most := 0
		for _, shift := range []time.Duration{0, limit.Window / 2, limit.Window} {
			most = max(most, countWithin(requests, start.Add(-shift), end.Add(-shift)))
		}
		allowed := int(limit.Ratio*float64(most) + limit.Slack)
		n := countWithin(retries, start, end)
		assert.Assert(t, n <= allowed, "%d retries in the window up to %s, %d allowed", n, end, allowed)
	}
}
