// Package usage decides which requests of a workspace with a usage limit may be sent.
//
// All gateways share one limit for each workspace, and each gateway estimates what remains
// of it: it knows what it has admitted itself, and others report what they have admitted.
// Reports are up to 0.6 s old, so the estimate also subtracts what others have admitted
// since at their recent rate.
//
// While a gateway knows the counts of all others and has run for a window, what the bound
// leaves in the sliding window is the limit. While enough remains, a gateway admits
// whatever arrives. Below that, it admits its share of what becomes free, in proportion to
// the demand at this gateway, so that gateways that decide at the same moment do not all
// spend the same remainder.
//
// Otherwise a token bucket with the rate and the burst is the limit. A gateway that does
// not know the counts of all others uses a part of the rate that is safe if the others do
// the same. A starting process begins with an empty bucket and takes over the level that
// its peers know.
//
// # Usage
//
//	l := usage.New(usage.Options{Clock: clock, Window: 8 * time.Second, Overage: 0.1, Slack: 110_000, Routing: routing})
//	decision := l.Admit(workspace, amount, priority)
//	if decision.Admitted && ran == 0 {
//		l.Return(workspace, amount)
//	}
//	l.Record(news)                            // for what a peer reports
//	counts, list, whole, gateways := l.Near(known)      // to a relay
//	counts, list, whole, gateways = l.All(leaf, known) // from a relay to its leaf
package usage

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreyworks"
)

const (
	// defaultWindow applies if Options.Window is zero.
	defaultWindow = 8 * time.Second
	// newsExpiry is the age of the last report of a peer above which what it and the
	// gateways behind it admit counts as unknown. It covers three calls of a leaf.
	newsExpiry = 800 * time.Millisecond
	// relayNewsExpiry and relayNewsPauses times the pause between two calls are the same
	// between relays, behind which there are many gateways, whichever is longer. Until it
	// has passed, each side of a partition believes that it may use the whole limit.
	relayNewsExpiry = 300 * time.Millisecond
	relayNewsPauses = 1.5
	// linkExpiry is how long the counts of a silent peer are kept.
	linkExpiry = 10 * time.Second
	// relayDelay is the mean age of counts from other gateways when a relay reports them.
	relayDelay = 150 * time.Millisecond
	// rateTime is the time constant of the estimates of demand.
	rateTime = time.Second
	// freeShare is the part of the burst above which a gateway admits whatever arrives.
	freeShare = 0.5
	// windowLimitShare is the part of the bound up to which the window is used while all
	// counts are known; the rest is for requests that several gateways admit at the same
	// moment. freeWindowShare is the part of it that must be left for gateways not to share
	// what remains.
	windowLimitShare = 0.9
	freeWindowShare  = 0.3
	// pendingFactor multiplies what others may have admitted without a report so far: their
	// rates may have risen since.
	pendingFactor = 1.5
	// levelTime is the time in which gateways use up what remains below that. It must
	// be more than twice the age of reports, or the level oscillates.
	levelTime = 1500 * time.Millisecond
	// minBurstTime is the time in whose share of the rate a limit without a burst may be
	// used. Without it, requests that arrive at the same moment would be refused.
	minBurstTime = 250 * time.Millisecond
	// debtSlackShare is the part of the slack of the bound that lets single requests
	// that are larger than what remains pass while the workspace is below its limit, and
	// debtWindowShare the part of what the limit allows in a window up to which they do.
	debtSlackShare  = 0.5
	debtWindowShare = 0.75
	// coverageOverageShare is the part of the overage of the bound that gateways use
	// together while some are not heard of, for example because they were killed.
	coverageOverageShare = 0.5
	// minShareOfEqual bounds the share of a gateway from below, as a part of an equal
	// share, so that one with little demand admits single requests.
	minShareOfEqual = 0.1
	// startTime is how long a process assumes startGateways gateways if no running one
	// tells it what it knows. After all were killed they know how many they are after
	// 0.4 s.
	startTime     = 600 * time.Millisecond
	startGateways = 64
	// levelKnownTime is how long a process waits for the level that its peers know before
	// it tells others its own.
	levelKnownTime = time.Second
	// maxGateways, maxCounts and maxCount bound what is believed of a report: the number
	// of gateways, of workspaces and of units.
	maxGateways = 1 << 12
	maxCounts   = 1 << 13
	maxCount    = 1 << 56
	// maxUnits bounds the rate and the burst of a limit, so that sums do not overflow.
	maxUnits = 1 << 40
)

// Options configures a Limiter.
type Options struct {
	Clock comfreyworks.Clock
	// Window, Overage and Slack are the bound, as in comfreyworks.GatewayBounds.
	Window         time.Duration
	Overage, Slack float64
	// Routing returns the routing in force, or nil. It returns the same pointer until
	// the routing changes. Nil means that there are no limits.
	Routing func() *comfreyworks.Routing
}

// Limiter decides which requests are admitted. It is safe for concurrent use.
type Limiter struct {
	options   Options
	startedAt time.Time
	// process identifies this process to its peers.
	process uint64

	mu       sync.Mutex
	routing  *comfreyworks.Routing
	accounts map[uint32]*account
	// limited is the number of accounts that have a limit.
	limited int
	// version grows with each change of a count. Peers that know an earlier version
	// than levelsSince have not been told the levels.
	version, levelsSince uint64
	links                map[comfreyworks.InstanceID]*link
	// linkSerial is the serial number of the last link.
	linkSerial uint64
	// gateways is the number of gateways that may be running, relayExpiry the expiry of
	// news between relays.
	gateways    int
	relayExpiry time.Duration
	// informed means that a gateway that knew the levels has told them.
	informed bool
}

