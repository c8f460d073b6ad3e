package comfreyworks

import (
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzBacklog guards against a peer's report that panics or that differs from what is
// passed on.
func FuzzBacklog(f *testing.F) {
	for _, seed := range [][]byte{nil, {0}, {0, 2, 0, 4}, {9, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01}, {10, 2}, {1, 0x80}, {3, 1}} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		var backlog, again PrefillBacklog
		if backlog.GobDecode(encoded) != nil {
			return
		}
		passedOn, err := backlog.GobEncode()
		assert.NilError(t, err)
		assert.NilError(t, again.GobDecode(passedOn))
		assert.Equal(t, again, backlog)
		for priority := range NumPriorities {
			assert.Assert(t, backlog.Ahead(priority) >= 0, "%v", backlog)
		}
	})
}
