package comfreyworks

import (
	"context"
	"net/netip"
	"time"
)

// Offset is the place of a record in one stream of the log.
type Offset uint64

// Record is one entry of a log stream.
type Record struct {
	Offset Offset `json:"offset"`
	Data   []byte `json:"data"`
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds records to a stream in order, as one append, and returns
	// the offset of the first. After an error they may or may not be there.
	Append(ctx context.Context, stream string, data [][]byte) (Offset, error)
	// Read returns up to limit records from an offset on. The first offset
	// returned may be higher when older records were dropped. It waits up to
	// wait when there is nothing to return.
	Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) ([]Record, error)
}

// Role tells what an instance of the system does.
type Role string

// Roles of instances.
const (
	RoleEntry   Role = "entry"
	RoleSidecar Role = "sidecar"
)

// InstanceState is the platform's view of an instance.
type InstanceState string

// States of instances.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one entry of the platform's list. The list lags.
type Instance struct {
	ID      InstanceID     `json:"id"`
	Role    Role           `json:"role"`
	Pool    Pool           `json:"pool,omitempty"`
	Zone    Zone           `json:"zone"`
	Address netip.AddrPort `json:"address"`
	State   InstanceState  `json:"state"`
}

// InstanceList is the platform's lagging list of live and leaving instances.
type InstanceList interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// WeightStore is the platform's rate-limited store of model weights.
type WeightStore interface {
	// Fetch returns once the weights have been read.
	Fetch(ctx context.Context, model Model, version WeightsVersion) error
}
