package replica

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
)

// FaultRepeatedRefusal rejects the request like FaultBusy. The same rejection, without the
// ID of its request, precedes the response to the next request on the connection, which
// runs. It needs a server with ConnContext.
const FaultRepeatedRefusal Fault = "repeated-refusal"

// connKey is the context key of a refusedConn.
type connKey struct{}

// refusedConn is a connection with the rejection that is to be repeated on it, if any.
type refusedConn struct {
	net.Conn
	rejection string
}

// ConnContext is the function of that name of an http.Server whose handler is a Replica.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, &refusedConn{Conn: conn})
}

// rejectRepeatedly prepares the repetition of the rejection of a request.
func (rep *Replica) rejectRepeatedly(r *http.Request) {
	if conn, ok := r.Context().Value(connKey{}).(*refusedConn); ok {
		conn.rejection = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", rep.options.Headers.NotRun)
	}
}

// repeatRejection writes the rejection of an earlier request once more, as long as the
// replica is faulty.
func (rep *Replica) repeatRejection(r *http.Request) {
	conn, ok := r.Context().Value(connKey{}).(*refusedConn)
	if !ok {
		return
	}
	rejection := conn.rejection
	conn.rejection = ""
	rep.mu.Lock()
	faulty := rep.faultFunc != nil || len(rep.faults) > 0
	rep.mu.Unlock()
	if faulty {
		_, _ = io.WriteString(conn, rejection)
	}
}
