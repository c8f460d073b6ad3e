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
	// other answer; zero means that there was none. heardAt is the time at which a part of
	// the answer arrived last.
	beganAt, heardAt time.Time
	// longestPause is the longest time between two parts of the answer, header included.
	longestPause time.Duration
}

// hear records that a part of the answer has arrived.
func (r *receivedAnswer) hear(now time.Time) {
	if !r.heardAt.IsZero() {
		r.longestPause = max(r.longestPause, now.Sub(r.heardAt))
	}
	r.heardAt = now
}

// silentFor returns for how long nothing has arrived of the answer to a request that was sent
// at a time.
func (r *receivedAnswer) silentFor(sentAt, now time.Time) time.Duration {
	return now.Sub(comfreyworks.Later(sentAt, r.heardAt))
}

// addEvent records an event of a stream.
func (r *receivedAnswer) addEvent(now time.Time) {
	r.events++
	r.hear(now)
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
		now := b.clock.Now()
		b.answer.hear(now)
		b.answer.begin(now)
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
