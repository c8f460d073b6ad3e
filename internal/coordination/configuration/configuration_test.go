package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/examples"
	"comfreyworks/internal/standin/logservice"
	"comfreyworks/internal/state/revision"
)

func documentWithDeadline(t *testing.T, seconds int) *revision.Document {
	t.Helper()
	text := strings.Replace(string(examples.Piedmont), `"deadline": "60s"`, fmt.Sprintf(`"deadline": "%ds"`, seconds), 1)
	d, err := revision.Parse("piedmont.jsonc", []byte(text))
	assert.NilError(t, err)
	return d
}

// fleet is a set of followers that share one log and are peers of each other.
type fleet struct {
	clock     *clockwork.FakeClock
	log       *logservice.Log
	followers []*Follower
	pulls     atomic.Int64
	// wentBack is set when a follower gets a lower revision than it had before.
	wentBack atomic.Bool
}

// countingPeer is a client for one follower of a fleet. It counts the pulls.
type countingPeer struct {
	fleet *fleet
	index int
}

func (p countingPeer) Pull(_ context.Context, since comfreyworks.ConfigRevision) (comfreyworks.ConfigUpdate, error) {
	if p.fleet.followers[p.index] == nil {
		return comfreyworks.ConfigUpdate{}, errors.New("connection refused")
	}
	p.fleet.pulls.Add(1)
	return p.fleet.followers[p.index].Pull(since), nil
}

func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	f := &fleet{clock: clockwork.NewFakeClock(), followers: make([]*Follower, n)}
	f.log = logservice.NewLog(logservice.LogOptions{Clock: f.clock})
	for i := range f.followers {
		f.followers[i] = f.newFollower(t, i)
	}
	return f
}

func (f *fleet) instance(i int) comfreyworks.Instance {
	return comfreyworks.Instance{ID: comfreyworks.InstanceID(fmt.Sprintf("lm/%d", i))}
}

func (f *fleet) newFollower(t *testing.T, i int) *Follower {
	highest := comfreyworks.ConfigRevision(0)
	return New(Options{
		Instance: f.instance(i).ID,
		Initial:  revision.FromDeployment(documentWithDeadline(t, 1).Deployment()),
		Log:      f.log,
		Clock:    f.clock,
		Logger:   zap.NewNop(),
		Peers: func() []comfreyworks.Instance {
			var peers []comfreyworks.Instance
			for j := range f.followers {
				peers = append(peers, f.instance(j))
			}
			return peers
		},
		NewClient: func(instance comfreyworks.Instance) comfreyworks.ConfigPeer {
			var index int
			_, _ = fmt.Sscanf(string(instance.ID), "lm/%d", &index)
			return countingPeer{fleet: f, index: index}
		},
		OnChange: func(d *revision.Document) {
			if d.Number() < highest {
				f.wentBack.Store(true)
			}
			highest = d.Number()
		},
	})
}

// start runs all followers and advances the clock until the test ends.
func (f *fleet) start(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	for _, follower := range f.followers {
		group.Go(func() error { return follower.Run(ctx) })
	}
	var done atomic.Bool
	group.Go(func() error {
		for !done.Load() {
			f.clock.Advance(10 * time.Millisecond)
			// Leaves the followers enough time to finish the work of this step.
			time.Sleep(time.Millisecond)
		}
		return nil
	})
	t.Cleanup(func() {
		cancel()
		time.AfterFunc(20*time.Millisecond, func() { done.Store(true) })
		assert.NilError(t, group.Wait())
		assert.Assert(t, !f.wentBack.Load())
	})
}

func (f *fleet) append(t *testing.T, record revision.Record) {
	t.Helper()
	data, err := json.Marshal(record)
	assert.NilError(t, err)
	_, err = f.log.Append(context.Background(), Stream, [][]byte{data})
	assert.NilError(t, err)
}

