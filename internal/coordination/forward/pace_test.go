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
