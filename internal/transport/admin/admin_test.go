package admin

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// TestEndlessRevision guards against decoding a response without end.
func TestEndlessRevision(t *testing.T) {
	const limit = 64 << 20
	var written atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n, err := io.WriteString(w, `{"revision":"`)
		for err == nil && written.Add(int64(n)) < limit {
			n, err = w.Write(bytes.Repeat([]byte("x"), 32<<10))
		}
	}))
	defer server.Close()
	_, err := FetchRevision(context.Background(), netip.MustParseAddrPort(server.Listener.Addr().String()))
	assert.Assert(t, err != nil)
	server.Close()
	assert.Assert(t, written.Load() < limit, "the whole response was read")
}
