package forward

import (
	"bufio"
	"bytes"
	"errors"
	"strconv"

	"comfreyworks"
	"comfreyworks/internal/state/memory"
)

// maxEventBytes is the maximum size of one event of a stream.
const maxEventBytes = 1 << 20

var (
	// errPartialEvent means that a stream ended in the middle of an event, errNoEvent
	// that it ended before its first one. Neither broke its connection.
	errPartialEvent = errors.New("stream ended within an event")
	errNoEvent      = errors.New("stream ended without an event")
)

// relayEvents passes a stream on event by event. A stream that breaks has thus
// been delivered up to the end of an event and can be resumed after it.
func (a *attempt) relayEvents(response *comfreyworks.UpstreamResponse) (Outcome, attemptResult) {
	hold := a.options.Memory.Hold(memory.Answer, func() { a.cancel(memory.ErrFull) })
	defer hold.Release()
	body := &eventReader{Reader: response.Body, ctx: a.ctx, hold: hold}
	events := bufio.NewScanner(body)
	events.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	splitter := new(eventSplitter)
	events.Split(splitter.split)
	replaced := false
	continuation, err := a.newContinuation(response)
	if err != nil {
		return a.lost(err)
	}
	var gaps gapMeter
	var progress streamProgress
	for events.Scan() {
		event := events.Bytes()
		body.passed()
		id := eventID(event)
		isNew, err := progress.add(event, id)
		if err != nil {
			return a.lost(err)
		}
		isEmpty := id == "" && !hasData(event)
		if !isEmpty {
			a.eventArrived()
		}
		if a.alreadyDelivered(id) || continuation.repeats(id) {
			continue
		}
		if err := continuation.check(event, id); err != nil {
			return a.lost(err)
		}
		if isEmpty || (id == "" && a.lastEventID != "" && a.request.Route.Resumable) {
			// What another upstream would send again, as it goes on after the last ID.
			if err := progress.hold(event); err != nil {
				return a.lost(err)
			}
			continue
		}
		begins := !a.headerWritten
		if replaced = !a.beginEvent(isNew); replaced {
			// The other upstream sends this event too. The next read returns an error.
			continue
		}
		if !continuation.begun {
			a.recordAnswer(response.Status)
			if a.response == nil {
				a.pick.FirstEvent()
			}
		}
		gaps.add(a, a.options.Clock.Now())
		if begins {
			a.awaitOriginExchange()
			a.setMediaType(response.Header)
			// Another upstream may write the rest of the stream with another length.
			a.sink.Begin(response.Status, response.Header, -1)
		}
		if _, err := a.sink.Write(progress.release(event)); err != nil {
			return Outcome{Verdict: Abandoned, Reason: "caller left"}, attemptDone
		}
		gaps.written(a.options.Clock.Now())
		continuation.passed(id)
		a.endEvent(id, isNew)
		a.pace.resume(a.options.Clock.Now())
	}
	a.torn = a.torn || splitter.torn
	err = events.Err()
	if replaced && err == nil {
		err = errUpstreamSilent
	}
	if err != nil {
		return a.lost(limitError(err))
	}
	if err := continuation.end(progress.newestID); err != nil {
		return a.lost(err)
	}
	if held := progress.release(nil); len(held) > 0 {
		if _, err := a.sink.Write(held); err != nil {
			return Outcome{Verdict: Abandoned, Reason: "caller left"}, attemptDone
		}
	}
	a.recordAnswer(response.Status)
	a.answerComplete(response.Status)
	a.pace.complete = true
	return Outcome{Verdict: Delivered, Status: response.Status}, attemptDone
}

// alreadyDelivered reports whether the caller has already received the event with
// the given ID. An upstream that resumes a stream may repeat events.
func (a *attempt) alreadyDelivered(id string) bool {
	if id == "" || a.lastEventID == "" {
		return false
	}
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return false
	}
	last, err := strconv.ParseUint(a.lastEventID, 10, 64)
	return err == nil && n <= last
}

// eventSplitter splits a stream into events.
type eventSplitter struct {
	// searched is how much of the data holds no end of an event. Without it, a long
	// event that arrives in small pieces would be searched from its beginning for each
	// of them.
	searched int
	// torn means that the stream ended in the middle of an event.
	torn bool
}

// split is a bufio.SplitFunc that returns each event including the empty line that
// ends it. A stream that ends in the middle of an event is an error.
func (s *eventSplitter) split(data []byte, atEOF bool) (int, []byte, error) {
	for {
		i := bytes.IndexByte(data[s.searched:], '\n')
		if i < 0 {
			s.searched = len(data)
			break
		}
		end := s.searched + i + 1
		rest := data[end:]
		switch {
		case bytes.HasPrefix(rest, []byte("\n")):
			s.searched = 0
			return end + 1, data[:end+1], nil
		case bytes.HasPrefix(rest, []byte("\r\n")):
			s.searched = 0
			return end + 2, data[:end+2], nil
		case len(rest) <= 1 && !atEOF:
			// The next line may turn out to be empty.
			s.searched = end - 1
			return 0, nil, nil
		}
		s.searched = end
	}
	if !atEOF {
		return 0, nil, nil
	}
	s.searched = 0
	if s.torn = len(bytes.TrimSpace(data)) > 0; s.torn {
		return 0, nil, errPartialEvent
	}
	return len(data), nil, nil
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
