package capacity

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/dustin/go-humanize"
)

// Size is the size of a deployment and its load.
type Size struct {
	// Nodes is the number of nodes, each of which runs one entry.
	Nodes float64
	// Replicas is the number of engines, each of which has one sidecar.
	Replicas float64
	// Models is the number of models, each of which has one pool of replicas.
	Models float64
	// Requests, Tokens and CacheEvents are rates per second.
	Requests    float64
	Tokens      float64
	CacheEvents float64
	// CachedBlocks is the number of cached blocks in all replicas together.
	CachedBlocks float64
	// RestartsPerDay is the number of instances that fail, restart or are replaced
	// per day.
	RestartsPerDay float64
	// KeyedCallShare is the fraction of requests that are service calls with an
	// idempotency key.
	KeyedCallShare float64
}

// FullSize returns the size that the first users plan for.
func FullSize() Size {
	return Size{
		Nodes: 340, Replicas: 1100, Models: 16,
		Requests: 7900, Tokens: 3e6, CacheEvents: 950e3,
		CachedBlocks: 89e6, RestartsPerDay: 587, KeyedCallShare: 0.01,
	}
}

// Upper bounds for the control overhead of one node.
const (
	boundBytesPerSecond = 7e3
	boundCores          = 0.039
	boundMemoryBytes    = 256 << 20
	// boundRestartSeconds is the time within which a restarted process has to serve.
	boundRestartSeconds = 1
)

// Properties of the design that the estimates depend on.
const (
	shardsPerPool = 2
	// regularReportsPerSecond is the maximum rate of regular reports from a busy
	// sidecar to each shard. Urgent reports come in addition: a quarter of the
	// requests is cold, and each of them causes two, because it starts a long
	// prefill and evicts another long prompt from the cache.
	regularReportsPerSecond     = 4
	coldRequestShare            = 0.25
	urgentReportsPerColdRequest = 2
	// pullsPerSecond is how often an instance asks a peer for a newer
	// configuration. Each change of the configuration transfers one section of
	// configurationSectionBytes.
	pullsPerSecond             = 2
	configurationSectionBytes  = 200 << 10
	configurationChangesPerDay = 1300
	// newLevelsPerRequest is the number of prefix levels of a prompt that no earlier
	// prompt had.
	newLevelsPerRequest = 3
	// timeBetweenTokens is the time between two tokens of a stream.
	timeBetweenTokens = 51 * time.Millisecond
	// idempotencyWindow is how long idempotency keys are remembered.
	idempotencyWindow = 30 * time.Minute
	// sidecarsPerServicePool is the number of sidecars that share a claims stream.
	// Each of them reads all records.
	sidecarsPerServicePool = 3
)

// Estimate is the estimated value of one quantity of one role. It is one row of
// the printed table.
type Estimate struct {
	Role     string
	Quantity string
	Value    float64
	Unit     string
	// Bound is the maximum value, or zero if no bound applies.
	Bound float64
	// Mechanism names the part of the design that determines the quantity.
	Mechanism string
	// Derivation tells how the value was calculated.
	Derivation string
}

// Fits reports whether the value does not exceed the bound.
func (e Estimate) Fits() bool { return e.Bound == 0 || e.Value <= e.Bound }

// Units of estimates.
const (
	unitBytesPerSecond = "B/s"
	unitCores          = "core"
	unitSeconds        = "s"
)

// estimator calculates estimates for a size.
type estimator struct {
	Size
	slopes Slopes
}

func (e estimator) slope(name SlopeName) float64 { return e.slopes[name].Value }

// cores returns the number of cores that an operation occupies, from its CPU time in
// nanoseconds and its rate per second.
func cores(nanos, rate float64) float64 { return nanos * rate / 1e9 }

func (e estimator) requestsPerEntry() float64   { return e.Requests / e.Nodes }
func (e estimator) requestsPerReplica() float64 { return e.Requests / e.Replicas }
func (e estimator) replicasPerPool() float64    { return e.Replicas / e.Models }
func (e estimator) instances() float64          { return e.Nodes + e.Replicas }

// blockLifetime returns how long a block stays cached, in seconds. Half of the cache
// events store a block, the other half remove one.
func (e estimator) blockLifetime() float64 { return e.CachedBlocks / (e.CacheEvents / 2) }

// levelsPerReplica returns the number of prefix levels that a replica's cache holds.
func (e estimator) levelsPerReplica() float64 {
	return e.requestsPerReplica() * newLevelsPerRequest * e.blockLifetime()
}

// reportsPerSecond returns the rate of reports from one sidecar to one shard.
func (e estimator) reportsPerSecond() float64 {
	return regularReportsPerSecond + urgentReportsPerColdRequest*coldRequestShare*e.requestsPerReplica()
}

