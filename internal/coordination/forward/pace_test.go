package forward

import (
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// TestStreamPace checks which streams count as missing a time that their route declares.
// Streams whose gaps are all permitted can still be too slow for their deadline.
func TestStreamPace(t *testing.T) {
	start := time.Unix(0, 0)
	limits := paceLimits{objective: start.Add(800 * time.Millisecond), gap: 800 * time.Millisecond, deadline: start.Add(15 * time.Second), events: 49}
	for name, c := range map[string]struct {
		first, gap time.Duration
		events     int
		missed     bool
	}{
		"in time":                       {100 * time.Millisecond, 30 * time.Millisecond, 49, false},
		"late first event":              {900 * time.Millisecond, 30 * time.Millisecond, 1, true},
		"gap":                           {100 * time.Millisecond, 900 * time.Millisecond, 2, true},
		"too slow for the deadline":     {100 * time.Millisecond, 400 * time.Millisecond, minPaceEvents, true},
		"just in time for the deadline": {100 * time.Millisecond, 300 * time.Millisecond, 49, false},
	} {
		t.Run(name, func(t *testing.T) {
			var p streamPace
			now := start.Add(c.first)
			for range c.events {
				p.add(now, &limits)
				now = now.Add(c.gap)
			}
			assert.Equal(t, p.missed, c.missed)
		})
	}
	t.Run("a caller that reads slowly", func(t *testing.T) {
		var p streamPace
		now := start
		for range 10 {
			assert.Assert(t, !p.add(now, &limits))
			now = now.Add(5 * time.Second)
			p.resume(now)
		}
	})
}

// TestStreamsJudged guards against streams that are judged more than once or not at all.
func TestStreamsJudged(t *testing.T) {
	events := completeBody("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	late := func(f *fixture) func() io.Reader {
		return func() io.Reader {
			f.clock.Advance(time.Second)
			return events()
		}
	}
	for name, c := range map[string]struct {
		respond         func(f *fixture) response
		streams, missed int
	}{
		"in time": {func(*fixture) response { return respond(200, true, events) }, 1, 0},
		"late":    {func(f *fixture) response { return respond(200, true, late(f)) }, 1, 1},
		"an error says nothing": {func(*fixture) response {
			return respond(404, true, func() io.Reader { return strings.NewReader("n") })
		}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(respondOK(""))
			f.upstreams.script = []response{c.respond(f)}
			request := f.request(route(comfreyworks.RouteStream, 1, false))
			request.Prompt = Prompt{Model: model, Tokens: 800, OutputTokens: 12}
			f.forwardRequest(request)
			var got comfreyworks.PoolDemand
			for _, d := range f.forwarder.options.Balancer.LocalDemands() {
				got = d
			}
			assert.Equal(t, got.Streams, c.streams*1000)
			assert.Equal(t, got.Missed, c.missed*1000)
		})
	}
}

// TestNoRetryTooLate guards against a retry budget that is spent on streams that cannot end
// before their deadline.
func TestNoRetryTooLate(t *testing.T) {
	for name, c := range map[string]struct {
		delivered string
		left      time.Duration
		sends     int
	}{
		"whole stream in time":   {"", 800 * time.Millisecond, 2},
		"whole stream too late":  {"", 500 * time.Millisecond, 1},
		"second half in time":    {"id: 24\ndata: a\n\n", 500 * time.Millisecond, 2},
		"second half too late":   {"id: 24\ndata: a\n\n", 250 * time.Millisecond, 1},
		"IDs that are no counts": {"id: x7\ndata: a\n\n", 250 * time.Millisecond, 2},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(respond(200, true, truncatedBody(c.delivered)), respondOK("id: 49\ndata: z\n\n"))
			request := f.request(route(comfreyworks.RouteStream, 2, true))
			request.Prompt = Prompt{Model: model, Tokens: 800, OutputTokens: 294}
			request.Deadline = f.clock.Now().Add(c.left)
			f.forwarder.pool(pool).events.add(294, 49)
			assert.Equal(t, f.forwardRequest(request).Sends, c.sends)
		})
	}
}

// TestRefusedUnderPressure guards against requests that wait until their deadline for
// engines that cannot serve them, and against refusals of what is running already.
func TestRefusedUnderPressure(t *testing.T) {
	newPressed := func(missed int) *fixture {
		f := newFixture(respondOK("x"))
		f.catalog.ApplyDeclaration(comfreyworks.Declaration{Next: 1, Routing: &comfreyworks.Routing{
			Version: 1, Pools: []comfreyworks.UpstreamPool{{Name: pool, CacheTokens: 90_000}},
			Routes: []comfreyworks.Route{{Kind: comfreyworks.RouteStream, MaxEventGap: time.Second, Pools: []comfreyworks.PoolWeight{{Pool: pool}}}},
		}}, f.clock.Now())
		var loads []comfreyworks.UpstreamLoad
		for _, id := range []comfreyworks.InstanceID{"a", "b", "c"} {
			loads = append(loads, comfreyworks.UpstreamLoad{ID: id, Requests: 9, Memory: 88})
		}
		b := f.forwarder.options.Balancer
		b.SetPeerLoads("peer", loads, f.clock.Now().Add(time.Hour))
		b.SetPeerDemands("peer", []comfreyworks.PoolDemand{{Pool: pool, Streams: 90_000, Missed: missed}}, f.clock.Now().Add(time.Hour))
		return f
	}
	t.Run("refused at once", func(t *testing.T) {
		f := newPressed(20_000)
		outcome := f.forwardRequest(f.promptRequest(time.Minute))
		assert.Equal(t, outcome.Verdict, Refused)
		assert.Equal(t, outcome.Reason, "overload, no memory left")
		assert.Assert(t, outcome.RetryAfter > 0)
		assert.Equal(t, len(f.upstreams.sent), 0)
		assert.Equal(t, len(f.forwarder.options.Balancer.LocalLoads()), 0)
	})
	t.Run("streams in time: sent", func(t *testing.T) {
		f := newPressed(0)
		assert.Equal(t, f.forwardRequest(f.promptRequest(time.Minute)).Verdict, Delivered)
	})
	t.Run("a resumed stream is sent", func(t *testing.T) {
		f := newPressed(20_000)
		request := f.promptRequest(time.Minute)
		request.LastEventID = "7"
		assert.Equal(t, f.forwardRequest(request).Verdict, Delivered)
	})
}