// New returns a Limiter whose buckets are empty.
func New(options Options) *Limiter {
	if options.Window <= 0 {
		options.Window = defaultWindow
	}
	now := options.Clock.Now()
	return &Limiter{
		options: options, startedAt: now, process: uint64(now.UnixNano()),
		accounts: make(map[uint32]*account), links: make(map[comfreyworks.InstanceID]*link),
		gateways: 1, relayExpiry: relayNewsExpiry,
	}
}

// Key returns the hash of the name of a workspace by which gateways report it.
func Key(workspace comfreyworks.Workspace) uint32 {
	return uint32(xxhash.Sum64String(string(workspace)))
}

// Decision is the result of Admit.
type Decision struct {
	Admitted bool
	// TooLarge means that the request alone exceeds the limit, so that it would be
	// refused at any time.
	TooLarge bool
	// RetryAfter is the time after which the request will probably be admitted.
	RetryAfter time.Duration
	// Usage is the state of the workspace after the decision.
	Usage Usage
}

// Usage describes what is known of a workspace, in units of its limit.
type Usage struct {
	// Level is what remains of the limit now.
	Level float64
	// Window is what was admitted within the last window, by all gateways.
	Window float64
	// Share is the part of the rate that this gateway may use.
	Share float64
}

// Admit decides whether a request of a workspace that costs the given amount may be sent.
// Requests with a lower priority number come first.
func (l *Limiter) Admit(workspace comfreyworks.Workspace, amount, priority int) Decision {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readLimits()
	a := l.accounts[Key(workspace)]
	if a == nil || !a.hasLimit() {
		return Decision{Admitted: true}
	}
	return l.decide(a, now, float64(max(amount, 0)), min(max(priority, 0), comfreyworks.NumPriorities-1))
}

// WorkspaceUsage is the usage of a workspace with its limit.
type WorkspaceUsage struct {
	Workspace   comfreyworks.Workspace
	Rate, Burst float64
	Usage       Usage
	// Taken and Refused are what this gateway and its leaves have admitted and refused
	// since the process started.
	Taken, Refused int64
}

// List returns the usage of at most n workspaces that have limits, those first of which
// the least remains.
func (l *Limiter) List(n int) []WorkspaceUsage {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readLimits()
	var list []WorkspaceUsage
	for _, a := range l.accounts {
		if !a.hasLimit() {
			continue
		}
		s := l.state(a, now)
		list = append(list, WorkspaceUsage{
			Workspace: a.workspace, Rate: a.rate, Burst: a.burst, Taken: a.near.taken, Refused: a.near.refused,
			Usage: Usage{Level: s.remaining, Window: s.used, Share: s.share * s.coverage},
		})
	}
	slices.SortFunc(list, func(a, b WorkspaceUsage) int {
		return cmp.Or(cmp.Compare(a.Usage.Level/a.Rate, b.Usage.Level/b.Rate), cmp.Compare(a.Workspace, b.Workspace))
	})
	return list[:min(n, len(list))]
}

// Return gives back the amount of an admitted request that no upstream ran.
func (l *Limiter) Return(workspace comfreyworks.Workspace, amount int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[Key(workspace)]
	if a == nil || !a.hasLimit() {
		return
	}
	a.take(l.now(), -float64(max(amount, 0)))
	a.near.taken -= int64(max(amount, 0))
	l.touch(a, true)
}

// SetGateways sets the number of gateways that may be running, including this one and
// those that have not been heard of for a while, and the pause between two calls of a
// relay to another one.
func (l *Limiter) SetGateways(n int, relayPause time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gateways = min(max(n, 1), maxGateways)
	l.relayExpiry = max(relayNewsExpiry, time.Duration(relayNewsPauses*float64(relayPause)))
}

// Active reports whether any workspace has a limit.
func (l *Limiter) Active() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readLimits()
	return l.limited > 0
}

// now returns the time since the start of the process, in seconds.
func (l *Limiter) now() float64 { return l.options.Clock.Since(l.startedAt).Seconds() }

// readLimits applies the limits of the routing in force. The mutex must be held.
func (l *Limiter) readLimits() {
	if l.options.Routing == nil {
		return
	}
	routing := l.options.Routing()
	if routing == l.routing || routing == nil {
		return
	}
	l.routing = routing
	now := l.now()
	limited := make(map[uint32]bool)
	for i := range routing.Workspaces {
		workspace := &routing.Workspaces[i]
		key := Key(workspace.Name)
		if workspace.Limit.Rate <= 0 {
			continue
		}
		if l.accounts[key] == nil {
			l.accounts[key] = newAccount(workspace.Name, now)
		}
		l.accounts[key].setLimit(now, workspace.Limit, l.options.Window)
		limited[key] = true
	}
	for key, a := range l.accounts {
		if !limited[key] {
			// The account keeps its counts, which peers know.
			a.setLimit(now, comfreyworks.UsageLimit{}, l.options.Window)
		}
	}
	l.limited = len(limited)
}

// touch records that the counts of an account have changed. Near means that the change
// is also reported to relays.
func (l *Limiter) touch(a *account, near bool) {
	l.version++
	a.changed = l.version
	if near {
		a.nearChanged = l.version
	}
}
