package capacity

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/dustin/go-humanize"
)

// Size is the size of a deployment.
type Size struct {
	Nodes    float64
	Replicas float64
	Models   float64
	// Requests, Tokens and CacheEvents are rates per second.
	Requests    float64
	Tokens      float64
	CacheEvents float64
	// Blocks is the number of cached blocks over all replicas.
	Blocks float64
	// Restarts is the number of instances that fail, restart or are replaced
	// in a day.
	Restarts float64
	// CallShare is the share of requests that are calls with a key.
	CallShare float64
}

// FullSize is the size that the first users plan for.
func FullSize() Size {
	return Size{
		Nodes: 340, Replicas: 1100, Models: 16,
		Requests: 7900, Tokens: 3e6, CacheEvents: 950e3,
		Blocks: 89e6, Restarts: 587, CallShare: 0.01,
	}
}

// Bounds of one node, for control.
const (
	boundBytes  = 7e3
	boundCPU    = 0.039
	boundMemory = 256 << 20
	// boundRestart is how soon a restarted process has to serve, in seconds.
	boundRestart = 1
)

// What the estimates take from the design.
const (
	shardsPerPool = 2
	// usualReports is the most usual reports a second that a busy sidecar sends
	// to each shard. Urgent ones come on top: a quarter of the requests is cold,
	// and each of those begins a long prompt and evicts another.
	usualReports = 4
	coldShare    = 0.25
	urgentFor    = 2
	// pullsPerSecond is how often an instance asks a peer for a newer
	// configuration, sectionBytes the size of a section that changes.
	pullsPerSecond = 2
	sectionBytes   = 200 << 10
	changesPerDay  = 1300
	// newLevels is how many levels of a prompt nobody has asked for before.
	newLevels = 3
	// tokenGap is the time between tokens.
	tokenGap = 51 * time.Millisecond
	// window is how long keys are remembered.
	window = 30 * time.Minute
	// servicePoolSize is the number of sidecars that follow one claims stream.
	servicePoolSize = 3
)

// Figure is one figure of one role.
type Figure struct {
	Role  string
	What  string
	Value float64
	Unit  string
	// Bound is zero for figures that no bound applies to.
	Bound   float64
	Carried string
	How     string
}

// Fits reports whether the figure keeps its bound.
func (f Figure) Fits() bool { return f.Bound == 0 || f.Value <= f.Bound }

// Units of figures.
const (
	unitRate  = "B/s"
	unitShare = "core"
	unitTime  = "s"
)

// estimate is a size with what follows from it.
type estimate struct {
	Size
	slopes Slopes
}

func (e estimate) slope(name SlopeName) float64 { return e.slopes[name].Value }

// core turns nanoseconds and a rate into a share of a core.
func core(nanos, rate float64) float64 { return nanos * rate / 1e9 }

func (e estimate) requestsPerEntry() float64   { return e.Requests / e.Nodes }
func (e estimate) requestsPerReplica() float64 { return e.Requests / e.Replicas }
func (e estimate) replicasPerPool() float64    { return e.Replicas / e.Models }
func (e estimate) instances() float64          { return e.Nodes + e.Replicas }

// blockLife is how long a block stays cached: half of the events store one.
func (e estimate) blockLife() float64 { return e.Blocks / (e.CacheEvents / 2) }

func (e estimate) levelsPerReplica() float64 {
	return e.requestsPerReplica() * newLevels * e.blockLife()
}

// reportRate is the number of reports a second from one sidecar to one shard.
func (e estimate) reportRate() float64 {
	return usualReports + urgentFor*coldShare*e.requestsPerReplica()
}

func (e estimate) changesPerReplica() float64 { return 2 * newLevels * e.requestsPerReplica() }

// openStreams is how many streams are open at a replica.
func (e estimate) openStreams() float64 {
	tokensPerRequest := e.Tokens / e.Requests
	return e.requestsPerReplica() * tokensPerRequest * tokenGap.Seconds()
}

// Roles works the figures of every role out.
func Roles(slopes Slopes, size Size) []Figure {
	e := estimate{Size: size, slopes: slopes}
	return slices.Concat(e.entry(), e.sidecar(), e.directory(), e.claims(), e.configuration())
}

// listBytes is what the conditional reads of the list take: the whole list at
// each change, two for each restart.
func (e estimate) listBytes() float64 {
	return e.instances() * e.slope(SlopeListBytes) * e.Restarts * 2 / (24 * time.Hour).Seconds()
}

// configurationBytes is what questions and changes of the configuration take.
func (e estimate) configurationBytes() float64 {
	changed := sectionBytes * changesPerDay / (24 * time.Hour).Seconds()
	return pullsPerSecond*e.slope(SlopePullBytes) + changed
}

func (e estimate) configuration() []Figure {
	const role = "configuration"
	return []Figure{
		{role, "questions and changes", e.configurationBytes(), unitRate, boundBytes, "pulls from random peers; only changed sections travel", "2 questions a second + 1,300 changes a day x 200 KiB (1,600 workspaces are one section)"},
		{role, "processor time", core(e.slope(SlopePullCPU), pullsPerSecond), unitShare, boundCPU, "pulls from random peers", "2 questions a second x cost"},
	}
}

