package comfreyworks

import (
	"context"
	"time"
)

// Position is a place in a source of changes. Zero is before everything.
type Position uint64

// Declaration is what operators declared after a position.
type Declaration struct {
	// Routing is nil when it has not changed.
	Routing *Routing
	// Weights are the revisions that models shall serve; models that are not
	// named have not changed.
	Weights map[Model]WeightsRevision
	Next    Position
}

// DeclarationSource is where operators declare routing and weights.
type DeclarationSource interface {
	// Declarations returns what was declared after a position, waiting up to
	// wait for the first change. Position zero returns everything in force.
	Declarations(ctx context.Context, after Position, wait time.Duration) (Declaration, error)
}

// UpstreamChanges are changes of the list of upstreams.
type UpstreamChanges struct {
	// Whole means that Present is the complete list.
	Whole   bool
	Present []Upstream
	// Gone lists upstreams whose entries were removed.
	Gone []InstanceID
	Next Position
}

// UpstreamSource is the list of upstreams that a gateway reaches directly.
type UpstreamSource interface {
	// Upstreams returns the changes after a position, waiting up to wait for
	// the first one. Position zero returns the whole list.
	Upstreams(ctx context.Context, after Position, wait time.Duration) (UpstreamChanges, error)
}

// LeaseLog is a log on which an append can be made to depend on the end of
// the log.
type LeaseLog interface {
	// Tail returns the newest record, nil when there is none or it was dropped,
	// and the offset that the next append will get.
	Tail(ctx context.Context, stream string) ([]byte, Offset, error)
	// AppendAt appends a record if the log ends at an offset. It returns false
	// when it does not. After an error the record may or may not be there.
	AppendAt(ctx context.Context, stream string, at Offset, record []byte) (bool, error)
}
