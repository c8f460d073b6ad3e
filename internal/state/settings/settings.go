// Package settings reads and checks settings files. They are written in JSON with
// comments; names are in kebab case, durations and sizes have units, and
// addresses are IP addresses with a port.
//
// There are three kinds of files. A deployment file declares zones, models,
// classes, workspaces, pools and the limits for callers. An instance file holds
// the name, zone and addresses of one process and names the deployment file. An
// operator file tells comfreyctl how to reach the system.
//
// # Usage
//
//	deployment, err := settings.ReadDeployment("piedmont.jsonc", source)
//
// The error is a Problems value. It holds all errors in the file, each with its
// line, its path and what was expected.
package settings

import (
	"net/netip"
	"time"

	"comfreyworks"
)

// Deployment is the configuration that all instances share.
type Deployment struct {
	Name       string      `json:"deployment"`
	Region     string      `json:"region"`
	Zones      []Zone      `json:"zones"`
	Models     []Model     `json:"models"`
	Classes    []Class     `json:"classes"`
	Workspaces []Workspace `json:"workspaces"`
	Pools      []Pool      `json:"pools"`
	Callers    Callers     `json:"callers" default:"{}"`
}

// Zone is one availability zone.
type Zone struct {
	Name comfreyworks.Zone `json:"name"`
}

// Model is one model that callers can request.
type Model struct {
	Name    comfreyworks.Model          `json:"name"`
	Weights comfreyworks.WeightsVersion `json:"weights"`
	Adapter comfreyworks.Adapter        `json:"adapter" default:"\"\""`
	// BytesPerToken is the average length of a token in bytes. It is used to
	// estimate token counts from text.
	BytesPerToken int `json:"bytes-per-token" default:"4"`
}

// Class is one traffic class.
type Class struct {
	Name comfreyworks.Class `json:"name"`
	// Priority orders the queues of sidecars and engines; larger values are served
	// first.
	Priority int `json:"priority"`
	// Deadline is the maximum duration of a request.
	Deadline time.Duration `json:"deadline"`
	// QueueBound is the maximum number of requests of the class that may wait at
	// one sidecar.
	QueueBound int `json:"queue-bound" default:"256"`
}

// Workspace is one tenant.
type Workspace struct {
	Name comfreyworks.Workspace `json:"name"`
	// KeyHash is the SHA-256 hash of the workspace's key in lower-case
	// hexadecimal.
	KeyHash string `json:"key-sha256"`
	// Classes lists the classes that the workspace may use; the first is the
	// default.
	Classes []comfreyworks.Class `json:"classes"`
}

// PoolKind is the kind of a pool's upstreams.
type PoolKind string

// Kinds of pools.
const (
	PoolEngine  PoolKind = "engine"
	PoolService PoolKind = "service"
)

// Pool is a group of interchangeable upstreams.
type Pool struct {
	Name comfreyworks.Pool `json:"name"`
	Kind PoolKind          `json:"kind"`
	// Models lists the models that an engine pool serves. It is empty for service
	// pools.
	Models []comfreyworks.Model `json:"models" default:"[]"`
	// Replicas is the usual number of upstreams.
	Replicas int `json:"replicas"`
	// Zones lists the zones of the upstreams.
	Zones []comfreyworks.Zone `json:"zones"`
	// ChecksFencing means that the upstreams refuse orders with an old fencing
	// token.
	ChecksFencing bool `json:"checks-fencing" default:"false"`
	// LoadPermits is the maximum number of upstreams that load weights at the same
	// time.
	LoadPermits int `json:"load-permits" default:"1"`
	// CacheStore names the store of offloaded KV cache; empty means none.
	CacheStore string `json:"kept-cache" default:"\"\""`
	// Placement is the placement policy of an engine pool.
	Placement comfreyworks.PolicyName `json:"placement" default:"comfrey"`
	// DirectoryShards is the number of sidecars that hold a shard of the prefix
	// directory.
	DirectoryShards int `json:"directory-shards" default:"2"`
	// Concurrency is the maximum number of requests that a sidecar sends to its
	// upstream at the same time.
	Concurrency int `json:"concurrency" default:"256"`
	// PrefillRate is a first estimate of the prompt tokens that an upstream
	// prefills per second. Sidecars replace it by the rate that they measure.
	PrefillRate int `json:"prefill-tokens-per-second" default:"25000"`
	// IdempotencyWindow is how long an idempotency key is valid after it was
	// issued. The platform's log must keep records for longer than that.
	IdempotencyWindow time.Duration `json:"idempotency-window" default:"15m"`
	// Calls declares the calls of a service pool. Calls that are not declared are
	// not repeatable.
	Calls []Call `json:"calls" default:"[]"`
}

// Call declares a call to a plain service, identified by method and path.
type Call struct {
	Method string `json:"method"`
	// Path is the path relative to the service's root, without the query.
	Path string `json:"path"`
	// Repeatable means that the call may run more than once.
	Repeatable bool `json:"repeatable"`
}

// Callers holds the limits for requests and connections of callers, and the times
// of a graceful stop.
type Callers struct {
	// MaxBody is the maximum length of a request body.
	MaxBody ByteSize `json:"max-body" default:"4MiB"`
	// HeaderTimeout is the time in which the header of a request must arrive.
	HeaderTimeout time.Duration `json:"header-timeout" default:"5s"`
	// BodyTimeout is the time in which a whole request must arrive.
	BodyTimeout time.Duration `json:"body-timeout" default:"30s"`
	// IdleTimeout is how long a connection stays open between two requests.
	IdleTimeout time.Duration `json:"idle-timeout" default:"60s"`
	// WriteTimeout is the maximum duration of one write to a caller.
	WriteTimeout time.Duration `json:"write-timeout" default:"10s"`
	// StopNotice is how long an entry that is being stopped continues to accept
	// requests while it already reports that it is not ready.
	StopNotice time.Duration `json:"stop-notice" default:"2s"`
	// StopGrace is how long a graceful stop waits for requests in progress.
	StopGrace time.Duration `json:"stop-grace" default:"30s"`
}

// Operator holds the settings of comfreyctl.
type Operator struct {
	// Platform is the address of the platform's log and instance list.
	Platform netip.AddrPort `json:"platform"`
	// PeerSecret is the shared secret with which instances authenticate to each
	// other.
	PeerSecret string `json:"peer-secret"`
}

// Instance holds the settings of one process.
type Instance struct {
	ID   comfreyworks.InstanceID `json:"instance"`
	Role comfreyworks.Role       `json:"role"`
	Zone comfreyworks.Zone       `json:"zone"`
	// DeploymentFile is the path of the deployment file, relative to the instance
	// file.
	DeploymentFile string `json:"deployment-file"`
	// Listen is the address on which an entry serves callers and a sidecar serves
	// its peers.
	Listen netip.AddrPort `json:"listen"`
	// AdminListen is the address on which a sidecar serves health checks and
	// metrics.
	AdminListen netip.AddrPort `json:"admin-listen" optional:"true"`
	// PeerSecret is the shared secret with which instances authenticate to each
	// other.
	PeerSecret string `json:"peer-secret"`
	// Platform is the address of the platform's log and instance list.
	Platform netip.AddrPort `json:"platform"`
	// MemoryLimit is the memory that the process may use; absent means no limit.
	MemoryLimit ByteSize `json:"memory-limit" optional:"true"`
	// Pool is the pool of a sidecar and Upstream the address of its upstream. Both
	// are required for sidecars.
	Pool     comfreyworks.Pool `json:"pool" optional:"true"`
	Upstream netip.AddrPort    `json:"upstream" optional:"true"`
}
