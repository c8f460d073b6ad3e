package comfreyworks

import "time"

// GenerateAttempt is one attempt to generate the answer to a request.
type GenerateAttempt struct {
	Stream    StreamID
	Workspace Workspace
	Class     Class
	Request   GenerateRequest
	Chain     PrefixChain
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
}

// RefusalReason tells why work was not taken.
type RefusalReason string

// Reasons of refusals.
const (
	// RefusedLeaving means that the sidecar is being stopped.
	RefusedLeaving RefusalReason = "leaving"
	// RefusedStarting means that the sidecar is not ready yet.
	RefusedStarting RefusalReason = "starting"
	// RefusedBusy means that the queue of the request's class is full.
	RefusedBusy RefusalReason = "busy"
	// RefusedOtherWeights means that the upstream serves other weights.
	RefusedOtherWeights RefusalReason = "other-weights"
	// RefusedUpstreamDown means that the upstream does not answer.
	RefusedUpstreamDown RefusalReason = "upstream-down"
	// RefusedLogDown means that the log did not take the claim.
	RefusedLogDown RefusalReason = "log-down"
	// RefusedOverLimit means that the workspace is over its limit.
	RefusedOverLimit RefusalReason = "over-limit"
)

// Refusal is a typed "not run": nothing was given to the upstream.
type Refusal struct {
	Reason RefusalReason
	// RetryAfter is when the caller may come back; zero means at once.
	RetryAfter time.Duration
}
