package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"

	"comfreyworks"
)

// maxEventBytes is the maximum size of one event of a stream.
const maxEventBytes = 1 << 20

// errPartialEvent means that a stream ended in the middle of an event.
var errPartialEvent = errors.New("stream ended within an event")

// relayEvents passes a stream on event by event. A stream that breaks has thus
// been delivered up to the end of an event and can be resumed after it.
func (a *attempt) relayEvents(ctx context.Context, response *comfreyworks.UpstreamResponse) (Outcome, attemptResult) {
	events := bufio.NewScanner(response.Body)
	events.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	events.Split(splitEvent)
	first := true
	for events.Scan() {
		event := events.Bytes()
		id := eventID(event)
		if a.alreadyDelivered(id) {
			continue
		}
		if first {
			a.recordAnswer(response.Status)
			first = false
		}
		a.eventReceived()
		if !a.headerWritten {
			a.headerWritten = true
			a.release = a.upstreamRelease()
			a.sink.Begin(response.Status, response.Header, response.ContentLength)
		}
		if _, err := a.sink.Write(event); err != nil {
			return Outcome{Verdict: Abandoned, Reason: "caller left"}, attemptDone
		}
		if id != "" {
			a.lastEventID = id
		}
	}
	if err := events.Err(); err != nil {
		return Outcome{}, a.classifyError(ctx, err)
	}
	if !a.headerWritten {
		return Outcome{}, a.classifyError(ctx, io.ErrUnexpectedEOF)
	}
	a.recordAnswer(response.Status)
	return Outcome{Verdict: Delivered, Status: response.Status}, attemptDone
}

// alreadyDelivered reports whether the sink has already received the event with
// the given ID. An upstream that resumes a stream may repeat events.
func (a *attempt) alreadyDelivered(id string) bool {
	if !a.headerWritten || id == "" || a.lastEventID == "" {
		return false
	}
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return false
	}
	last, err := strconv.ParseUint(a.lastEventID, 10, 64)
	return err == nil && n <= last
}

// splitEvent is a bufio.SplitFunc that returns each event including the empty
// line that ends it. A stream that ends in the middle of an event is an error.
func splitEvent(data []byte, atEOF bool) (int, []byte, error) {
	for from := 0; ; {
		i := bytes.IndexByte(data[from:], '\n')
		if i < 0 {
			break
		}
		end := from + i + 1
		rest := data[end:]
		switch {
		case bytes.HasPrefix(rest, []byte("\n")):
			return end + 1, data[:end+1], nil
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return end + 2, data[:end+2], nil
		}
		from = end
	}
	if atEOF && len(bytes.TrimSpace(data)) > 0 {
		return 0, nil, errPartialEvent
	}
	if atEOF {
		return len(data), nil, nil
	}
	return 0, nil, nil
}

// eventID returns the ID of an event, or the empty string if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
