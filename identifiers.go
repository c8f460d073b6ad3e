package comfreyworks

// Names and numbers that identify things across processes.
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
	// Incarnation changes every time a process starts with empty state.
	Incarnation uint64
	// RequestID identifies one caller's request over all retries.
	RequestID string
	// StreamID identifies one attempt to generate the answer to a request.
	StreamID string
)

// ConfigRevision numbers the accepted configurations; it only grows. Zero is the file
// that an instance was started with.
type ConfigRevision uint64