func (e estimate) entry() []Figure {
	const role = "entry"
	rate := e.requestsPerEntry()
	tokens := e.Tokens / e.Nodes
	placements := rate * e.slope(SlopePlaceBytes)
	list := e.listBytes()
	return []Figure{
		{role, "placements", placements, unitRate, boundBytes, "one RPC a request to the owner of the prompt's root", "requests a node x bytes a placement"},
		{role, "list of instances", list, unitRate, boundBytes, "conditional read of the platform's list: the whole list when it changed", "instances x bytes x two changes for each restart"},
		{role, "all bytes for control", placements + list + e.configurationBytes(), unitRate, boundBytes, "placements, list, configuration", "sum"},
		{role, "processor time for control", core(e.slope(SlopePlaceCPU), rate) + core(e.slope(SlopeChainCPU), rate*promptKiB), unitShare, boundCPU, "hashing and placement", "requests a node x (placement + 48 KiB hashed)"},
		{role, "memory for control", e.Replicas*e.slope(SlopeConnectionMemory)/2 + e.instances()*e.slope(SlopeInstanceMemory), unitBytes, boundMemory, "a connection to every sidecar, the view of instances", "replicas x half a connection + instances x view"},
		{role, "relay, not control", core(e.slope(SlopeReadCPU), tokens), unitShare, 0, "long-poll reads of numbered frames", "tokens a node x read of one token, both ends"},
	}
}

func (e estimate) sidecar() []Figure {
	const role = "sidecar"
	reports := e.reportRate() * shardsPerPool * e.slope(SlopeReportBytes)
	changed := e.changesPerReplica() * e.slope(SlopeChangeBytes)
	events := e.CacheEvents / e.Replicas
	memory := e.levelsPerReplica()*e.slope(SlopeResidencyMemory) +
		(e.Nodes+e.replicasPerPool())*e.slope(SlopeConnectionMemory)/2 +
		e.openStreams()*e.slope(SlopeStreamMemory)
	cpu := core(e.slope(SlopeReportCPU), e.reportRate()*shardsPerPool) + core(e.slope(SlopeEventCPU), events)
	return []Figure{
		{role, "reports sent", reports + changed, unitRate, boundBytes, "batched changes of levels; blocks end at the sidecar", "reports x shards x bytes + changes x bytes"},
		{role, "all bytes for control", reports + changed + e.listBytes() + e.configurationBytes(), unitRate, boundBytes, "reports, list, configuration; no shard", "sum"},
		{role, "processor time for control", cpu, unitShare, boundCPU, "reports and the residency index", "reports x cost + events x cost"},
		{role, "memory", memory, unitBytes, boundMemory, "residency index, connections, open streams", fmt.Sprintf("%.0f levels, %.0f connections, %.0f streams", e.levelsPerReplica(), e.Nodes+e.replicasPerPool(), e.openStreams())},
	}
}

func (e estimate) directory() []Figure {
	const role = "directory shard"
	members := e.replicasPerPool()
	places := e.Requests / e.Models / shardsPerPool
	reports := members * e.reportRate()
	changed := members * e.changesPerReplica() / shardsPerPool
	bytes := places*e.slope(SlopePlaceBytes) + reports*e.slope(SlopeReportBytes) + changed*e.slope(SlopeChangeBytes)
	cpu := core(e.slope(SlopePlaceCPU), places) + core(e.slope(SlopeReportCPU), reports) + core(e.slope(SlopeChangeCPU), changed)
	holdings := members * e.levelsPerReplica() / shardsPerPool
	return []Figure{
		{role, "placements and reports received", bytes, unitRate, boundBytes, "two sidecars of each pool own its directory", "placements of a pool / shards + reports of a pool"},
		{role, "processor time", cpu, unitShare, boundCPU, "two sidecars of each pool own its directory", "placements x cost + reports x cost + changes x cost"},
		{role, "memory", holdings * e.slope(SlopeDirectoryMemory), unitBytes, boundMemory, "levels, not blocks", fmt.Sprintf("%.0f holdings", holdings)},
	}
}

func (e estimate) claims() []Figure {
	const role = "claim executor"
	calls := e.Requests * e.CallShare
	bytes := calls * e.slope(SlopeClaimBytes)
	return []Figure{
		{role, "claims read and written", bytes + bytes/servicePoolSize, unitRate, boundBytes, "batched appends to one stream for each service pool", "calls with a key (1 % of requests) x bytes"},
		{role, "replay at a restart", core(e.slope(SlopeReplayCPU), 2*calls*window.Seconds()), unitTime, boundRestart, "the whole stream is read before keyed calls are taken", "2 records a call x 30 min x cost"},
		{role, "memory for keys", calls * window.Seconds() * e.slope(SlopeLedgerMemory), unitBytes, boundMemory, "the fold of the stream, two windows long", "calls x 30 min x bytes"},
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

// WriteRoles writes the figures as a Markdown table.
func WriteRoles(w io.Writer, figures []Figure) error {
	var text strings.Builder
	text.WriteString("| role | what | at full size | bound | fits | carried by | worked out |\n|---|---|---|---|---|---|---|\n")
	for _, f := range figures {
		fmt.Fprintf(&text, "| %s | %s | %s | %s | %s | %s | %s |\n",
			f.Role, f.What, shown(f.Value, f.Unit), shownBound(f), verdict(f), f.Carried, f.How)
	}
	_, err := io.WriteString(w, text.String())
	return err
}

func shown(value float64, unit string) string {
	switch unit {
	case unitShare:
		return fmt.Sprintf("%.2f %% of a core", 100*value)
	case unitTime:
		return fmt.Sprintf("%.1f s", value)
	default:
		return humanize.SIWithDigits(value, 1, unit)
	}
}

func shownBound(f Figure) string {
	if f.Bound == 0 {
		return "-"
	}
	return shown(f.Bound, f.Unit)
}

func verdict(f Figure) string {
	switch {
	case f.Bound == 0:
		return "-"
	case f.Fits():
		return "yes"
	default:
		return "**no**"
	}
}
