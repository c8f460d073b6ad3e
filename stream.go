package comfreyworks

import "time"

// EndReason tells why a stream ended.
type EndReason string

// Reasons for the end of a stream.
const (
	// EndComplete means that every frame of the answer was written.
	EndComplete EndReason = "complete"
	// EndIncomplete means that the upstream failed part of the way.
	EndIncomplete EndReason = "incomplete"
	// EndCancelled means that the caller gave up or the deadline passed.
	EndCancelled EndReason = "cancelled"
)

// StreamEnd closes a stream.
type StreamEnd struct {
	Reason EndReason
	Usage  Usage
	// Detail explains an end that is not complete.
	Detail string
}

// StreamUpdate is the answer to one read of a stream. No frames and no end mean
// that nothing happened within the wait.
type StreamUpdate struct {
	Frames []string
	End    *StreamEnd
	// QueueWait is how long the request waited at the sidecar, once known.
	QueueWait time.Duration
	// Unknown means that there is no such stream, for example because the
	// sidecar was restarted.
	Unknown bool
}