// changesPerSecond returns the rate of level changes at one replica. Each new level
// is gained once and lost once.
func (e estimator) changesPerSecond() float64 {
	return 2 * newLevelsPerRequest * e.requestsPerReplica()
}

// openStreams returns the number of streams that are open at a replica.
func (e estimator) openStreams() float64 {
	tokensPerRequest := e.Tokens / e.Requests
	return e.requestsPerReplica() * tokensPerRequest * timeBetweenTokens.Seconds()
}

// EstimateRoles estimates the resources that each role needs at the given size.
func EstimateRoles(slopes Slopes, size Size) []Estimate {
	e := estimator{Size: size, slopes: slopes}
	return slices.Concat(e.entry(), e.sidecar(), e.directoryShard(), e.claimExecutor(), e.configuration())
}

// listBytesPerSecond returns the traffic of one instance's conditional reads of the
// list of instances. Each change of the list transfers all of it, and each restart
// changes it twice.
func (e estimator) listBytesPerSecond() float64 {
	return e.instances() * e.slope(SlopeListBytes) * e.RestartsPerDay * 2 / (24 * time.Hour).Seconds()
}

// configurationBytesPerSecond returns the traffic of one instance's pulls of the
// configuration, including the sections that have changed.
func (e estimator) configurationBytesPerSecond() float64 {
	changed := configurationSectionBytes * configurationChangesPerDay / (24 * time.Hour).Seconds()
	return pullsPerSecond*e.slope(SlopePullBytes) + changed
}

func (e estimator) configuration() []Estimate {
	const role = "configuration"
	return []Estimate{
		{role, "questions and changes", e.configurationBytesPerSecond(), unitBytesPerSecond, boundBytesPerSecond, "pulls from random peers; only changed sections travel", "2 questions a second + 1,300 changes a day x 200 KiB (1,600 workspaces are one section)"},
		{role, "processor time", cores(e.slope(SlopePullCPU), pullsPerSecond), unitCores, boundCores, "pulls from random peers", "2 questions a second x cost"},
	}
}

func (e estimator) entry() []Estimate {
	const role = "entry"
	rate := e.requestsPerEntry()
	tokens := e.Tokens / e.Nodes
	placements := rate * e.slope(SlopePlaceBytes)
	list := e.listBytesPerSecond()
	return []Estimate{
		{role, "placements", placements, unitBytesPerSecond, boundBytesPerSecond, "one RPC a request to the owner of the prompt's root", "requests a node x bytes a placement"},
		{role, "list of instances", list, unitBytesPerSecond, boundBytesPerSecond, "conditional read of the platform's list: the whole list when it changed", "instances x bytes x two changes for each restart"},
		{role, "all bytes for control", placements + list + e.configurationBytesPerSecond(), unitBytesPerSecond, boundBytesPerSecond, "placements, list, configuration", "sum"},
		{role, "processor time for control", cores(e.slope(SlopePlaceCPU), rate) + cores(e.slope(SlopeChainCPU), rate*promptKiB), unitCores, boundCores, "hashing and placement", "requests a node x (placement + 48 KiB hashed)"},
		{role, "memory for control", e.Replicas*e.slope(SlopeConnectionMemory)/2 + e.instances()*e.slope(SlopeInstanceMemory), unitBytes, boundMemoryBytes, "a connection to every sidecar, the view of instances", "replicas x half a connection + instances x view"},
		{role, "relay, not control", cores(e.slope(SlopeReadCPU), tokens), unitCores, 0, "long-poll reads of numbered frames", "tokens a node x read of one token, both ends"},
	}
}

func (e estimator) sidecar() []Estimate {
	const role = "sidecar"
	reports := e.reportsPerSecond() * shardsPerPool * e.slope(SlopeReportBytes)
	changed := e.changesPerSecond() * e.slope(SlopeChangeBytes)
	events := e.CacheEvents / e.Replicas
	memory := e.levelsPerReplica()*e.slope(SlopeResidencyMemory) +
		(e.Nodes+e.replicasPerPool())*e.slope(SlopeConnectionMemory)/2 +
		e.openStreams()*e.slope(SlopeStreamMemory)
	cpu := cores(e.slope(SlopeReportCPU), e.reportsPerSecond()*shardsPerPool) + cores(e.slope(SlopeEventCPU), events)
	return []Estimate{
		{role, "reports sent", reports + changed, unitBytesPerSecond, boundBytesPerSecond, "batched changes of levels; blocks end at the sidecar", "reports x shards x bytes + changes x bytes"},
		{role, "all bytes for control", reports + changed + e.listBytesPerSecond() + e.configurationBytesPerSecond(), unitBytesPerSecond, boundBytesPerSecond, "reports, list, configuration; no shard", "sum"},
		{role, "processor time for control", cpu, unitCores, boundCores, "reports and the residency index", "reports x cost + events x cost"},
		{role, "memory", memory, unitBytes, boundMemoryBytes, "residency index, connections, open streams", fmt.Sprintf("%.0f levels, %.0f connections, %.0f streams", e.levelsPerReplica(), e.Nodes+e.replicasPerPool(), e.openStreams())},
	}
}

