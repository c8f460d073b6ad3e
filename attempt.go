package comfreyworks

import "time"

// GenerateAttempt is one attempt to generate the answer to a request, as an
// entry sends it to a sidecar.
type GenerateAttempt struct {
	Stream    StreamID
	Workspace Workspace
	Class     Class
	Request   GenerateRequest
	Chain     PrefixChain
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
}

// RefusalReason tells why a sidecar did not accept an attempt.
type RefusalReason string

// Reasons of refusals.
const (
	// RefusedLeaving means that the sidecar is shutting down.
	RefusedLeaving RefusalReason = "leaving"
	// RefusedStarting means that the sidecar is not ready yet.
	RefusedStarting RefusalReason = "starting"
	// RefusedBusy means that the queue of the request's class is full.
	RefusedBusy RefusalReason = "busy"
	// RefusedOtherWeights means that the upstream serves other weights.
	RefusedOtherWeights RefusalReason = "other-weights"
	// RefusedUpstreamDown means that the upstream does not answer.
	RefusedUpstreamDown RefusalReason = "upstream-down"
	// RefusedLogDown means that the claim could not be appended to the log.
	RefusedLogDown RefusalReason = "log-down"
	// RefusedOverLimit means that the workspace is over its limit.
	RefusedOverLimit RefusalReason = "over-limit"
	// RefusedMemory means that an entry has no memory left for the body of the request.
	RefusedMemory RefusalReason = "memory"
)

// Refusal reports that an attempt was not accepted. Nothing was sent to the
// upstream.
type Refusal struct {
	Reason RefusalReason
	// RetryAfter is how long the caller should wait before a retry; zero means
	// that it may retry at once.
	RetryAfter time.Duration
}
