package check

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"comfreyworks/cmd/soak/internal/caller"
	"comfreyworks/cmd/soak/internal/fleet"
	"comfreyworks/internal/standin/replica"
)

const (
	// undisturbedTime is how long a gateway or an engine must have been free of faults
	// to count as undisturbed.
	undisturbedTime = 3 * time.Second
	// minTakeUps is the number of streams from which on their share is checked.
	minTakeUps = 12
	// minRelativeShare is the least share of streams that go on, relative to the share
	// of new streams that begin.
	minRelativeShare = 0.5
	// minEngines is the number of engines of a stream's release that must serve.
	minEngines = 2
)

// checkStream checks the events that one request received, and that they come from the
// release that began the stream.
func (c *checker) checkStream(record *caller.Record) {
	release := ""
	if record.Resumes != "" {
		release = c.releaseOf(record.Resumes)
	}
	events := strings.SplitAfter(string(record.ResponseBody), "\n\n")
	partial := events[len(events)-1]
	n := record.LastEvent
	for _, event := range events[:len(events)-1] {
		n++
		got, ok := eventRelease(event, n)
		if !ok {
			c.report(StreamOrder, "%s received %q in place of event %d", record.ID, event, n)
			return
		}
		if release == "" {
			release = got
		}
		if got != release {
			c.report(SingleRelease, "%s received event %d from release %s, the events before from %s", record.ID, n, got, release)
			return
		}
	}
	isPrefix := func(r string) bool {
		return (release == "" || r == release) && strings.HasPrefix(replica.ReleaseEvent(n+1, r), partial)
	}
	if n > fleet.StreamEvents || partial != "" && (n == fleet.StreamEvents || !slices.ContainsFunc(fleet.Releases, isPrefix)) {
		c.report(StreamOrder, "%s received %q after event %d", record.ID, partial, n)
	}
	if record.Complete && (n != fleet.StreamEvents || partial != "") {
		c.report(StreamOrder, "%s ended as complete after event %d", record.ID, n)
	}
}

// eventRelease returns the release of the replica that sent event n of a stream. It
// returns false if the text is not that event.
func eventRelease(event string, n int) (release string, ok bool) {
	for _, release := range fleet.Releases {
		if event == replica.ReleaseEvent(n, release) {
			return release, true
		}
	}
	return "", false
}

// releaseOf returns the release that sent the last complete event of a request, or the
// empty string if there is none.
func (c *checker) releaseOf(id string) string {
	record := c.records[id]
	if record == nil {
		return ""
	}
	events := strings.SplitAfter(string(record.ResponseBody), "\n\n")
	if len(events) < 2 {
		return ""
	}
	release, _ := eventRelease(events[len(events)-2], record.LastEvent+len(events)-1)
	return release
}

// StreamCounts holds how many streams began and went on at undisturbed gateways.
type StreamCounts struct {
	// Started is the number of new streams, Begun that of those with an event.
	Started, Begun int
	// TakenUp is the number of streams that callers took up while engines of their
	// release served, Continued that of those with a further event.
	TakenUp, Continued int
}

// CountStreams counts the streams that callers may take up. Those of workspace guest do
// not count because its key is revoked.
func CountStreams(observed *Observations) StreamCounts { return newChecker(observed).countStreams() }

func (c *checker) countStreams() StreamCounts {
	var counts StreamCounts
	for i := range c.observed.Records {
		record := &c.observed.Records[i]
		if record.Kind != caller.ResumableStream || record.Key == "key-guest" || !c.isUndisturbed(record) {
			continue
		}
		answered := 0
		if record.Status == http.StatusOK && record.Events() > 0 {
			answered = 1
		}
		switch {
		case record.Resumes == "":
			counts.Started++
			counts.Begun += answered
		case c.servingEngines(record) >= minEngines:
			counts.TakenUp++
			counts.Continued += answered
		}
	}
	return counts
}

// checkTakeUps compares the share of streams that go on after their callers took them
// up with the share of new streams that begin.
func (c *checker) checkTakeUps() {
	n := c.countStreams()
	if n.TakenUp < minTakeUps || n.Started == 0 {
		return
	}
	if float64(n.Continued*n.Started) < minRelativeShare*float64(n.Begun*n.TakenUp) {
		c.report(TakeUp, "%d of %d streams that were taken up went on, %d of %d new ones began", n.Continued, n.TakenUp, n.Begun, n.Started)
	}
}

// isUndisturbed reports whether no fault affected the gateway of a request from
// undisturbedTime before the request to its end.
func (c *checker) isUndisturbed(record *caller.Record) bool {
	return c.isQuiet(record.Gateway, record.SentAt.Add(-undisturbedTime), record.EndedAt)
}

// servingEngines returns the number of undisturbed engines of the release that began
// the stream that a request takes up.
func (c *checker) servingEngines(record *caller.Record) int {
	n, release, from := 0, c.releaseOf(record.Resumes), record.SentAt.Add(-undisturbedTime)
	for _, engine := range c.observed.Engines {
		if engine.Release == release && !engine.Started.After(from) && !overlapsAny(engine.Disturbed, from, record.EndedAt) {
			n++
		}
	}
	return n
}

func overlapsAny(spans []fleet.Span, from, to time.Time) bool {
	return slices.ContainsFunc(spans, func(s fleet.Span) bool { return s.Overlaps(from, to) })
}
