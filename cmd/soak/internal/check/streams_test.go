package check

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"comfreyworks"
	"comfreyworks/cmd/soak/internal/caller"
	"comfreyworks/cmd/soak/internal/fleet"
	"comfreyworks/internal/standin/replica"
	"comfreyworks/platform"
)

// v1 and v2 are two releases.
var v1, v2 = fleet.Releases[0], fleet.Releases[1]

// events returns the text of some events of a stream that a release sent.
func events(first, last int, release string) []byte {
	var text strings.Builder
	for n := first; n <= last; n++ {
		text.WriteString(replica.ReleaseEvent(n, release))
	}
	return []byte(text.String())
}

// brokenStream returns the observations of a stream that broke off after four events of
// release v1 and was taken up at gateway 1, where the rest arrived, while two engines of
// v1 and one of v2 served.
func brokenStream() *Observations {
	o := servedRequest(caller.ResumableStream)
	o.Records[0].Complete, o.Records[0].ResponseBody = false, events(1, 4, v1)
	o.Gateways = make([][]fleet.Span, 2)
	for _, release := range []string{v1, v1, v2} {
		o.Engines = append(o.Engines, Engine{Release: release, Started: start.Add(-time.Minute)})
	}
	o.addTakeUp(&o.Records[0], "rest")
	return o
}

// addTakeUp adds a request that took up a stream of brokenStream, and its run.
func (o *Observations) addTakeUp(broken *caller.Record, id string) {
	rest, run := *broken, runOn(caller.ResumableStream, "u")
	rest.ID, rest.Resumes, rest.LastEvent, rest.Gateway = id, broken.ID, 4, 1
	rest.Complete, rest.ResponseBody = true, events(5, fleet.StreamEvents, v1)
	rest.ResponseHeader = rest.ResponseHeader.Clone()
	rest.ResponseHeader.Set(platform.HeaderNames().RequestID, id)
	run.ID = comfreyworks.RequestID(id)
	o.Records, o.Runs = append(o.Records, rest), append(o.Runs, run)
}

func TestStreams(t *testing.T) {
	join := func(parts ...[]byte) []byte {
		var all []byte
		for _, part := range parts {
			all = append(all, part...)
		}
		return all
	}
	cases := map[string]struct {
		rules  []Rule
		inject func(first, rest *caller.Record)
	}{
		"taken up at the same release": {nil, func(_, _ *caller.Record) {}},
		"cut in the middle of an event": {nil, func(first, _ *caller.Record) {
			first.ResponseBody = join(first.ResponseBody, []byte("id: 5\nda"))
		}},
		"cut within the first event": {nil, func(first, rest *caller.Record) {
			first.ResponseBody, rest.Resumes, rest.LastEvent = []byte("id"), "", 0
			rest.ResponseBody = events(1, fleet.StreamEvents, v2)
		}},
		"taken up at another release": {[]Rule{SingleRelease}, func(_, rest *caller.Record) {
			rest.ResponseBody = events(5, fleet.StreamEvents, v2)
		}},
		"two releases in one answer": {[]Rule{SingleRelease}, func(first, _ *caller.Record) {
			first.ResponseBody = join(events(1, 2, v1), events(3, 4, v2))
		}},
		"two releases in the rest": {[]Rule{SingleRelease}, func(_, rest *caller.Record) {
			rest.ResponseBody = join(events(5, 6, v1), events(7, fleet.StreamEvents, v2))
		}},
		"an event is missing": {[]Rule{StreamOrder}, func(_, rest *caller.Record) {
			rest.ResponseBody = events(6, fleet.StreamEvents, v1)
		}},
		"an event comes twice": {[]Rule{StreamOrder}, func(_, rest *caller.Record) {
			rest.ResponseBody = events(4, fleet.StreamEvents, v1)
		}},
		"taken up from the beginning": {[]Rule{StreamOrder}, func(_, rest *caller.Record) {
			rest.ResponseBody = events(1, fleet.StreamEvents, v1)
		}},
		"the rest ends early": {[]Rule{StreamOrder}, func(_, rest *caller.Record) {
			rest.ResponseBody = events(5, fleet.StreamEvents-1, v1)
		}},
		"the rest never ends": {[]Rule{StreamOrder}, func(_, rest *caller.Record) {
			rest.ResponseBody = events(5, fleet.StreamEvents+1, v1)
		}},
		"text after the last event": {[]Rule{StreamOrder}, func(_, rest *caller.Record) {
			rest.Complete, rest.ResponseBody = false, join(rest.ResponseBody, []byte("id"))
		}},
		"an event of no release": {[]Rule{StreamOrder}, func(first, _ *caller.Record) {
			first.ResponseBody = []byte(replica.Event(1))
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			o := brokenStream()
			c.inject(&o.Records[0], &o.Records[1])
			expectViolations(t, o, c.rules...)
		})
	}
}