func (e estimator) directoryShard() []Estimate {
	const role = "directory shard"
	replicas := e.replicasPerPool()
	placements := e.Requests / e.Models / shardsPerPool
	reports := replicas * e.reportsPerSecond()
	changes := replicas * e.changesPerSecond() / shardsPerPool
	bytes := placements*e.slope(SlopePlaceBytes) + reports*e.slope(SlopeReportBytes) + changes*e.slope(SlopeChangeBytes)
	cpu := cores(e.slope(SlopePlaceCPU), placements) + cores(e.slope(SlopeReportCPU), reports) + cores(e.slope(SlopeChangeCPU), changes)
	holdings := replicas * e.levelsPerReplica() / shardsPerPool
	return []Estimate{
		{role, "placements and reports received", bytes, unitBytesPerSecond, boundBytesPerSecond, "two sidecars of each pool own its directory", "placements of a pool / shards + reports of a pool"},
		{role, "processor time", cpu, unitCores, boundCores, "two sidecars of each pool own its directory", "placements x cost + reports x cost + changes x cost"},
		{role, "memory", holdings * e.slope(SlopeDirectoryMemory), unitBytes, boundMemoryBytes, "levels, not blocks", fmt.Sprintf("%.0f holdings", holdings)},
	}
}

func (e estimator) claimExecutor() []Estimate {
	const role = "claim executor"
	calls := e.Requests * e.KeyedCallShare
	bytes := calls * e.slope(SlopeClaimBytes)
	return []Estimate{
		{role, "claims read and written", bytes + bytes/sidecarsPerServicePool, unitBytesPerSecond, boundBytesPerSecond, "batched appends to one stream for each service pool", "calls with a key (1 % of requests) x bytes"},
		{role, "replay at a restart", cores(e.slope(SlopeReplayCPU), 2*calls*idempotencyWindow.Seconds()), unitSeconds, boundRestartSeconds, "the whole stream is read before keyed calls are taken", "2 records a call x 30 min x cost"},
		{role, "memory for keys", calls * idempotencyWindow.Seconds() * e.slope(SlopeLedgerMemory), unitBytes, boundMemoryBytes, "the fold of the stream, two windows long", "calls x 30 min x bytes"},
	}
}

// WriteSlopes writes the slopes as a Markdown table.
func WriteSlopes(w io.Writer, slopes Slopes) error {
	names := make([]string, 0, len(slopes))
	for name := range slopes {
		names = append(names, string(name))
	}
	slices.Sort(names)
	var text strings.Builder
	text.WriteString("| slope | value |\n|---|---|\n")
	for _, name := range names {
		slope := slopes[SlopeName(name)]
		fmt.Fprintf(&text, "| %s | %.0f %s |\n", name, slope.Value, slope.Unit)
	}
	_, err := io.WriteString(w, text.String())
	return err
}

// WriteEstimates writes the estimates as a Markdown table.
func WriteEstimates(w io.Writer, estimates []Estimate) error {
	var text strings.Builder
	text.WriteString("| role | what | at full size | bound | fits | carried by | worked out |\n|---|---|---|---|---|---|---|\n")
	for _, e := range estimates {
		fmt.Fprintf(&text, "| %s | %s | %s | %s | %s | %s | %s |\n",
			e.Role, e.Quantity, formatValue(e.Value, e.Unit), formatBound(e), formatFits(e), e.Mechanism, e.Derivation)
	}
	_, err := io.WriteString(w, text.String())
	return err
}

func formatValue(value float64, unit string) string {
	switch unit {
	case unitCores:
		return fmt.Sprintf("%.2f %% of a core", 100*value)
	case unitSeconds:
		return fmt.Sprintf("%.1f s", value)
	default:
		return humanize.SIWithDigits(value, 1, unit)
	}
}

func formatBound(e Estimate) string {
	if e.Bound == 0 {
		return "-"
	}
	return formatValue(e.Bound, e.Unit)
}

func formatFits(e Estimate) string {
	switch {
	case e.Bound == 0:
		return "-"
	case e.Fits():
		return "yes"
	default:
		return "**no**"
	}
}
