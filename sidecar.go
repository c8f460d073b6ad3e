package comfreyworks

import (
	"context"
	"errors"
	"time"
)

// ErrNotSent is wrapped by errors of a Gate that promise that the other side
// has not seen the call.
var ErrNotSent = errors.New("not sent")

// ServiceAttempt asks for one call to a plain service.
type ServiceAttempt struct {
	Workspace Workspace
	Class     Class
	Call      ServiceCall
	// Repeatable means that the call may run more than once.
	Repeatable bool
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
}

// ServiceOutcome is what became of a call to a plain service.
type ServiceOutcome struct {
	Run RunState
	// Refusal explains NotRun.
	Refusal *Refusal
	// Answer is the service's answer when Run is Ran.
	Answer ServiceAnswer
	// Conflict means that the key was used before with another body.
	Conflict bool
	// Detail explains everything else.
	Detail string
}

// PlaceRequest asks a directory shard to choose an upstream.
type PlaceRequest struct {
	Pool  Pool
	Chain PrefixChain
	// Exclude lists instances that must not be chosen.
	Exclude []InstanceID
}

// Placement is a shard's choice; no instance means that it knows none.
type Placement struct {
	Instance     InstanceID
	CachedTokens int
	// Candidates is the number of upstreams that were considered.
	Candidates int
}

// Sidecar is a sidecar as other processes see it. Every call may be repeated
// without harm, but for Call. Errors that wrap ErrNotSent promise that the
// sidecar has not seen the call.
type Sidecar interface {
	// Start asks for a stream; a refusal means that nothing was started.
	Start(ctx context.Context, work GenerateAttempt) (*Refusal, error)
	// Read returns the frames of a stream from a number on.
	Read(ctx context.Context, id StreamID, from int, wait time.Duration) (StreamUpdate, error)
	// Cancel gives a stream up.
	Cancel(ctx context.Context, id StreamID) error
	// Call makes one call to the plain service beside the sidecar.
	Call(ctx context.Context, work ServiceAttempt) (ServiceOutcome, error)
	// Place chooses an upstream within a timeout.
	Place(ctx context.Context, request PlaceRequest, timeout time.Duration) (Placement, error)
}

// SidecarClients finds the gate of an instance.
type SidecarClients interface {
	Sidecar(instance Instance) Sidecar
}
