package trace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"comfreyworks"
)

// Profile names a kind of trace.
type Profile string

// Profiles.
const (
	// ProfilePiedmont is long guides, specifications below them and short
	// notes, with bookings in between.
	ProfilePiedmont Profile = "piedmont"
	// ProfileRamdeen is long briefings over station histories, with quick
	// lookups and status reads in between.
	ProfileRamdeen Profile = "ramdeen"
	// ProfileHotShift is piedmont whose popular guides change half way.
	ProfileHotShift Profile = "hot-shift"
	// ProfileHerd is piedmont with a restart of all entries half way.
	ProfileHerd Profile = "herd"
)

// Profiles lists the profiles.
func Profiles() []Profile {
	return []Profile{ProfilePiedmont, ProfileRamdeen, ProfileHotShift, ProfileHerd}
}

// GenerateOptions sizes a generated trace.
type GenerateOptions struct {
	Seed uint64
	// Length is how long requests arrive.
	Length time.Duration
	// Rate is the number of requests a second.
	Rate float64
}

// shape describes the requests of one class.
type shape struct {
	class  comfreyworks.Class
	weight float64
	// guides is how many first-level texts exist in a workspace, guideTokens
	// their length.
	guides      int
	guideTokens int
	// specs is how many second-level texts exist below each guide.
	specs      int
	specTokens int
	tail       int
	output     int
	// call is a method and path in place of a prompt.
	method string
	path   string
	pool   comfreyworks.Pool
}

// site describes one user.
type site struct {
	pool   comfreyworks.Pool
	model  comfreyworks.Model
	shapes []shape
	// workspaces are the tenants; the first few are large.
	workspaces []comfreyworks.Workspace
}

// zipfSkew is the skew of the popularity of guides and workspaces.
const zipfSkew = 1.1

// preambleTokens is the length of the text that a workspace puts before every
// prompt, in tokens.
const preambleTokens = 600

var piedmont = site{
	pool:  "lm-pool",
	model: "oak-12b",
	workspaces: []comfreyworks.Workspace{
		"office", "atlanta", "savannah", "augusta", "macon", "columbus", "athens", "albany",
	},
	shapes: []shape{
		{class: "review", weight: 0.5, guides: 24, guideTokens: 9000, specs: 12, specTokens: 900, tail: 120, output: 48},
		{class: "note", weight: 0.4, guides: 8, guideTokens: 1500, specs: 1, specTokens: 100, tail: 60, output: 12},
		{class: "booking", weight: 0.06, pool: "dispatch", method: "POST", path: "/bookings"},
		{class: "booking", weight: 0.04, pool: "dispatch", method: "GET", path: "/jobs"},
	},
}

var ramdeen = site{
	pool:  "lm-serve",
	model: "iono-30b",
	workspaces: []comfreyworks.Workspace{
		"surveyors", "harbour-pilots", "farm-guidance", "port-authority",
		"coast-guard", "airfield", "university", "offshore",
	},
	shapes: []shape{
		{class: "briefing", weight: 0.45, guides: 30, guideTokens: 12000, specs: 8, specTokens: 1500, tail: 200, output: 96},
		{class: "correction", weight: 0.4, guides: 8, guideTokens: 1200, specs: 2, specTokens: 200, tail: 40, output: 8},
		{class: "status", weight: 0.1, pool: "map-app", method: "GET", path: "/status"},
		{class: "correction", weight: 0.05, pool: "map-app", method: "POST", path: "/corrections"},
	},
}

// Generate returns a trace of a profile.
func Generate(profile Profile, options GenerateOptions) Trace {
	g := &generator{
		random:  rand.New(rand.NewPCG(options.Seed, 1)),
		options: options,
		site:    piedmont,
	}
	if profile == ProfileRamdeen {
		g.site = ramdeen
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

// faultGap is the mean time between faults, faultLength their longest time.
const (
	faultGap    = 1500 * time.Millisecond
	faultLength = 1200 * time.Millisecond
)

// GenerateFaulty returns a trace of a profile with faults of every kind at
// random times, singly and together.
func GenerateFaulty(profile Profile, options GenerateOptions) Trace {
	t := Generate(profile, options)
	random := rand.New(rand.NewPCG(options.Seed, 2))
	pool := piedmont.pool
	if profile == ProfileRamdeen {
		pool = ramdeen.pool
	}
	for at := time.Duration(0); at < options.Length; {
		at += time.Duration(random.ExpFloat64() * float64(faultGap))
		fault := Line{
			At:     Duration(at),
			Fault:  faultNames[random.IntN(len(faultNames))],
			Target: fmt.Sprintf("%s/%d", pool, random.IntN(faultTargets)),
			For:    Duration(random.Float64() * float64(faultLength)),
		}
		if fault.Fault == FaultEntryRestart {
			fault.Target = fmt.Sprintf("entry/%d", random.IntN(faultEntries))
		}
		t = append(t, fault)
	}
	t.Sort()
	return t
}

// faultTargets and faultEntries are how many upstreams and entries faults pick
// from.
const (
	faultTargets = 4
	faultEntries = 3
)

type generator struct {
	random  *rand.Rand
	options GenerateOptions
	site    site
	// shiftAt is when the popularity of guides is turned round; zero never.
	shiftAt time.Duration
	calls   int
}

// requests draws arrivals with exponential gaps.
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
	s := g.shape()
	workspace := g.site.workspaces[g.zipf(len(g.site.workspaces))]
	line := Line{
		At:        Duration(at),
		Workspace: workspace,
		Class:     s.class,
		Pool:      g.site.pool,
	}
	if s.method != "" {
		g.calls++
		line.Pool = s.pool
		line.Method = s.method
		line.Path = s.path
		if s.method != "GET" {
			line.Key = fmt.Sprintf("call-%d-%d", g.options.Seed, g.calls)
		}
		return line
	}
	guide := g.zipf(s.guides)
	if g.shiftAt > 0 && at >= g.shiftAt {
		guide = s.guides - 1 - guide
	}
	spec := g.zipf(s.specs)
	line.Model = g.site.model
	line.TailTokens = s.tail/2 + g.random.IntN(s.tail)
	line.OutputTokens = s.output/2 + g.random.IntN(s.output)
	line.Prefix = []Level{
		{Name: fmt.Sprintf("preamble-%s", line.Workspace), Tokens: preambleTokens},
		{Name: fmt.Sprintf("%s-guide-%s-%d", s.class, line.Workspace, guide), Tokens: s.guideTokens},
		{Name: fmt.Sprintf("%s-spec-%s-%d-%d", s.class, line.Workspace, guide, spec), Tokens: s.specTokens},
	}
	return line
}

func (g *generator) shape() shape {
	draw := g.random.Float64()
	for _, s := range g.site.shapes {
		draw -= s.weight
		if draw < 0 {
			return s
		}
	}
	return g.site.shapes[0]
}

// zipf draws a rank from 0 to n-1, low ranks more often.
func (g *generator) zipf(n int) int {
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -zipfSkew)
	}
	draw := g.random.Float64() * sum
	for i := range n {
		draw -= math.Pow(float64(i+1), -zipfSkew)
		if draw < 0 {
			return i
		}
	}
	return n - 1
}
