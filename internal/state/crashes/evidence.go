package crashes

import (
	"math/bits"
	"time"
)

const (
	// SoundAnswerTime is how long an answer goes on when its request no longer counts as
	// the cause if the upstream ends.
	SoundAnswerTime = 500 * time.Millisecond
	// unreadTime is how soon after it was sent a request breaks that its upstream has not
	// read. What a request ends takes longer, because it has to begin to run.
	unreadTime = 30 * time.Millisecond
	// fewOtherEnds is the number of upstreams that may end without a suspect before that
	// casts doubt on it, maxDoubt limits the doubt.
	fewOtherEnds = 4
	maxDoubt     = 4
)

// Evidence is what is known of a request whose connection to its upstream broke.
type Evidence struct {
	// Took is the time since the request was sent.
	Took time.Duration
	// Began means that a part of the answer had arrived, the first of it Answering ago.
	Began     bool
	Answering time.Duration
	// Reset means that the connection was reset and not closed, Reused that it had been
	// used before. A process that has read a request and ends closes its connection; the
	// host of one that is gone resets it. Only a connection from before can be open then.
	Reset, Reused bool
}

// Verdict tells whether a request ended its upstream.
type Verdict string

// Verdicts on requests whose connection broke. Only EndedUnder blames the request.
const (
	// EndedUnder means that the upstream may have ended because of the request.
	EndedUnder Verdict = "ended under the request"
	// Answering means that the answer had gone on for long enough.
	Answering Verdict = "answering"
	// EndedBefore means that the upstream was known to have ended when the request was sent.
	EndedBefore Verdict = "ended before"
	// Unread means that the upstream had ended before it read the request.
	Unread Verdict = "unread"
)

// judge decides whether a request ended its upstream. known means that the upstream was
// known to have ended when the request was sent, and has not been heard of since. One
// that has accepted a new connection is back.
func judge(e Evidence, known bool) Verdict {
	switch {
	case e.Began && e.Answering >= SoundAnswerTime:
		return Answering
	case e.Began:
		return EndedUnder
	case known && e.Reused:
		return EndedBefore
	case e.Reset && e.Reused && e.Took <= unreadTime:
		return Unread
	default:
		return EndedUnder
	}
}

// doubt returns how many ends with a suspect don't count, given the number of upstreams
// that ended without it shortly before, and the number of ends with it of upstreams that
// ended at another time without it. The chance that a sound suspect is at one more end
// falls by a factor with each, while the ends at which it may be add up.
func doubt(others, again int) int {
	return min(bits.Len(uint(others/fewOtherEnds))+again, maxDoubt)
}
