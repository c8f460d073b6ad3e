package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEarlyAnswerArrives guards against an answer that its caller never gets, because the
// connection is reset, or the answer held back, while its body is still arriving.
func TestEarlyAnswerArrives(t *testing.T) {
	const large = 8 << 20
	for _, rejected := range []struct {
		path, key string
		status    int
	}{
		{"/none/1", "key-office", http.StatusNotFound},
		{"/book/1", "key-none", http.StatusUnauthorized},
		{"/book/1", "key-office", http.StatusRequestEntityTooLarge},
	} {
		for _, c := range []struct {
			body, header string
			// sent is how much of the body the caller sends before it reads the answer.
			sent int
		}{
			{"slow", "Content-Length: 2000", 1500},
			{"slow, chunked", "Transfer-Encoding: chunked", 0},
			{"not sent", "Content-Length: 2000\r\nExpect: 100-continue", 0},
			{"large", fmt.Sprint("Content-Length: ", large), large},
		} {
			if rejected.status == http.StatusRequestEntityTooLarge && c.sent == 0 {
				continue
			}
			t.Run(fmt.Sprint(rejected.status, " ", c.body), func(t *testing.T) {
				t.Parallel()
				s := startStopping(t, 0, time.Second)
				s.send(t, "POST "+rejected.path+" HTTP/1.1\r\nHost: api.example\r\n"+c.header+"\r\n"+
					s.names.RequestID+": r1\r\n"+s.names.APIKey+": "+rejected.key+"\r\n\r\n")
				began := time.Now()
				_, err := s.Write([]byte(strings.Repeat("x", c.sent)))
				assert.NilError(t, err, "reset after %s", time.Since(began))
				assert.NilError(t, s.SetReadDeadline(time.Now().Add(5*time.Second)))
				assert.Equal(t, s.receive(t).StatusCode, rejected.status)
			})
		}
	}
}

// TestConnectionAfterEarlyAnswer guards against cutting off the next request on a connection
// that is kept, because of a deadline for the body of the one before.
func TestConnectionAfterEarlyAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		// header and body are those of the first request, and rest is sent after a pause.
		path, header, body, rest string
		status                   int
		closes                   bool
	}{
		"no body":            {path: "/none/1", header: "Content-Length: 0", status: http.StatusNotFound},
		"whole body":         {path: "/none/1", header: "Content-Length: 4", body: "text", status: http.StatusNotFound},
		"body in two parts":  {path: "/none/1", header: "Content-Length: 4", body: "te", rest: "xt", status: http.StatusNotFound},
		"body at the end":    {path: "/book/1", header: "Content-Length: 4\r\nComfrey-Deadline-Ms: 100", body: "te", rest: "", status: http.StatusRequestTimeout, closes: true},
		"deadline, no body":  {path: "/book/1", header: "Content-Length: 0\r\nComfrey-Deadline-Ms: 0.001", status: http.StatusServiceUnavailable},
		"deadline, body":     {path: "/book/1", header: "Content-Length: 4\r\nComfrey-Deadline-Ms: 0.001", body: "text", status: http.StatusServiceUnavailable},
		"deadline, HTTP/1.0": {path: "/book/1", header: "Content-Length: 0\r\nComfrey-Deadline-Ms: 0.001\r\nConnection: keep-alive", status: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startStopping(t, 0, time.Second)
			version := "HTTP/1.1"
			if strings.HasSuffix(name, "HTTP/1.0") {
				version = "HTTP/1.0"
			}
			s.send(t, "POST "+c.path+" "+version+"\r\nHost: api.example\r\n"+c.header+"\r\n"+
				s.names.RequestID+": r1\r\n"+s.names.APIKey+": key-office\r\n\r\n"+c.body)
			if c.rest != "" {
				time.Sleep(earlyAnswerWait / 2)
				s.send(t, c.rest)
			}
			first := s.receive(t)
			assert.Equal(t, first.StatusCode, c.status)
			assert.Equal(t, first.Close, c.closes)
			if c.closes {
				return
			}
			time.Sleep(2 * earlyAnswerWait)
			s.send(t, s.text(t, "/book/1"))
			assert.Equal(t, s.receive(t).StatusCode, http.StatusOK)
		})
	}
}
