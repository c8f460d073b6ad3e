package comfreyworks

import "context"

// ServiceCall is one HTTP call to a plain service.
type ServiceCall struct {
	Method string
	// Path is the path below the service's root, with its query.
	Path        string
	ContentType string
	Body        []byte
	// IdempotencyKey is passed on to the service; it may be empty.
	IdempotencyKey string
}

// ServiceAnswer is the service's answer.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Service is a plain service as its sidecar sees it.
type Service interface {
	// Do sends the call once. After an error the call may or may not have
	// run, unless the error wraps ErrNotSent.
	Do(ctx context.Context, call ServiceCall) (ServiceAnswer, error)
}

// RunState tells a caller whether its call ran.
type RunState string

// Run states of a call. A state other than RunUnknown is always true.
const (
	Ran        RunState = "ran"
	NotRun     RunState = "not-run"
	RunUnknown RunState = "unknown"
)
