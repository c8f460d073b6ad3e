package comfreyworks

import (
	"errors"
	"fmt"
)

// ErrCutOff means that reading stopped at a bound on bytes, or on time without
// progress, because what was read may never end. The bound is part of the message of
// the error that wraps it.
var ErrCutOff = errors.New("cut off")

// OpError is the generic error type of all packages. It holds the operation
// that failed, the kind of failure and the cause. Each package declares its own
// kind type and instantiates OpError with it, so that errors.As distinguishes
// the errors of different packages:
//
//	type Kind string
//	type Error = comfreyworks.OpError[Kind]
type OpError[K ~string] struct {
	// Op names the operation, for example "dial".
	Op string
	// Kind classifies the failure, so that callers can decide how to handle it.
	Kind K
	// Err is the cause, or nil.
	Err error
}

// Error returns "op: kind: cause", or "op: kind" if there is no cause.
func (e *OpError[K]) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Op, string(e.Kind))
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, string(e.Kind), e.Err)
}

// Unwrap returns the cause.
func (e *OpError[K]) Unwrap() error { return e.Err }
