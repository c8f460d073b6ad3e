package trace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"comfreyworks"
)

// Profile names the kind of traffic in a generated trace.
type Profile string

// Profiles.
const (
	// ProfilePiedmont has reviews with long guides and specifications, short
	// notes, and calls for bookings.
	ProfilePiedmont Profile = "piedmont"
	// ProfileRamdeen has briefings with long prompts, short corrections, and
	// calls for status and corrections.
	ProfileRamdeen Profile = "ramdeen"
	// ProfileHotShift is ProfilePiedmont with the popularity of the guides
	// reversed after half of the time.
	ProfileHotShift Profile = "hot-shift"
	// ProfileHerd is ProfilePiedmont with a restart of all entries after half of
	// the time, when all clients reconnect at once.
	ProfileHerd Profile = "herd"
)

// Profiles returns all profiles.
func Profiles() []Profile {
	return []Profile{ProfilePiedmont, ProfileRamdeen, ProfileHotShift, ProfileHerd}
}

// GenerateOptions configures a generated trace.
type GenerateOptions struct {
	Seed uint64
	// Length is the time during which requests arrive.
	Length time.Duration
	// Rate is the mean number of requests per second.
	Rate float64
}

// requestType describes one type of requests: completions, or calls if method is
// set.
type requestType struct {
	class comfreyworks.Class
	// weight is the fraction of requests that have this type.
	weight float64
	// guides is the number of different guides in a workspace. A guide is the
	// prefix level after the preamble; it has guideTokens tokens.
	guides      int
	guideTokens int
	// specs is the number of different specifications for each guide. A
	// specification is the prefix level after the guide; it has specTokens
	// tokens.
	specs            int
	specTokens       int
	meanTailTokens   int
	meanOutputTokens int
	// method, path and pool are those of a call to a plain service.
	method string
	path   string
	pool   comfreyworks.Pool
}

// workload describes the traffic of one deployment.
type workload struct {
	pool         comfreyworks.Pool
	model        comfreyworks.Model
	requestTypes []requestType
	// workspaces is ordered by popularity: the first has the most requests.
	workspaces []comfreyworks.Workspace
}

// zipfExponent is the exponent of the Zipf distribution by which workspaces, guides
// and specifications are drawn.
const zipfExponent = 1.1

// preambleTokens is the length in tokens of the preamble, the first prefix level
// of every prompt of a workspace.
const preambleTokens = 600

var piedmont = workload{
	pool:  "lm-pool",
	model: "oak-12b",
	workspaces: []comfreyworks.Workspace{
		"office", "atlanta", "savannah", "augusta", "macon", "columbus", "athens", "albany",
	},
	requestTypes: []requestType{
		{class: "review", weight: 0.5, guides: 24, guideTokens: 9000, specs: 12, specTokens: 900, meanTailTokens: 120, meanOutputTokens: 48},
		{class: "note", weight: 0.4, guides: 8, guideTokens: 1500, specs: 1, specTokens: 100, meanTailTokens: 60, meanOutputTokens: 12},
		{class: "booking", weight: 0.06, pool: "dispatch", method: "POST", path: "/bookings"},
		{class: "booking", weight: 0.04, pool: "dispatch", method: "GET", path: "/jobs"},
	},
}

var ramdeen = workload{
	pool:  "lm-serve",
	model: "iono-30b",
	workspaces: []comfreyworks.Workspace{
		"surveyors", "harbour-pilots", "farm-guidance", "port-authority",
		"coast-guard", "airfield", "university", "offshore",
	},
	requestTypes: []requestType{
		{class: "briefing", weight: 0.45, guides: 30, guideTokens: 12000, specs: 8, specTokens: 1500, meanTailTokens: 200, meanOutputTokens: 96},
		{class: "correction", weight: 0.4, guides: 8, guideTokens: 1200, specs: 2, specTokens: 200, meanTailTokens: 40, meanOutputTokens: 8},
		{class: "status", weight: 0.1, pool: "map-app", method: "GET", path: "/status"},
		{class: "correction", weight: 0.05, pool: "map-app", method: "POST", path: "/corrections"},
	},
}

// Generate generates a trace. Equal arguments give equal traces.
func Generate(profile Profile, options GenerateOptions) Trace {
	g := &generator{
		random:   rand.New(rand.NewPCG(options.Seed, 1)),
		options:  options,
		workload: piedmont,
	}
	if profile == ProfileRamdeen {
		g.workload = ramdeen
	}
	if profile == ProfileHotShift {
		g.shiftAt = options.Length / 2
	}
	t := g.requests()
	if profile == ProfileHerd {
		t = append(t, Line{At: Duration(options.Length / 2), Fault: FaultEntryRestart, Target: "all"})
	}
	t.Sort()
	return t
}

