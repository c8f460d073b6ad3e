package comfreyworks

import (
	"context"
	"net/netip"
	"time"
)

// Offset is the position of a record in one stream of a log.
type Offset uint64

// Record is one entry of a log stream.
type Record struct {
	Offset Offset `json:"offset"`
	Data   []byte `json:"data"`
}

// Log is the platform's append-only log service.
type Log interface {
	// Append appends records to a stream in order and in one operation, and
	// returns the offset of the first. After an error they may or may not have
	// been appended.
	Append(ctx context.Context, stream string, data [][]byte) (Offset, error)
	// Read returns up to limit records, starting at offset from. The first
	// record may have a higher offset if older records were dropped. If there
	// are no records yet, it waits up to wait.
	Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) ([]Record, error)
}

// Role is the function of an instance in the system.
type Role string

// Roles of instances.
const (
	RoleEntry   Role = "entry"
	RoleSidecar Role = "sidecar"
)

// InstanceState is the state of an instance as the platform reports it.
type InstanceState string

// States of instances.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one entry of the platform's list of instances, which lags behind
// the actual state.
type Instance struct {
	ID      InstanceID     `json:"id"`
	Role    Role           `json:"role"`
	Pool    Pool           `json:"pool,omitempty"`
	Zone    Zone           `json:"zone"`
	Address netip.AddrPort `json:"address"`
	State   InstanceState  `json:"state"`
}

// InstanceList provides the platform's list of live and leaving instances, which
// lags behind the actual state.
type InstanceList interface {
	// Instances returns the complete list.
	Instances(ctx context.Context) ([]Instance, error)
}

// WeightsStore is the platform's rate-limited store of model weights.
type WeightsStore interface {
	// Fetch reads the weights and returns once they have been read completely.
	Fetch(ctx context.Context, model Model, version WeightsVersion) error
}