// waitForRevision waits until all followers have reached a revision and returns
// how long that took on the fake clock.
func (f *fleet) waitForRevision(number comfreyworks.ConfigRevision) time.Duration {
	start := f.clock.Now()
	for _, follower := range f.followers {
		for follower.Current().Number() < number {
			time.Sleep(100 * time.Microsecond)
		}
	}
	return f.clock.Since(start)
}

func TestRevisionReachesAllInstances(t *testing.T) {
	f := newFleet(t, 40)
	f.start(t)
	f.append(t, revision.Empty().Propose(documentWithDeadline(t, 60), "ann", "", f.clock.Now()))
	t.Logf("first revision on 40 instances after %s", f.waitForRevision(1))
	current := f.followers[0].Current()

	t.Run("a change spreads while the log is up", func(t *testing.T) {
		f.append(t, current.Propose(documentWithDeadline(t, 30), "ann", "", f.clock.Now()))
		t.Logf("in force on 40 instances after %s", f.waitForRevision(2))
		for _, follower := range f.followers {
			assert.Equal(t, follower.Current().Deployment().Class("review").Deadline, 30*time.Second)
		}
	})
	t.Run("all instances accept the same one of two conflicting records", func(t *testing.T) {
		base := f.followers[0].Current()
		f.append(t, base.Propose(documentWithDeadline(t, 41), "ann", "", f.clock.Now()))
		f.append(t, base.Propose(documentWithDeadline(t, 42), "bob", "", f.clock.Now()))
		f.waitForRevision(3)
		for _, follower := range f.followers {
			assert.Equal(t, follower.Current().Number(), comfreyworks.ConfigRevision(3))
			assert.Equal(t, follower.Current().Deployment().Class("review").Deadline, 41*time.Second)
		}
	})
	t.Run("invalid records are rejected by all instances", func(t *testing.T) {
		bad := f.followers[0].Current().Propose(documentWithDeadline(t, 50), "eve", "", f.clock.Now())
		bad.Sections["pools"] = json.RawMessage(`[{"name":"x"}]`)
		f.append(t, bad)
		_, err := f.log.Append(context.Background(), Stream, [][]byte{[]byte("by hand")})
		assert.NilError(t, err)
		f.append(t, f.followers[0].Current().Propose(documentWithDeadline(t, 51), "ann", "", f.clock.Now()))
		f.waitForRevision(4)
		assert.Equal(t, f.followers[7].Current().Deployment().Class("review").Deadline, 51*time.Second)
	})
}

func TestLogDown(t *testing.T) {
	f := newFleet(t, 40)
	f.append(t, revision.Empty().Propose(documentWithDeadline(t, 60), "ann", "", f.clock.Now()))
	// One instance has read the log before it went down.
	f.followers[3].readOnce(context.Background(), 0)
	f.log.SetOutage(true)
	f.start(t)
	t.Logf("from one instance to 40 without the log after %s", f.waitForRevision(1))

	t.Run("a restarted instance gets the newest revision from its peers", func(t *testing.T) {
		restarted := f.newFollower(t, 11)
		restarted.Bootstrap(context.Background())
		assert.Equal(t, restarted.Current().Number(), comfreyworks.ConfigRevision(1))
	})
}

func TestSnapshotOutlivesRetention(t *testing.T) {
	f := newFleet(t, 1)
	f.log = logservice.NewLog(logservice.LogOptions{Clock: f.clock, Retention: 3 * snapshotAge})
	f.followers[0].options.Log = f.log
	f.append(t, revision.Empty().Propose(documentWithDeadline(t, 60), "ann", "", f.clock.Now()))
	ctx := context.Background()
	for range 5 {
		f.followers[0].readOnce(ctx, 0)
		f.followers[0].appendSnapshotIfOld(ctx)
		f.clock.Advance(snapshotAge + snapshotJitter)
	}
	// The log has dropped the first record. A new instance that cannot reach any
	// peer still gets revision 1 from a snapshot.
	newInstance := f.newFollower(t, 0)
	f.followers[0] = nil
	newInstance.Bootstrap(ctx)
	assert.Equal(t, newInstance.Current().Number(), comfreyworks.ConfigRevision(1))
}
