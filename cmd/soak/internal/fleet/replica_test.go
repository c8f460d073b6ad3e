package fleet

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"comfreyworks/platform/standin"
)

// newFleet starts a fleet without gateways.
func newFleet(t *testing.T) *Fleet {
	t.Helper()
	f, err := Start(Options{Dir: t.TempDir()})
	assert.NilError(t, err)
	t.Cleanup(f.Stop)
	return f
}

// entry returns the entry of a replica as it is in the store, or the empty string if it
// is not listed.
func (f *Fleet) entry(r *Replica) string { return f.Store.Newest(standin.UpstreamTopic, string(r.ID)) }

// TestRestart guards against restarts that change the release of a replica, and against
// ones that list a replica again that has left.
func TestRestart(t *testing.T) {
	f := newFleet(t)
	_, err := f.StartReplica(0, Releases[2])
	assert.NilError(t, err)
	r := f.Replica(0)
	f.Restart(r)
	assert.Equal(t, len(r.Starts()), 2)
	assert.Assert(t, r.Starts()[1].After(r.Started))
	assert.Assert(t, strings.Contains(f.entry(r), `"version":"`+Releases[2]+`"`))

	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	f.Restart(r)
	assert.Assert(t, strings.Contains(f.entry(r), `"draining"`))
	f.remove(r)
	f.Restart(r)
	assert.Equal(t, len(r.Starts()), 3)
	assert.Equal(t, f.entry(r), "")
}

// TestRemoveRestored guards against restored stores that list replicas for good that
// were stopped after the copy was made.
func TestRemoveRestored(t *testing.T) {
	f := newFleet(t)
	left, serving := f.Replica(0), f.Replica(1)
	saved := f.Store.Copy()
	f.remove(left)
	f.Store.Restore(saved)
	assert.Assert(t, f.entry(left) != "")
	f.removeRestored()
	assert.Equal(t, f.entry(left), "")
	assert.Assert(t, f.entry(serving) != "")
}
