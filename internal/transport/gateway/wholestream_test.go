package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStreamThatMayNotResume guards against holding back or leaving out events of a stream
// that no other upstream continues.
func TestStreamThatMayNotResume(t *testing.T) {
	ok := proven + eventsType
	t.Run("events without an ID are not held back", func(t *testing.T) {
		const events = "id: 1\ndata: a\n\ndata: b\n\n"
		f := newFixture(t)
		received := make(chan struct{})
		defer close(received)
		f.serveRaw(t, func(conn net.Conn, _ int) error {
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return nil
			}
			_, _ = io.Copy(io.Discard, r.Body)
			head := strings.Replace(ok, "\r\n", "\r\nComfrey-Request-Id: "+r.Header.Get("Comfrey-Request-Id")+"\r\n", 1)
			_, _ = io.WriteString(conn, cutOff(head, events))
			<-received
			_, _ = io.WriteString(conn, "0\r\n\r\n")
			return nil
		})
		r := f.request(t, http.MethodPost, "/review/1", "text")
		resp, err := (&http.Client{Timeout: 5 * time.Second}).Do(r)
		assert.NilError(t, err)
		defer func() { _ = resp.Body.Close() }()
		_, err = io.ReadFull(resp.Body, make([]byte, len(events)))
		assert.NilError(t, err)
	})
	t.Run("a header that means nothing there", func(t *testing.T) {
		f := newFixture(t)
		s := &scriptedReplicas{script: []string{whole(ok, fullStream())}}
		f.serveRaw(t, s.serve)
		r := f.request(t, http.MethodPost, "/review/1", "text")
		r.Header.Set("Last-Event-Id", "3")
		resp := f.do(t, r)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, resp.body, fullStream())
	})
}
