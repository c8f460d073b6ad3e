package listener

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// lingerPause, lingerTime and lingerBytes bound what is read after an early answer: the
	// time without a byte, the whole time and the number of bytes. Without it the answer
	// would be lost: closing a connection with unread data resets it. The pause is that of
	// http.Server.
	lingerPause = 500 * time.Millisecond
	lingerTime  = 2 * time.Second
	lingerBytes = 64 << 20
)

// unavailableRetryAfter is the Retry-After, in seconds, of requests that are refused because
// there is no memory for their header.
const unavailableRetryAfter = "1"

// refuse answers a request whose header is not complete, and which has thus not run.
func (c *conn) refuse(status int) {
	text := http.StatusText(status)
	response := http.Response{
		StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Close: true,
		Header:        http.Header{"Content-Type": {"text/plain; charset=utf-8"}},
		ContentLength: int64(len(text)), Body: io.NopCloser(strings.NewReader(text)),
	}
	if status == http.StatusServiceUnavailable {
		response.Header.Set("Retry-After", unavailableRetryAfter)
	}
	if c.TCPConn.SetDeadline(time.Now().Add(lingerPause)) == nil && response.Write(c.TCPConn) == nil {
		_ = c.CloseWrite()
	}
}

// CloseWrite implements closing for sending. It then reads what the caller still sends, so
// that the caller gets the answer that was written.
func (c *conn) CloseWrite() error {
	if !c.lingered.CompareAndSwap(false, true) {
		return nil
	}
	err := c.TCPConn.CloseWrite()
	if err == nil {
		_, _ = io.CopyN(io.Discard, &lingeringReader{c.TCPConn, time.Now().Add(lingerTime)}, lingerBytes)
	}
	return err
}

// lingeringReader reads until a time, or until nothing arrives for lingerPause.
type lingeringReader struct {
	tcp   *net.TCPConn
	until time.Time
}

// Read implements io.Reader.
func (r *lingeringReader) Read(p []byte) (int, error) {
	deadline := time.Now().Add(lingerPause)
	if deadline.After(r.until) {
		deadline = r.until
	}
	if err := r.tcp.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	return r.tcp.Read(p)
}

// answeredEarly reports whether the caller may still be sending its request although it has
// an answer. A further request is not read: its caller could not tell that it was not handled.
func (c *conn) answeredEarly() bool {
	departure := c.departure()
	if c.written.Load() == 0 || departure != DepartureNone && departure != DepartureReadDeadline {
		return false
	}
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, open := l.states[c]; !open || l.ended {
		return false
	}
	switch c.phase {
	case phaseRequest:
		return !c.bodyRead.Load()
	case phaseHeader:
		// The header was malformed.
		return true
	default:
		return false
	}
}
