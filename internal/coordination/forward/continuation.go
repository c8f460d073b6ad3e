package forward

import (
	"bytes"
	"errors"
	"fmt"
	"mime"
	"net/http"
	"strconv"

	"comfreyworks"
)

// errNotContinued means that an answer does not go on where the stream ended: it is an
// error in the form of a stream, or it leaves something out.
var errNotContinued = errors.New("answer does not continue the stream")

// continuation decides whether the answer of an upstream continues a stream of which the
// caller has received a part. Nothing of it may be passed on before that is known.
type continuation struct {
	*attempt
	// needed means that the caller has received a part, and begun that an event was passed
	// on that follows it.
	needed, begun bool
}

// newContinuation returns an error if the header of a response tells that it does not
// continue the stream.
func (a *attempt) newContinuation(response *comfreyworks.UpstreamResponse) (continuation, error) {
	c := continuation{attempt: a, needed: a.headerWritten || a.lastEventID != ""}
	if a.headerWritten && !a.fits(response.Header) {
		return c, fmt.Errorf("%w: it is of type %q", errNotContinued, response.Header.Get(contentType))
	}
	return c, nil
}

// contentType is the name of the header with the media type of an answer.
const contentType = "Content-Type"

// fits reports whether an answer has the media type of the stream that it continues, as
// far as both are known.
func (r *activeRequest) fits(header http.Header) bool {
	next := mediaType(header)
	return next == "" || r.mediaType == "" || next == r.mediaType
}

// setMediaType records the media type of the stream that the caller receives.
func (r *activeRequest) setMediaType(header http.Header) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mediaType = mediaType(header)
}

// mediaType returns the media type in a header without its parameters.
func mediaType(header http.Header) string {
	text := header.Get(contentType)
	if parsed, _, err := mime.ParseMediaType(text); err == nil {
		return parsed
	}
	return text
}

// check returns an error if an event does not continue the stream.
func (c *continuation) check(event []byte, id string) error {
	switch {
	case !c.needed:
		return nil
	case !isEventText(event, id != ""):
		return fmt.Errorf("%w: it holds other text than events", errNotContinued)
	case c.begun || (id == "" && !hasData(event)):
		return nil
	case id == "":
		return fmt.Errorf("%w: it begins with an event without an ID", errNotContinued)
	case isError(event):
		return fmt.Errorf("%w: it begins with an error", errNotContinued)
	case !c.follows(id):
		return fmt.Errorf("%w: event %.20q does not follow %.20q", errNotContinued, id, c.lastEventID)
	}
	return nil
}

// repeats reports whether an event is the last one that the caller received.
func (c *continuation) repeats(id string) bool {
	return c.needed && !c.begun && id != "" && id == c.lastEventID
}

// follows reports whether an event ID follows the last one. Upstreams count events, unless
// it has been seen that they don't. IDs that are no numbers follow any other such ID.
func (c *continuation) follows(id string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	last, lastErr := strconv.ParseUint(c.lastEventID, 10, 64)
	if err != nil || lastErr != nil {
		return err != nil && lastErr != nil
	}
	return n == last+1 || (n > last && (c.skipsIDs || c.poolSkipsIDs.Load()))
}

// passed records an event that was passed on.
func (c *continuation) passed(id string) {
	if n, err := strconv.ParseUint(id, 10, 64); err == nil && (c.begun || !c.needed) {
		last, _ := strconv.ParseUint(c.lastEventID, 10, 64)
		c.skipsIDs = c.skipsIDs || n > last+1
	}
	c.begun, c.torn = true, false
}

// end returns an error if a response ended too early, given the newest ID in it. One without
// a new event tells that the response before broke off behind the last event of the stream,
// unless that one broke off within an event, or this one repeats only a part of the events.
func (c *continuation) end(newestID string) error {
	if !c.begun && (!c.headerWritten || c.torn || (newestID != "" && newestID != c.lastEventID)) {
		return errNoEvent
	}
	if c.skipsIDs {
		c.poolSkipsIDs.Store(true)
	}
	return nil
}

// isEventText reports whether a block is made of the lines of a stream of events. Only one
// with an ID may hold fields of the upstream's own.
func isEventText(block []byte, ownFields bool) bool {
	for line := range bytes.Lines(block) {
		name, _, hasColon := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		switch string(name) {
		case "", "data", "event", "id", "retry":
		default:
			if !ownFields || !hasColon || bytes.ContainsAny(name, " \t") {
				return false
			}
		}
	}
	return true
}

// isError reports whether an event is of the type error.
func isError(event []byte) bool {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("event:")); ok && string(bytes.TrimSpace(value)) == "error" {
			return true
		}
	}
	return false
}