// TestTakeUps lets as many streams be taken up as are needed for a violation, refuses
// most of them, and changes what else was observed.
func TestTakeUps(t *testing.T) {
	disturbed := func(from, to time.Duration) []fleet.Span {
		return []fleet.Span{{From: start.Add(from), To: start.Add(to)}}
	}
	cases := map[string]struct {
		takenUp, goOn int
		rules         []Rule
		inject        func(o *Observations)
	}{
		"less than half go on":  {takenUp: minTakeUps, goOn: minTakeUps/2 - 1, rules: []Rule{TakeUp}},
		"half go on":            {takenUp: minTakeUps, goOn: minTakeUps / 2},
		"too few are taken up":  {takenUp: minTakeUps - 1},
		"a fault in time after": {takenUp: minTakeUps, rules: []Rule{TakeUp}, inject: func(o *Observations) { o.Gateways[1] = disturbed(2*time.Second, 3*time.Second) }},
		"a fault long before":   {takenUp: minTakeUps, rules: []Rule{TakeUp}, inject: func(o *Observations) { o.Gateways[1] = disturbed(-5*time.Second, -4*time.Second) }},
		"a fault shortly before": {takenUp: minTakeUps, inject: func(o *Observations) {
			o.Gateways[1] = disturbed(-4*time.Second, -2*time.Second)
		}},
		"a fault meanwhile": {takenUp: minTakeUps, inject: func(o *Observations) {
			o.Gateways[1] = disturbed(time.Second/2, 2*time.Second)
		}},
		"a fault that lasts":              {takenUp: minTakeUps, inject: func(o *Observations) { o.Gateways[1] = []fleet.Span{{From: start.Add(-time.Hour)}} }},
		"one engine of the release":       {takenUp: minTakeUps, inject: func(o *Observations) { o.Engines = o.Engines[1:] }},
		"an engine of the release is new": {takenUp: minTakeUps, inject: func(o *Observations) { o.Engines[0].Started = start.Add(-time.Second) }},
		"an engine of the release leaves": {takenUp: minTakeUps, inject: func(o *Observations) { o.Engines[0].Disturbed = disturbed(0, time.Second) }},
		"few new streams begin": {takenUp: minTakeUps, goOn: minTakeUps / 4, inject: func(o *Observations) {
			refused := o.Records[0]
			refused.ID, refused.Status, refused.ResponseBody = "refused", http.StatusServiceUnavailable, nil
			o.Records = append(o.Records, refused)
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			o := brokenStream()
			for i := 1; i < c.takenUp; i++ {
				o.addTakeUp(&o.Records[0], fmt.Sprint("rest-", i))
			}
			for i := range o.Records[1+c.goOn:] {
				refused := &o.Records[1+c.goOn+i]
				refused.Status, refused.ResponseBody = http.StatusServiceUnavailable, nil
			}
			if c.inject != nil {
				c.inject(o)
			}
			expectViolations(t, o, c.rules...)
		})
	}
}
