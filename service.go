package comfreyworks

import "context"

// ServiceCall is one HTTP call to a plain service.
type ServiceCall struct {
	Method string
	// Path is the path relative to the service's root, including the query.
	Path        string
	ContentType string
	Body        []byte
	// IdempotencyKey is sent to the service; it may be empty.
	IdempotencyKey string
}

// ServiceAnswer is the HTTP response of a plain service.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Service is a sidecar's connection to its plain service.
type Service interface {
	// Do sends the call once. After an error the call may or may not have
	// run, unless the error wraps ErrNotSent.
	Do(ctx context.Context, call ServiceCall) (ServiceAnswer, error)
}

// RunState tells a caller whether its call ran.
type RunState string

// Run states of a call. RunStateRan and RunStateNotRun are reported only when
// they are certain.
const (
	RunStateRan     RunState = "ran"
	RunStateNotRun  RunState = "not-run"
	RunStateUnknown RunState = "unknown"
)
