package gateway

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestIncreasingIDs guards against cutting off or refusing a sound stream because of its
// event IDs, which only have to increase.
func TestIncreasingIDs(t *testing.T) {
	ok := proven + eventsType
	event := func(id string) string { return "id: " + id + "\ndata: token\n\n" }
	for name, c := range map[string]struct{ begun, rest string }{
		"broken after its first event":  {event("1"), event("5") + event("9")},
		"broken after a gap":            {event("1") + event("5"), event("9")},
		"begins at zero":                {event("0"), event("1")},
		"begins at ten":                 {event("10"), event("11") + event("12")},
		"no numbers":                    {event("a"), event("b")},
		"other weights after the break": {event("1"), "comfrey-weights:2\n" + event("2")},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			s := &scriptedReplicas{script: []string{cutOff(ok, c.begun), whole(ok, c.rest)}}
			f.serveRaw(t, s.serve)
			resp := f.callRaw(t, "HTTP/1.1", "/note/1")
			assert.Assert(t, !resp.cut)
			assert.Equal(t, resp.body, c.begun+c.rest)
		})
	}
	for name, learned := range map[string]bool{"taken up by its caller": false, "taken up by its caller after a complete one": true} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			s := &scriptedReplicas{script: []string{whole(ok, event("9"))}}
			if learned {
				s.script = append([]string{whole(ok, event("1")+event("5"))}, s.script...)
			}
			f.serveRaw(t, s.serve)
			if learned {
				assert.Equal(t, f.callRaw(t, "HTTP/1.1", "/note/1").body, event("1")+event("5"))
			}
			r := f.request(t, http.MethodPost, "/note/1", "text")
			r.Header.Set("Last-Event-Id", "5")
			resp := f.do(t, r)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			assert.Equal(t, resp.body, event("9"))
		})
	}
}
