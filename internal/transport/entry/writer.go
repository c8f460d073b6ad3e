package entry

import (
	"net/http"
	"time"
)

// timeoutWriter sets a deadline for each write, so that a caller that stops
// reading cannot block a request forever. The deadline remains set on the
// connection after the response. Setting it before each write also ensures that
// the next request on a keep-alive connection does not fail because of a deadline
// that has passed.
type timeoutWriter struct {
	http.ResponseWriter
	timeout time.Duration
}

// Write implements io.Writer.
func (w *timeoutWriter) Write(p []byte) (int, error) {
	controller := http.NewResponseController(w.ResponseWriter)
	if err := controller.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
		return 0, err
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController find the underlying writer.
func (w *timeoutWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// withWriteTimeout wraps the response writer of each request in a timeoutWriter.
func (e *Entry) withWriteTimeout(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		limited := &timeoutWriter{ResponseWriter: w, timeout: e.deployment().Callers.WriteTimeout}
		next.ServeHTTP(limited, r)
	})
}
