package comfreyworks

import (
	"context"
	"errors"
	"time"
)

// ErrNotSent is wrapped by errors which guarantee that the receiver has not
// received the call.
var ErrNotSent = errors.New("not sent")

// ErrNoAnswer is wrapped by errors which mean that no answer arrived, so that the
// receiver may or may not have received the call.
var ErrNoAnswer = errors.New("no answer")

// ServiceAttempt is one attempt to call a plain service.
type ServiceAttempt struct {
	Workspace Workspace
	Class     Class
	Call      ServiceCall
	// Repeatable means that the call may run more than once.
	Repeatable bool
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
}

// ServiceOutcome is the result of a ServiceAttempt.
type ServiceOutcome struct {
	Run RunState
	// Refusal explains RunStateNotRun; it may be nil.
	Refusal *Refusal
	// Answer is the service's response if Run is RunStateRan.
	Answer ServiceAnswer
	// Conflict means that the idempotency key was used before with another body.
	Conflict bool
	// Detail describes a failure; it may be empty.
	Detail string
}

// PlaceRequest asks a directory shard to choose an upstream.
type PlaceRequest struct {
	Pool  Pool
	Chain PrefixChain
	// Exclude lists instances that must not be chosen.
	Exclude []InstanceID
}

// Placement is the upstream that a directory shard chose.
type Placement struct {
	// Instance is empty if the shard knows no suitable upstream.
	Instance InstanceID
	// CachedTokens is how many of the prompt's tokens the upstream holds.
	CachedTokens int
	// Candidates is the number of upstreams that were considered.
	Candidates int
}

// Sidecar is the interface that a sidecar offers to other processes. All methods
// but Call are idempotent. An error that wraps ErrNotSent guarantees that the
// sidecar has not received the call, one that wraps ErrNoAnswer that the sidecar
// has not refused it.
type Sidecar interface {
	// Start starts a stream. A refusal means that nothing was started.
	Start(ctx context.Context, attempt GenerateAttempt) (*Refusal, error)
	// Read returns the frames of a stream, starting with frame number from. If
	// there are none yet, it waits up to wait for the next frame or the end.
	Read(ctx context.Context, id StreamID, from int, wait time.Duration) (StreamUpdate, error)
	// Cancel stops a stream.
	Cancel(ctx context.Context, id StreamID) error
	// Call calls the plain service behind the sidecar.
	Call(ctx context.Context, attempt ServiceAttempt) (ServiceOutcome, error)
	// Place chooses an upstream. It fails if there is no answer within timeout.
	Place(ctx context.Context, request PlaceRequest, timeout time.Duration) (Placement, error)
}

// SidecarClients provides clients for the sidecars of instances.
type SidecarClients interface {
	// Sidecar returns a client for the sidecar at the instance's address.
	Sidecar(instance Instance) Sidecar
}
