package listener

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestReadDeadlineIsNoDeparture guards against taking a caller for one that has left, in
// this request or the next one on its connection, because a read deadline for the body of
// a request passes although there is nothing more to read.
func TestReadDeadlineIsNoDeparture(t *testing.T) {
	for name, request := range map[string]string{
		"no body":  getRequest,
		"HTTP/1.0": "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
		"body":     "POST / HTTP/1.1\r\nHost: api.example\r\nContent-Length: 4\r\n\r\ntext",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			limits := func() Limits {
				return Limits{HeaderBytes: 1 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
			}
			left, answered := make(chan Departure, 2), make(chan struct{}, 2)
			s := serve(t, limits, func(w http.ResponseWriter, r *http.Request) {
				body := make([]byte, r.ContentLength+1)
				_, _ = r.Body.Read(body)
				_, _ = r.Body.Read(body)
				assert.Check(t, http.NewResponseController(w).SetReadDeadline(time.Now().Add(-time.Second)))
				select {
				case <-r.Context().Done():
				case <-time.After(50 * time.Millisecond):
				}
				left <- CallerOf(r.Context()).Departure()
				assert.Check(t, r.Context().Err())
				w.Header().Set("Content-Length", "0")
				answered <- struct{}{}
			})
			for range 2 {
				s.send(t, request)
				assert.Equal(t, s.receive(t), http.StatusOK)
				<-answered
				assert.Equal(t, <-left, DepartureNone)
			}
		})
	}
}