// meanFaultInterval is the mean time between faults, maxFaultDuration their
// maximum duration.
const (
	meanFaultInterval = 1500 * time.Millisecond
	maxFaultDuration  = 1200 * time.Millisecond
)

// GenerateFaulty generates a trace with faults of random kinds at random times.
// Faults may overlap.
func GenerateFaulty(profile Profile, options GenerateOptions) Trace {
	t := Generate(profile, options)
	random := rand.New(rand.NewPCG(options.Seed, 2))
	pool := piedmont.pool
	if profile == ProfileRamdeen {
		pool = ramdeen.pool
	}
	for at := time.Duration(0); at < options.Length; {
		at += time.Duration(random.ExpFloat64() * float64(meanFaultInterval))
		fault := Line{
			At:     Duration(at),
			Fault:  faultNames[random.IntN(len(faultNames))],
			Target: fmt.Sprintf("%s/%d", pool, random.IntN(numFaultUpstreams)),
			For:    Duration(random.Float64() * float64(maxFaultDuration)),
		}
		if fault.Fault == FaultEntryRestart {
			fault.Target = fmt.Sprintf("entry/%d", random.IntN(numFaultEntries))
		}
		t = append(t, fault)
	}
	t.Sort()
	return t
}

// numFaultUpstreams and numFaultEntries are the numbers of upstreams and entries
// from which the target of a fault is drawn.
const (
	numFaultUpstreams = 4
	numFaultEntries   = 3
)

// generator holds the state of the generation of one trace.
type generator struct {
	random   *rand.Rand
	options  GenerateOptions
	workload workload
	// shiftAt is when the popularity of the guides is reversed; zero means
	// never.
	shiftAt time.Duration
	// calls is the number of calls generated so far.
	calls int
}

// requests generates requests whose interarrival times are exponentially
// distributed.
func (g *generator) requests() Trace {
	var t Trace
	for at := time.Duration(0); ; {
		gap := g.random.ExpFloat64() / g.options.Rate
		at += time.Duration(gap * float64(time.Second))
		if at >= g.options.Length {
			return t
		}
		t = append(t, g.request(at))
	}
}

func (g *generator) request(at time.Duration) Line {
	kind := g.drawRequestType()
	workspace := g.workload.workspaces[g.zipf(len(g.workload.workspaces))]
	line := Line{
		At:        Duration(at),
		Workspace: workspace,
		Class:     kind.class,
		Pool:      g.workload.pool,
	}
	if kind.method != "" {
		g.calls++
		line.Pool = kind.pool
		line.Method = kind.method
		line.Path = kind.path
		if kind.method != "GET" {
			line.Key = fmt.Sprintf("call-%d-%d", g.options.Seed, g.calls)
		}
		return line
	}
	guide := g.zipf(kind.guides)
	if g.shiftAt > 0 && at >= g.shiftAt {
		guide = kind.guides - 1 - guide
	}
	spec := g.zipf(kind.specs)
	line.Model = g.workload.model
	line.TailTokens = kind.meanTailTokens/2 + g.random.IntN(kind.meanTailTokens)
	line.OutputTokens = kind.meanOutputTokens/2 + g.random.IntN(kind.meanOutputTokens)
	line.Prefix = []Level{
		{Name: fmt.Sprintf("preamble-%s", line.Workspace), Tokens: preambleTokens},
		{Name: fmt.Sprintf("%s-guide-%s-%d", kind.class, line.Workspace, guide), Tokens: kind.guideTokens},
		{Name: fmt.Sprintf("%s-spec-%s-%d-%d", kind.class, line.Workspace, guide, spec), Tokens: kind.specTokens},
	}
	return line
}

func (g *generator) drawRequestType() requestType {
	draw := g.random.Float64()
	for _, kind := range g.workload.requestTypes {
		draw -= kind.weight
		if draw < 0 {
			return kind
		}
	}
	return g.workload.requestTypes[0]
}

// zipf draws a rank from 0 to n-1 from a Zipf distribution; low ranks are the most
// frequent.
func (g *generator) zipf(n int) int {
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -zipfExponent)
	}
	draw := g.random.Float64() * sum
	for i := range n {
		draw -= math.Pow(float64(i+1), -zipfExponent)
		if draw < 0 {
			return i
		}
	}
	return n - 1
}
