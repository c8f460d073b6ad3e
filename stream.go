package comfreyworks

import "time"

// EndReason tells why a stream ended.
type EndReason string

// Reasons for the end of a stream.
const (
	// EndComplete means that the whole answer was written.
	EndComplete EndReason = "complete"
	// EndIncomplete means that the upstream failed before the end of the answer.
	EndIncomplete EndReason = "incomplete"
	// EndCancelled means that the caller cancelled or that the deadline passed.
	EndCancelled EndReason = "cancelled"
)

// StreamEnd describes how a stream ended.
type StreamEnd struct {
	Reason EndReason
	Usage  Usage
	// Detail explains any reason but EndComplete.
	Detail string
	// NotSent means that the engine has not received the request.
	NotSent bool
}

// StreamUpdate is the result of one read of a stream. If it has neither frames
// nor an end, nothing was written within the time to wait.
type StreamUpdate struct {
	Frames []string
	// End is nil until the stream has ended.
	End *StreamEnd
	// QueueWait is how long the request waited in the sidecar's queue; zero
	// until it is known.
	QueueWait time.Duration
	// Unknown means that there is no such stream, for example because the
	// sidecar was restarted.
	Unknown bool
}
