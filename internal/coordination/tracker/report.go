package tracker

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"comfreyworks"
	"comfreyworks/internal/state/directory"
)

const (
	// reportInterval is the minimum time between two ordinary reports.
	reportInterval = 250 * time.Millisecond
	// minReportInterval is the minimum time between any two reports.
	minReportInterval = 10 * time.Millisecond
	// urgentTokens is the number of uncached prompt tokens from which a request
	// is reported at once. A shard knows the requests that it placed itself, but
	// learns only from reports about those that other shards placed. Until then
	// it might place a second long prompt behind the first. A loss of cached
	// tokens of this size is reported at once as well.
	urgentTokens = 2048
	// heartbeatInterval is the maximum time between two reports.
	heartbeatInterval = time.Second
	// reportTimeout limits one report to one shard.
	reportTimeout = time.Second
	// maxPendingChanges limits the changes kept for a shard that does not
	// answer. With more changes than that, the shard gets a full report
	// instead.
	maxPendingChanges = 1 << 14
)

// shardState is the state of the reports to one directory shard.
type shardState struct {
	// sequence is the number of the last report that was sent.
	sequence uint64
	// full means that the next report must be a full one.
	full bool
	// pending holds the changes for the next report that is not a full one.
	pending []comfreyworks.PrefixLevelChange
}

// reportLoop reports changes soon after they occur and sends heartbeats when
// there are none.
func (t *Tracker) reportLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		t.sendReports(ctx)
		t.sleep(ctx, minReportInterval)
		t.waitUntilDue(ctx)
	}
	return nil
}

// waitUntilDue returns when the next report is due: at once after an urgent
// change, after reportInterval for other changes, and otherwise after
// heartbeatInterval.
func (t *Tracker) waitUntilDue(ctx context.Context) {
	select {
	case <-t.urgentChange:
		return
	case <-t.options.Clock.After(reportInterval):
	case <-ctx.Done():
		return
	}
	select {
	case <-t.urgentChange:
	case <-t.changed:
	case <-t.options.Clock.After(heartbeatInterval - reportInterval):
	case <-ctx.Done():
	}
}

func (t *Tracker) sendReports(ctx context.Context) {
	owners := t.options.ShardOwners()
	reports := t.buildReports(owners)
	var group errgroup.Group
	for _, owner := range owners.Owners() {
		group.Go(func() error {
			t.send(ctx, owner, reports[owner.ID])
			return nil
		})
	}
	_ = group.Wait()
}

// buildReports returns the next report for each shard.
func (t *Tracker) buildReports(owners *directory.ShardOwners) map[comfreyworks.InstanceID]comfreyworks.DirectoryReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setShardOwners(owners)
	if t.index != nil {
		t.queueChanges(t.index.Changes())
	}
	reports := make(map[comfreyworks.InstanceID]comfreyworks.DirectoryReport, len(t.shards))
	for id, state := range t.shards {
		reports[id] = t.nextReport(id, state)
	}
	return reports
}

// nextReport returns the next report for one shard. The mutex must be held.
func (t *Tracker) nextReport(id comfreyworks.InstanceID, state *shardState) comfreyworks.DirectoryReport {
	report := comfreyworks.DirectoryReport{
		Instance:     t.options.Instance,
		Incarnation:  t.load.Incarnation,
		Weights:      t.load.Weights,
		Sequence:     state.sequence + 1,
		Full:         state.full,
		Leaving:      t.leaving,
		Down:         t.down,
		Changes:      state.pending,
		QueuedTokens: t.queuedTokens(),
		Running:      t.running,
		PrefillTime:  t.estimator.timePerToken(),
	}
	if state.full {
		report.Changes = t.levelsOf(id)
	}
	state.pending = nil
	return report
}

// setShardOwners sets the owners of the directory's shards. If they have changed,
// chains may have moved between shards, so every shard gets a full report. The
// mutex must be held.
func (t *Tracker) setShardOwners(owners *directory.ShardOwners) {
	if t.shardOwners == owners {
		return
	}
	t.shardOwners = owners
	states := make(map[comfreyworks.InstanceID]*shardState)
	for _, owner := range owners.Owners() {
		states[owner.ID] = &shardState{full: true}
		if old := t.shards[owner.ID]; old != nil {
			states[owner.ID].sequence = old.sequence
		}
	}
	t.shards = states
}

// shardOf returns the shard that is responsible for the chains with a root. The
// mutex must be held.
func (t *Tracker) shardOf(root uint64) comfreyworks.InstanceID {
	owner, _ := t.shardOwners.Owner(root)
	return owner.ID
}

// queueChanges adds changes to the next reports of the shards responsible for them.
// The mutex must be held.
func (t *Tracker) queueChanges(changes []comfreyworks.PrefixLevelChange) {
	for _, change := range changes {
		state := t.shards[t.shardOf(change.Root)]
		if state == nil || state.full {
			continue
		}
		state.pending = append(state.pending, change)
		if len(state.pending) > maxPendingChanges {
			state.full = true
			state.pending = nil
		}
	}
}

// levelsOf returns the cached levels that a shard is responsible for, for a full
// report. The mutex must be held.
func (t *Tracker) levelsOf(shard comfreyworks.InstanceID) []comfreyworks.PrefixLevelChange {
	if t.index == nil {
		return nil
	}
	var own []comfreyworks.PrefixLevelChange
	for _, change := range t.index.All() {
		if t.shardOf(change.Root) == shard {
			own = append(own, change)
		}
	}
	return own
}

// send delivers one report. If that fails, the shard may or may not have
// processed it, so the next report is a full one.
func (t *Tracker) send(ctx context.Context, owner comfreyworks.Instance, report comfreyworks.DirectoryReport) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	needFull, err := t.options.Shard(owner).Report(ctx, report)
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.shards[owner.ID]
	if state == nil {
		return
	}
	state.sequence = report.Sequence
	state.full = err != nil || needFull
	if needFull {
		t.requestReport()
	}
}
