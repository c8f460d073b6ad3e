package comfreyworks

import "fmt"

// OpError is the shape of every package's error type: the operation that
// failed, the kind of failure and the cause. A package declares its own kind
// type and instantiates OpError with it, so that errors.As tells the packages
// apart:
//
//	type Kind string
//	type Error = comfreyworks.OpError[Kind]
type OpError[K ~string] struct {
	// Op names the operation, for example "dial".
	Op string
	// Kind tells the caller what it may do about the failure.
	Kind K
	// Err is the cause; it may be nil.
	Err error
}

// Error formats the operation, the kind and the cause on one line.
func (e *OpError[K]) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Op, string(e.Kind))
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, string(e.Kind), e.Err)
}

// Unwrap returns the cause.
func (e *OpError[K]) Unwrap() error { return e.Err }
