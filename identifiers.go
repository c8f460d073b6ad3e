package comfreyworks

// Identifiers that are used across processes.
type (
	// Workspace is the name of one tenant.
	Workspace string
	// Class is the name of a traffic class, for example "review".
	Class string
	// Model is the public name of a model.
	Model string
	// WeightsVersion identifies one set of weights of a model.
	WeightsVersion string
	// Adapter names an adapter applied to a model; empty means none.
	Adapter string
	// Pool is the name of a group of interchangeable upstreams.
	Pool string
	// Zone is the name of an availability zone.
	Zone string
	// InstanceID identifies one instance, for example "lm-pool/3".
	InstanceID string
	// Incarnation identifies one run of a process. It changes every time the
	// process starts with empty state.
	Incarnation uint64
	// RequestID identifies a caller's request across all retries.
	RequestID string
	// StreamID identifies one attempt to generate the answer to a request.
	StreamID string
)

// ConfigRevision numbers the accepted configurations in increasing order. Zero
// is the configuration file that an instance was started with.
type ConfigRevision uint64
