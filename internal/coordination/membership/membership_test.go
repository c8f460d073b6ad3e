package membership

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/standin/logservice"
)

func newSidecar(id comfreyworks.InstanceID, state comfreyworks.InstanceState) comfreyworks.Instance {
	return comfreyworks.Instance{ID: id, Role: comfreyworks.RoleSidecar, Pool: "lm", State: state}
}

type fixture struct {
	clock *clockwork.FakeClock
	list  *logservice.List
	view  *View
}

func newFixture(lag time.Duration) fixture {
	clock := clockwork.NewFakeClock()
	list := logservice.NewList(clock, lag)
	list.Set([]comfreyworks.Instance{
		newSidecar("lm/0", comfreyworks.InstanceLive),
		newSidecar("lm/1", comfreyworks.InstanceLive),
		newSidecar("lm/2", comfreyworks.InstanceLeaving),
	})
	view := New(Options{List: list, Clock: clock, Logger: zap.NewNop()})
	view.Refresh(context.Background())
	return fixture{clock: clock, list: list, view: view}
}

func (f fixture) expectUsable(t *testing.T, ids ...comfreyworks.InstanceID) {
	t.Helper()
	var got []comfreyworks.InstanceID
	for _, instance := range f.view.Usable("lm") {
		got = append(got, instance.ID)
	}
	assert.DeepEqual(t, got, ids)
}

func TestAvoidance(t *testing.T) {
	t.Run("leaving instances get no new requests", func(t *testing.T) {
		newFixture(0).expectUsable(t, "lm/0", "lm/1")
	})
	t.Run("an instance is avoided longer after each failure until it works", func(t *testing.T) {
		f := newFixture(0)
		f.view.RecordFailure("lm/0")
		f.expectUsable(t, "lm/1")
		f.clock.Advance(failureAvoidance)
		f.expectUsable(t, "lm/0", "lm/1")
		f.view.RecordFailure("lm/0")
		f.clock.Advance(failureAvoidance)
		f.expectUsable(t, "lm/1")
		f.view.RecordSuccess("lm/0")
		f.expectUsable(t, "lm/0", "lm/1")
	})
	t.Run("an instance that refuses because it is leaving is avoided while the list lags", func(t *testing.T) {
		f := newFixture(time.Minute)
		f.view.RecordLeaving("lm/1")
		f.clock.Advance(10 * time.Second)
		f.view.Refresh(context.Background())
		f.expectUsable(t, "lm/0")
	})
	t.Run("if all live instances are avoided, all are usable", func(t *testing.T) {
		f := newFixture(0)
		f.view.RecordFailure("lm/0")
		f.view.RecordLeaving("lm/1")
		f.expectUsable(t, "lm/0", "lm/1")
		assert.DeepEqual(t, f.view.Avoided("lm"), []comfreyworks.InstanceID{"lm/0", "lm/1"})
	})
}

type failingList struct{}

func (failingList) Instances(context.Context) ([]comfreyworks.Instance, error) {
	return nil, errors.New("no answer")
}

func TestList(t *testing.T) {
	t.Run("the previous list stays in use after an error", func(t *testing.T) {
		f := newFixture(0)
		f.view.options.List = failingList{}
		f.view.Refresh(context.Background())
		f.expectUsable(t, "lm/0", "lm/1")
	})
	t.Run("records of instances that are no longer listed are removed", func(t *testing.T) {
		f := newFixture(0)
		f.view.RecordFailure("lm/0")
		f.view.RecordDirectoryFailure("lm/0")
		var reported map[netip.AddrPort]bool
		f.view.options.OnChange = func(addresses map[netip.AddrPort]bool) { reported = addresses }
		f.list.Set([]comfreyworks.Instance{newSidecar("lm/1", comfreyworks.InstanceLive)})
		f.view.Refresh(context.Background())
		assert.Equal(t, len(f.view.forRequests)+len(f.view.forDirectory), 0)
		assert.Equal(t, len(reported), 1)
	})
	t.Run("the shard owners stay the same until the list changes", func(t *testing.T) {
		f := newFixture(0)
		owners := f.view.ShardOwners("lm", 2)
		f.view.Refresh(context.Background())
		assert.Assert(t, f.view.ShardOwners("lm", 2) == owners)
		f.list.Set([]comfreyworks.Instance{newSidecar("lm/0", comfreyworks.InstanceLive)})
		f.view.Refresh(context.Background())
		assert.Assert(t, f.view.ShardOwners("lm", 2) != owners)
	})
}
