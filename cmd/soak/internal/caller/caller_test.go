package caller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"comfreyworks/cmd/soak/internal/fleet"
	"comfreyworks/internal/standin/replica"
	"comfreyworks/platform"
)

// newGateways starts n gateways that answer with two events and break off the first
// streams. It returns their addresses and the headers that they receive.
func newGateways(t *testing.T, n, broken int) (addresses []netip.AddrPort, requests chan http.Header) {
	t.Helper()
	requests = make(chan http.Header, 2*n)
	for range n {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requests <- r.Header
			_, _ = io.WriteString(w, replica.Event(1)+replica.Event(2))
			_ = http.NewResponseController(w).Flush()
			if len(requests) <= broken {
				panic(http.ErrAbortHandler)
			}
		}))
		t.Cleanup(server.Close)
		addresses = append(addresses, netip.MustParseAddrPort(server.Listener.Addr().String()))
	}
	return addresses, requests
}

// sendOnce lets a caller send one request, and whatever follows from its answer.
func sendOnce(t *testing.T, gateways, broken int) ([]Record, chan http.Header) {
	t.Helper()
	addresses, requests := newGateways(t, gateways, broken)
	c := New(Options{Name: "c", Gateways: addresses, Keys: []string{"key-office"}, LongStreams: true})
	c.sendAndTakeUp(0)
	return c.Records(), requests
}

// TestTakeUp guards against callers that never try to take up a stream, or that try
// more often than those of the platform.
func TestTakeUp(t *testing.T) {
	names := platform.HeaderNames()
	t.Run("a broken stream, at another gateway", func(t *testing.T) {
		records, requests := sendOnce(t, 3, 1)
		assert.Equal(t, len(records), 2)
		first, rest := records[0], records[1]
		assert.Assert(t, !first.Complete && rest.Complete)
		assert.Assert(t, first.Gateway != rest.Gateway && first.ID != rest.ID)
		assert.Equal(t, rest.Resumes, first.ID)
		assert.Equal(t, rest.LastEvent, 2)
		assert.Equal(t, (<-requests).Get(names.LastEventID), "")
		header := <-requests
		assert.Equal(t, header.Get(names.LastEventID), "2")
		assert.Equal(t, header.Get(names.Resumes), first.ID)
	})
	t.Run("once only", func(t *testing.T) {
		records, _ := sendOnce(t, 3, 3)
		assert.Equal(t, len(records), 2)
	})
	t.Run("not without another gateway", func(t *testing.T) {
		records, _ := sendOnce(t, 1, 1)
		assert.Equal(t, len(records), 1)
	})
	t.Run("not a complete one", func(t *testing.T) {
		records, _ := sendOnce(t, 3, 0)
		assert.Equal(t, len(records), 1)
	})
}

func TestCanBeTakenUp(t *testing.T) {
	broken := Record{Kind: ResumableStream, Status: http.StatusOK, Err: io.ErrUnexpectedEOF, ResponseBody: []byte(replica.Event(1) + "id")}
	cases := map[string]struct {
		want   bool
		change func(r *Record)
	}{
		"broken":                 {true, func(*Record) {}},
		"cannot be resumed":      {false, func(r *Record) { r.Kind = Stream }},
		"refused":                {false, func(r *Record) { r.Status = http.StatusServiceUnavailable }},
		"complete":               {false, func(r *Record) { r.Err = nil }},
		"given up by the caller": {false, func(r *Record) { r.Err = os.ErrDeadlineExceeded }},
		"without an event":       {false, func(r *Record) { r.ResponseBody = []byte("id") }},
		"after its last event":   {false, func(r *Record) { r.ResponseBody = []byte(replica.Stream(fleet.StreamEvents)) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := broken
			c.change(&r)
			assert.Equal(t, r.canBeTakenUp(), c.want)
		})
	}
}
