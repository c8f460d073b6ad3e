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

func sidecar(id comfreyworks.InstanceID, state comfreyworks.InstanceState) comfreyworks.Instance {
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
		sidecar("lm/0", comfreyworks.InstanceLive),
		sidecar("lm/1", comfreyworks.InstanceLive),
		sidecar("lm/2", comfreyworks.InstanceLeaving),
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

func TestEvidence(t *testing.T) {
	t.Run("leaving instances get nothing new", func(t *testing.T) {
		newFixture(0).expectUsable(t, "lm/0", "lm/1")
	})
	t.Run("one failure is enough to avoid an instance for a while", func(t *testing.T) {
		f := newFixture(0)
		f.view.Failed("lm/0")
		f.expectUsable(t, "lm/1")
		f.clock.Advance(failureAvoidance)
		f.expectUsable(t, "lm/0", "lm/1")
		f.view.Failed("lm/0")
		f.clock.Advance(failureAvoidance)
		f.expectUsable(t, "lm/1")
		f.view.Worked("lm/0")
		f.expectUsable(t, "lm/0", "lm/1")
	})
	t.Run("an instance that says it leaves is avoided while the list lags", func(t *testing.T) {
		f := newFixture(time.Minute)
		f.view.Leaving("lm/1")
		f.clock.Advance(10 * time.Second)
		f.view.Refresh(context.Background())
		f.expectUsable(t, "lm/0")
	})
	t.Run("when all are doubted, all are tried", func(t *testing.T) {
		f := newFixture(0)
		f.view.Failed("lm/0")
		f.view.Leaving("lm/1")
		f.expectUsable(t, "lm/0", "lm/1")
		assert.DeepEqual(t, f.view.Avoided("lm"), []comfreyworks.InstanceID{"lm/0", "lm/1"})
	})
}

type brokenList struct{}

func (brokenList) Instances(context.Context) ([]comfreyworks.Instance, error) {
	return nil, errors.New("no answer")
}

func TestList(t *testing.T) {
	t.Run("the last list stays in use", func(t *testing.T) {
		f := newFixture(0)
		f.view.options.List = brokenList{}
		f.view.Refresh(context.Background())
		f.expectUsable(t, "lm/0", "lm/1")
	})
	t.Run("departed instances are forgotten", func(t *testing.T) {
		f := newFixture(0)
		f.view.Failed("lm/0")
		f.view.DirectoryFailed("lm/0")
		var told map[netip.AddrPort]bool
		f.view.options.Changed = func(addresses map[netip.AddrPort]bool) { told = addresses }
		f.list.Set([]comfreyworks.Instance{sidecar("lm/1", comfreyworks.InstanceLive)})
		f.view.Refresh(context.Background())
		assert.Equal(t, len(f.view.work)+len(f.view.directory), 0)
		assert.Equal(t, len(told), 1)
	})
	t.Run("the ring stays the same until the list changes", func(t *testing.T) {
		f := newFixture(0)
		ring := f.view.Ring("lm", 2)
		f.view.Refresh(context.Background())
		assert.Assert(t, f.view.Ring("lm", 2) == ring)
		f.list.Set([]comfreyworks.Instance{sidecar("lm/0", comfreyworks.InstanceLive)})
		f.view.Refresh(context.Background())
		assert.Assert(t, f.view.Ring("lm", 2) != ring)
	})
}
