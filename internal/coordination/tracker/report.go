package tracker

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"comfreyworks"
	"comfreyworks/internal/state/directory"
)

const (
	// reportPause is the least time between two usual reports.
	reportPause = 250 * time.Millisecond
	// urgentPause is the least time between any two reports.
	urgentPause = 10 * time.Millisecond
	// urgentTokens is the work, in uncached tokens, that is reported at once.
	// A shard knows what it gave to an upstream itself; of the choices of other
	// shards it learns by reports only, and until then would send a second
	// long prompt behind the first.
	urgentTokens = 2048
	// heartbeatInterval is the longest time between two reports.
	heartbeatInterval = time.Second
	// reportTimeout bounds one report to one shard.
	reportTimeout = time.Second
	// maxBacklog bounds the changes kept for a shard that does not answer;
	// beyond it the shard gets a full report instead.
	maxBacklog = 1 << 14
)

// shardState is what the tracker knows of one directory shard.
type shardState struct {
	sequence uint64
	full     bool
	backlog  []comfreyworks.PrefixLevelChange
}

// report tells the shards of changes soon and of being alive now and then.
func (t *Tracker) report(ctx context.Context) error {
	for ctx.Err() == nil {
		t.reportOnce(ctx)
		t.sleep(ctx, urgentPause)
		t.awaitNews(ctx)
	}
	return nil
}

// awaitNews returns when the next report is due: at once for urgent news, after
// the pause for other news, and for the heartbeat without any.
func (t *Tracker) awaitNews(ctx context.Context) {
	select {
	case <-t.urgent:
		return
	case <-t.options.Clock.After(reportPause):
	case <-ctx.Done():
		return
	}
	select {
	case <-t.urgent:
	case <-t.dirty:
	case <-t.options.Clock.After(heartbeatInterval - reportPause):
	case <-ctx.Done():
	}
}

func (t *Tracker) reportOnce(ctx context.Context) {
	ring := t.options.Ring()
	reports := t.reports(ring)
	var group errgroup.Group
	for _, owner := range ring.Owners() {
		group.Go(func() error {
			t.send(ctx, owner, reports[owner.ID])
			return nil
		})
	}
	_ = group.Wait()
}

// reports builds one report for each shard.
func (t *Tracker) reports(ring *directory.Ring) map[comfreyworks.InstanceID]comfreyworks.DirectoryReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.adopt(ring)
	if t.index != nil {
		t.distribute(t.index.Changes())
	}
	reports := make(map[comfreyworks.InstanceID]comfreyworks.DirectoryReport, len(t.shards))
	for id, state := range t.shards {
		reports[id] = t.next(id, state)
	}
	return reports
}

// next builds the next report for one shard. The mutex must be held.
func (t *Tracker) next(id comfreyworks.InstanceID, state *shardState) comfreyworks.DirectoryReport {
	report := comfreyworks.DirectoryReport{
		Instance:     t.options.Instance,
		Incarnation:  t.load.Incarnation,
		Weights:      t.load.Weights,
		Sequence:     state.sequence + 1,
		Full:         state.full,
		Leaving:      t.leaving,
		Down:         t.down,
		Changes:      state.backlog,
		QueuedTokens: t.queuedTokens(),
		Running:      t.running,
		PrefillTime:  t.speed.prefillTime(),
	}
	if state.full {
		report.Changes = t.allOf(id)
	}
	state.backlog = nil
	return report
}

// adopt takes a new ring. Roots move between shards when the ring changes, so
// every shard gets a full report.
func (t *Tracker) adopt(ring *directory.Ring) {
	if t.ring == ring {
		return
	}
	t.ring = ring
	states := make(map[comfreyworks.InstanceID]*shardState)
	for _, owner := range ring.Owners() {
		states[owner.ID] = &shardState{full: true}
		if old := t.shards[owner.ID]; old != nil {
			states[owner.ID].sequence = old.sequence
		}
	}
	t.shards = states
}

// shardOf returns the shard that a root belongs to.
func (t *Tracker) shardOf(root uint64) comfreyworks.InstanceID {
	owner, _ := t.ring.Owner(root)
	return owner.ID
}

func (t *Tracker) distribute(changes []comfreyworks.PrefixLevelChange) {
	for _, change := range changes {
		state := t.shards[t.shardOf(change.Root)]
		if state == nil || state.full {
			continue
		}
		state.backlog = append(state.backlog, change)
		if len(state.backlog) > maxBacklog {
			state.full = true
			state.backlog = nil
		}
	}
}

func (t *Tracker) allOf(shard comfreyworks.InstanceID) []comfreyworks.PrefixLevelChange {
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

// send delivers one report. After a failure the shard may or may not have
// taken it, so the next one is full.
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
		t.touch()
	}
}
