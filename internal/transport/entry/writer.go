package entry

import (
	"net/http"
	"time"

	"go.uber.org/zap"
)

// responseWriter sets a deadline for each write, so that a caller that stops
// reading cannot block a request forever. The deadline remains set on the
// connection after the response. Setting it before each write also ensures that
// the next request on a keep-alive connection does not fail because of a deadline
// that has passed.
type responseWriter struct {
	http.ResponseWriter
	timeout time.Duration
	// announceClose adds Connection: close to a header if it applies.
	announceClose func(http.Header)
	headerWritten bool
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if !w.headerWritten {
		w.headerWritten = true
		w.announceClose(w.Header())
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (w *responseWriter) Write(p []byte) (int, error) {
	if !w.headerWritten {
		w.WriteHeader(http.StatusOK)
	}
	controller := http.NewResponseController(w.ResponseWriter)
	if err := controller.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
		return 0, err
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController find the underlying writer.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// withResponseWriter wraps the response writer of each request in a responseWriter. A request
// that panics before anything is written gets an error response.
func (e *Entry) withResponseWriter(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		limited := &responseWriter{ResponseWriter: w, timeout: e.deployment().Callers.WriteTimeout, announceClose: e.announceClose}
		defer func() {
			switch reason := recover(); {
			case reason == nil:
			case limited.headerWritten || reason == http.ErrAbortHandler:
				panic(reason)
			default:
				e.options.Logger.Error("request panicked", zap.Any("reason", reason), zap.Stack("stack"))
				clear(w.Header())
				writeError(limited, incompleteError())
			}
		}()
		next.ServeHTTP(limited, r)
	})
}
