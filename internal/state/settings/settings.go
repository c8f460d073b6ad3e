// Package settings reads and checks settings files: JSON with comments, names
// in kebab case, durations and sizes with units, addresses as IP numbers.
//
// There are three kinds of file. A deployment file declares what operators own:
// zones, models, classes, workspaces and pools. An instance file tells one
// process its name, zone and addresses and names the deployment file. An
// operator file tells comfreyctl how to reach the system.
//
// # Usage
//
//	deployment, err := settings.ReadDeployment("piedmont.jsonc", source)
//
// The error is a Problems value with every mistake in the file, each with its
// line, its path and what was expected.
package settings

import (
	"net/netip"
	"time"

	"comfreyworks"
)

// Deployment declares everything that all instances share.
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

// Model is one model that callers can name.
type Model struct {
	Name    comfreyworks.Model          `json:"name"`
	Weights comfreyworks.WeightsVersion `json:"weights"`
	Adapter comfreyworks.Adapter        `json:"adapter" default:"\"\""`
	// BytesPerToken estimates token counts from text.
	BytesPerToken int `json:"bytes-per-token" default:"4"`
}

// Class is one traffic class.
type Class struct {
	Name comfreyworks.Class `json:"name"`
	// Priority orders the queues of sidecars and engines; larger goes first.
	Priority int `json:"priority"`
	// Deadline bounds a whole request.
	Deadline time.Duration `json:"deadline"`
	// QueueBound is how many requests of the class may wait at one sidecar.
	QueueBound int `json:"queue-bound" default:"256"`
}

// Workspace is one tenant.
type Workspace struct {
	Name comfreyworks.Workspace `json:"name"`
	// KeyHash is the hash of the workspace's key: lower-case hexadecimal
	// SHA-256.
	KeyHash string `json:"key-sha256"`
	// Classes lists the classes that the workspace may use; the first is the
	// default.
	Classes []comfreyworks.Class `json:"classes"`
}

// PoolKind tells what a pool's upstreams are.
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
	// Models lists the models that an engine pool serves.
	Models []comfreyworks.Model `json:"models" default:"[]"`
	// Replicas is the usual number of upstreams.
	Replicas int `json:"replicas"`
	// Zones lists where the upstreams are.
	Zones []comfreyworks.Zone `json:"zones"`
	// ChecksFencing tells whether the upstreams refuse an order that carries
	// an old fencing number.
	ChecksFencing bool `json:"checks-fencing" default:"false"`
	// LoadPermits is how many upstreams may load weights at once.
	LoadPermits int `json:"load-permits" default:"1"`
	// KeptCache names the store of kept KV cache; empty means none.
	KeptCache string `json:"kept-cache" default:"\"\""`
	// Placement is the policy that places requests on an engine pool.
	Placement comfreyworks.PolicyName `json:"placement" default:"comfrey"`
	// DirectoryShards is how many sidecars hold the prefix directory.
	DirectoryShards int `json:"directory-shards" default:"2"`
	// Concurrency is how many requests a sidecar gives its upstream at once.
	Concurrency int `json:"concurrency" default:"256"`
	// PrefillRate is the prompt tokens that an upstream computes in a second,
	// as a first estimate; sidecars learn the real rate.
	PrefillRate int `json:"prefill-tokens-per-second" default:"25000"`
	// IdempotencyWindow is how long an idempotency key is valid after its
	// issue. The platform's log must keep records for longer.
	IdempotencyWindow time.Duration `json:"idempotency-window" default:"15m"`
	// Calls declares the calls of a service pool. A call that is not declared
	// must not be repeated.
	Calls []Call `json:"calls" default:"[]"`
}

// Call declares one kind of call to a plain service.
type Call struct {
	Method string `json:"method"`
	// Path is the path below the service's root.
	Path string `json:"path"`
	// Repeatable tells whether the call may run more than once.
	Repeatable bool `json:"repeatable"`
}

// Callers bounds what one caller may hold.
type Callers struct {
	MaxBody ByteSize `json:"max-body" default:"4MiB"`
	// HeaderTimeout bounds the reading of a request's header.
	HeaderTimeout time.Duration `json:"header-timeout" default:"5s"`
	// BodyTimeout bounds the reading of a whole request.
	BodyTimeout time.Duration `json:"body-timeout" default:"30s"`
	// IdleTimeout closes connections without requests.
	IdleTimeout time.Duration `json:"idle-timeout" default:"60s"`
	// WriteTimeout bounds one write to a slow reader.
	WriteTimeout time.Duration `json:"write-timeout" default:"10s"`
	// StopNotice is how long an entry that is being stopped goes on serving
	// while it already reports that it is not ready.
	StopNotice time.Duration `json:"stop-notice" default:"2s"`
	// StopGrace is how long a planned stop waits for open requests.
	StopGrace time.Duration `json:"stop-grace" default:"30s"`
}

// Operator tells the operators' tool how to reach the system.
type Operator struct {
	// Platform is the address of the platform's log and instance list.
	Platform netip.AddrPort `json:"platform"`
	// PeerSecret is the secret that instances prove to each other.
	PeerSecret string `json:"peer-secret"`
}

// Instance tells one process who it is.
type Instance struct {
	ID   comfreyworks.InstanceID `json:"instance"`
	Role comfreyworks.Role       `json:"role"`
	Zone comfreyworks.Zone       `json:"zone"`
	// DeploymentFile is the deployment file, relative to the instance file.
	DeploymentFile string `json:"deployment-file"`
	// Listen is where an entry serves callers and a sidecar serves its peers.
	Listen netip.AddrPort `json:"listen"`
	// AdminListen serves health and metrics of a sidecar.
	AdminListen netip.AddrPort `json:"admin-listen" optional:"true"`
	// PeerSecret is the secret that instances prove to each other.
	PeerSecret string `json:"peer-secret"`
	// Platform is the address of the platform's log and instance list.
	Platform netip.AddrPort `json:"platform"`
	// Pool and Upstream are a sidecar's pool and the address of its upstream.
	Pool     comfreyworks.Pool `json:"pool" optional:"true"`
	Upstream netip.AddrPort    `json:"upstream" optional:"true"`
}
