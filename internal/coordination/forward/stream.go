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

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// errTorn means that a stream ended within an event.
var errTorn = errors.New("stream ended within an event")

// relayStream passes a stream on event by event, so that a stream which breaks
// has been delivered up to the end of an event and can be resumed behind it.
func (a *attempt) relayStream(ctx context.Context, reply *comfreyworks.UpstreamResponse, heard func()) (Outcome, step) {
	events := bufio.NewScanner(reply.Body)
	events.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	events.Split(splitEvent)
	first := true
	for events.Scan() {
		event := events.Bytes()
		id := eventID(event)
		if a.delivered(id) {
			continue
		}
		if first {
			a.answered(reply.Status)
			first = false
		}
		heard()
		if !a.begun {
			a.begun = true
			a.sink.Begin(reply.Status, reply.Header, reply.ContentLength)
		}
		if _, err := a.sink.Write(event); err != nil {
			return Outcome{Verdict: Abandoned, Reason: "caller left"}, stepDone
		}
		if id != "" {
			a.lastEvent = id
		}
	}
	if err := events.Err(); err != nil {
		return Outcome{}, a.failed(ctx, err)
	}
	if !a.begun {
		return Outcome{}, a.failed(ctx, io.ErrUnexpectedEOF)
	}
	a.answered(reply.Status)
	return Outcome{Verdict: Delivered, Status: reply.Status}, stepDone
}

// delivered reports whether an event is behind the last one delivered; a
// resumed stream may repeat some.
func (a *attempt) delivered(id string) bool {
	if !a.begun || id == "" || a.lastEvent == "" {
		return false
	}
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return false
	}
	last, err := strconv.ParseUint(a.lastEvent, 10, 64)
	return err == nil && n <= last
}

// splitEvent is a bufio.SplitFunc for whole events with the empty line that
// ends each. The end of the stream within an event is an error.
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
		return 0, nil, errTorn
	}
	if atEOF {
		return len(data), nil, nil
	}
	return 0, nil, nil
}

// eventID returns the identifier of an event, or nothing.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
