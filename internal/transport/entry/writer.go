package entry

import (
	"net/http"
	"time"
)

// boundedWriter gives every write a deadline, so that a reader that stopped
// reading cannot hold a request for ever. A deadline stays on the connection
// after the answer; setting it anew before each write also keeps the next
// request on a kept connection from inheriting one that has passed.
type boundedWriter struct {
	http.ResponseWriter
	timeout time.Duration
}

// Write implements io.Writer.
func (w *boundedWriter) Write(p []byte) (int, error) {
	controller := http.NewResponseController(w.ResponseWriter)
	if err := controller.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
		return 0, err
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController find the writer below.
func (w *boundedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// withBounds gives every answer a boundedWriter.
func (e *Entry) withBounds(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		bounded := &boundedWriter{ResponseWriter: w, timeout: e.deployment().Callers.WriteTimeout}
		next.ServeHTTP(bounded, r)
	})
}
