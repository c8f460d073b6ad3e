package forward

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// secondOfReading is the number of tokens that an engine reads in a second.
const secondOfReading = 40_000

// busyFixture has engines that are busy for a second with prompts of a priority.
func busyFixture(priority int) *fixture {
	f := newFixture(ok("x"))
	var loads []comfreyworks.UpstreamLoad
	for _, id := range []comfreyworks.InstanceID{"a", "b", "c"} {
		load := comfreyworks.UpstreamLoad{ID: id, Requests: 5}
		load.Unread.AddTokens(priority, secondOfReading)
		loads = append(loads, load)
	}
	f.forwarder.options.Balancer.PeerLoads("peer", loads, f.clock.Now().Add(time.Hour))
	return f
}

func (f *fixture) prompt(left time.Duration) *Request {
	request := f.request(route(comfreyworks.RouteNonIdempotent, 1, false))
	request.Route.Priority = 3
	request.Prompt = Prompt{Model: model, Parts: []comfreyworks.PromptPart{{ID: "guide", Tokens: 2000}}, Tokens: 2000}
	request.Deadline = f.clock.Now().Add(left)
	return request
}

func (f *fixture) send(request *Request) Outcome {
	return f.forwarder.Forward(context.Background(), request, f.sink)
}

// TestOverload is the load of a day on which prompts come faster than engines
// read them.
func TestOverload(t *testing.T) {
	const whole, back = time.Minute, 40 * time.Second
	t.Run("what would begin too late is refused at once", func(t *testing.T) {
		f := busyFixture(3)
		outcome := f.send(f.prompt(whole))
		assert.Equal(t, outcome.Verdict, Refused)
		assert.Assert(t, outcome.RetryAfter >= time.Second, "%s", outcome.RetryAfter)
		assert.Equal(t, len(f.upstreams.sent), 0)
	})
	t.Run("and counts nowhere", func(t *testing.T) {
		f := busyFixture(3)
		f.send(f.prompt(whole))
		assert.Equal(t, len(f.forwarder.options.Balancer.Loads()), 0)
	})
	t.Run("less urgent prompts are no queue", func(t *testing.T) {
		f := busyFixture(4)
		assert.Equal(t, f.send(f.prompt(whole)).Verdict, Delivered)
	})
	t.Run("calls without a prompt do not wait", func(t *testing.T) {
		f := busyFixture(0)
		assert.Equal(t, f.forward(route(comfreyworks.RouteNonIdempotent, 1, false)).Verdict, Delivered)
	})
	t.Run("a stream that was broken off goes on", func(t *testing.T) {
		f := busyFixture(3)
		request := f.prompt(whole)
		request.LastEventID = "7"
		assert.Equal(t, f.send(request).Verdict, Delivered)
	})
	t.Run("a caller that comes back is let in late", func(t *testing.T) {
		f := busyFixture(3)
		assert.Equal(t, f.send(f.prompt(back)).Verdict, Delivered)
	})
	t.Run("but not while many are refused", func(t *testing.T) {
		f := busyFixture(3)
		for range 2 * overloadLeast {
			f.send(f.prompt(whole))
		}
		assert.Equal(t, f.send(f.prompt(back)).Verdict, Refused)
		f.clock.Advance(20 * overloadHalfLife)
		assert.Equal(t, f.send(f.prompt(back)).Verdict, Delivered)
	})
	t.Run("a route without an objective refuses nothing", func(t *testing.T) {
		f := busyFixture(3)
		request := f.prompt(whole)
		request.Route.Objective = 0
		assert.Equal(t, f.send(request).Verdict, Delivered)
	})
}

// TestSpiral is the load of prompts that come half as fast again as an engine
// reads them. Without refusals all wait until their deadline and hardly any is
// in time; with them nearly as many are as the engine can read.
func TestSpiral(t *testing.T) {
	const (
		arrivals  = 4000
		apart     = 5 * time.Millisecond
		reading   = apart * 3 / 2
		objective = 600 * time.Millisecond
	)
	inTime := func(admit func(now time.Time, wait time.Duration) bool) (share float64) {
		var queue time.Duration
		n := 0
		now := time.Unix(0, 0)
		for range arrivals {
			now = now.Add(apart)
			queue = max(queue-apart, 0)
			if !admit(now, queue) {
				continue
			}
			queue += reading
			if queue <= objective {
				n++
			}
		}
		return float64(n) / arrivals
	}
	var a admission
	refusing := inTime(func(now time.Time, wait time.Duration) bool {
		return a.admit(now, wait, time.Duration(admittedShare*float64(objective)), 0)
	})
	patient := inTime(func(time.Time, time.Duration) bool { return true })
	assert.Assert(t, refusing > 0.65, "%.2f of 0.67 possible", refusing)
	assert.Assert(t, patient < 0.1, "%.2f", patient)
}
