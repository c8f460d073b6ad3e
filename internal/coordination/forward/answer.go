package forward

import (
	"io"
	"time"

	"comfreyworks"
)

const (
	// maxLoggedParts is the maximum number of parts of a prompt in a log line, and
	// maxLoggedPartBytes the maximum size of the ID of each.
	maxLoggedParts     = 8
	maxLoggedPartBytes = 40
)

// receivedAnswer records how far an upstream's answer got. The zero value is ready for
// use.
type receivedAnswer struct {
	// status is that in the header; zero means that no header has arrived.
	status int
	// events is the number of events of a stream.
	events int
	// beganAt is the time of the first event, or of the first byte of the body of any
	// other answer; zero means that there was none.
	beganAt time.Time
}

// addEvent records an event of a stream.
func (r *receivedAnswer) addEvent(now time.Time) {
	r.events++
	r.begin(now)
}

func (r *receivedAnswer) begin(now time.Time) {
	if r.beganAt.IsZero() {
		r.beganAt = now
	}
}

// age returns the time since the answer began, or zero if it has not.
func (r *receivedAnswer) age(now time.Time) time.Duration {
	if r.beganAt.IsZero() {
		return 0
	}
	return now.Sub(r.beganAt)
}

// answerBody records in answer when the body of a response begins.
type answerBody struct {
	io.Reader
	clock  comfreyworks.Clock
	answer *receivedAnswer
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if n > 0 {
		b.answer.begin(b.clock.Now())
	}
	return n, err
}

// loggedParts returns the IDs of the deepest declared parts of a prompt, cut to a size
// that fits into a log line.
func (p *Prompt) loggedParts() []string {
	deepest := p.Parts[max(len(p.Parts)-maxLoggedParts, 0):]
	ids := make([]string, len(deepest))
	for i, part := range deepest {
		ids[i] = part.ID[:min(len(part.ID), maxLoggedPartBytes)]
	}
	return ids
}
