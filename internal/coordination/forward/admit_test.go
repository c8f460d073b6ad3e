package forward

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// prefillTokensPerSecond is the number of tokens that an engine prefills in one
// second, as the balancer assumes.
const prefillTokensPerSecond = 40_000

// busyFixture returns a fixture in which every engine has one second of prefill
// work ahead, at the given priority.
func busyFixture(priority int) *fixture {
	f := newFixture(respondOK("x"))
	var loads []comfreyworks.UpstreamLoad
	for _, id := range []comfreyworks.InstanceID{"a", "b", "c"} {
		load := comfreyworks.UpstreamLoad{ID: id, Requests: 5}
		load.Unread.AddTokens(priority, prefillTokensPerSecond)
		loads = append(loads, load)
	}
	f.forwarder.options.Balancer.SetPeerLoads("peer", loads, f.clock.Now().Add(time.Hour))
	return f
}

// promptRequest returns a request with a prompt and the given time until its
// deadline.
func (f *fixture) promptRequest(left time.Duration) *Request {
	request := f.request(route(comfreyworks.RouteNonIdempotent, 1, false))
	request.Route.Priority = 3
	request.Prompt = Prompt{Model: model, Parts: []comfreyworks.PromptPart{{ID: "guide", Tokens: 2000}}, Tokens: 2000}
	request.Deadline = f.clock.Now().Add(left)
	return request
}

func (f *fixture) forwardRequest(request *Request) Outcome {
	return f.forwarder.Forward(context.Background(), request, f.sink)
}

// TestOverload checks which requests admission control refuses while prompts
// arrive faster than the engines prefill them.
func TestOverload(t *testing.T) {
	const fullTimeout, retryTimeLeft = time.Minute, 40 * time.Second
	t.Run("a prompt that would wait too long is refused at once", func(t *testing.T) {
		f := busyFixture(3)
		outcome := f.forwardRequest(f.promptRequest(fullTimeout))
		assert.Equal(t, outcome.Verdict, Refused)
		assert.Assert(t, outcome.RetryAfter >= time.Second, "%s", outcome.RetryAfter)
		assert.Equal(t, len(f.upstreams.sent), 0)
	})
	t.Run("a refused prompt adds no load", func(t *testing.T) {
		f := busyFixture(3)
		f.forwardRequest(f.promptRequest(fullTimeout))
		assert.Equal(t, len(f.forwarder.options.Balancer.LocalLoads()), 0)
	})
	t.Run("less urgent prompts do not count as queue", func(t *testing.T) {
		f := busyFixture(4)
		assert.Equal(t, f.forwardRequest(f.promptRequest(fullTimeout)).Verdict, Delivered)
	})
	t.Run("a prompt leaves the engine of its session rather than being refused", func(t *testing.T) {
		for _, gateways := range []int{4, 22} {
			f := newFixture(respondOK("x"))
			request := f.promptRequest(fullTimeout)
			request.Prompt = Prompt{Model: model, Parts: []comfreyworks.PromptPart{{ID: "guide", Tokens: 6300}, {ID: "own", Tokens: 2000}}, Tokens: 8300}
			balancer := f.forwarder.options.Balancer
			balancer.SetGateways(gateways)
			for range 2 {
				assert.Equal(t, f.forwardRequest(request).Verdict, Delivered)
			}
			home := f.upstreams.sent[1].Upstream.ID
			load := comfreyworks.UpstreamLoad{ID: home}
			load.Unread.AddTokens(3, prefillTokensPerSecond/4)
			balancer.SetPeerLoads("peer", []comfreyworks.UpstreamLoad{load}, f.clock.Now().Add(time.Hour))
			assert.Equal(t, f.forwardRequest(request).Verdict, Delivered)
			assert.Assert(t, f.upstreams.sent[2].Upstream.ID != home)
		}
	})
	t.Run("requests without a prompt are admitted", func(t *testing.T) {
		f := busyFixture(0)
		assert.Equal(t, f.forward(route(comfreyworks.RouteNonIdempotent, 1, false)).Verdict, Delivered)
	})
	t.Run("a resumed stream is admitted", func(t *testing.T) {
		f := busyFixture(3)
		request := f.promptRequest(fullTimeout)
		request.LastEventID = "7"
		assert.Equal(t, f.forwardRequest(request).Verdict, Delivered)
	})
	t.Run("a caller's retry may wait longer", func(t *testing.T) {
		f := busyFixture(3)
		assert.Equal(t, f.forwardRequest(f.promptRequest(retryTimeLeft)).Verdict, Delivered)
	})
	t.Run("a caller's retry may not wait longer while many are refused", func(t *testing.T) {
		f := busyFixture(3)
		for range 2 * overloadMinRefusals {
			f.forwardRequest(f.promptRequest(fullTimeout))
		}
		assert.Equal(t, f.forwardRequest(f.promptRequest(retryTimeLeft)).Verdict, Refused)
		f.clock.Advance(20 * refusalHalfLife)
		assert.Equal(t, f.forwardRequest(f.promptRequest(retryTimeLeft)).Verdict, Delivered)
	})
	t.Run("a route without an objective refuses nothing", func(t *testing.T) {
		f := busyFixture(3)
		request := f.promptRequest(fullTimeout)
		request.Route.Objective = 0
		assert.Equal(t, f.forwardRequest(request).Verdict, Delivered)
	})
}

// TestAdmissionUnderSustainedOverload simulates prompts that arrive 1.5 times as
// fast as an engine prefills them. Without admission control the queue grows
// until hardly any prompt is answered within the objective; with it, nearly as
// many are as the engine can prefill.
func TestAdmissionUnderSustainedOverload(t *testing.T) {
	const (
		arrivals  = 4000
		interval  = 5 * time.Millisecond
		prefill   = interval * 3 / 2
		objective = 600 * time.Millisecond
	)
	shareInTime := func(admit func(now time.Time, wait time.Duration) bool) (share float64) {
		var queue time.Duration
		n := 0
		now := time.Unix(0, 0)
		for range arrivals {
			now = now.Add(interval)
			queue = max(queue-interval, 0)
			if !admit(now, queue) {
				continue
			}
			queue += prefill
			if queue <= objective {
				n++
			}
		}
		return float64(n) / arrivals
	}
	var a admissionControl
	controlled := shareInTime(func(now time.Time, wait time.Duration) bool {
		return a.admit(now, wait, time.Duration(maxWaitShare*float64(objective)), 0)
	})
	unlimited := shareInTime(func(time.Time, time.Duration) bool { return true })
	assert.Assert(t, controlled > 0.65, "%.2f of 0.67 possible", controlled)
	assert.Assert(t, unlimited < 0.1, "%.2f", unlimited)
}
