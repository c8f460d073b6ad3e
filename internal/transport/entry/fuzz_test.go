package entry

import (
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzEventID guards against an event ID of a caller that resumes the stream of another
// workspace, or at a position that makes no sense.
func FuzzEventID(f *testing.F) {
	id := string(newRequestID("secret", "ours"))
	for _, seed := range []string{"", "....", ".0.0.i.1", ".0.2.i.1", ".-1.0.i.1", ".0.0.i.99999999999999999999", ".0.0..0"} {
		f.Add(id + seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		got, resume, err := parseEventID("secret", "ours", text)
		if err != nil {
			return
		}
		assert.Assert(t, resume.Delivered >= resume.Origin.Start && resume.Origin.Start >= 0 && resume.Origin.Attempt >= 0)
		_, _, err = parseEventID("secret", "theirs", text)
		assert.ErrorIs(t, err, errEventID)
		again, _, err := parseEventID("secret", "ours", eventID(got, resume.Origin, resume.Delivered))
		assert.NilError(t, err)
		assert.Equal(t, again, got)
	})
}
