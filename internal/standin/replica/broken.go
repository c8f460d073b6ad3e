package replica

import (
	"fmt"
	"net/http"
	"net/http/httputil"
	"strings"
)

// Injected faults whose responses have a broken head before the whole body.
const (
	// FaultLowStatus and FaultHighStatus respond with a status that is none.
	FaultLowStatus  Fault = "low-status"
	FaultHighStatus Fault = "high-status"
	// FaultFieldName responds in chunks, with a blank in the name of the field that says so.
	FaultFieldName Fault = "field-name"
)

// respondWithBrokenHead writes a response with one of these faults.
func (rep *Replica) respondWithBrokenHead(w http.ResponseWriter, run *Run, fault Fault) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	body := strings.Join(rep.pieces(run), "")
	var head string
	switch fault {
	case FaultLowStatus:
		head = fmt.Sprintf("HTTP/1.1 000 Broken\r\nContent-Length: %d\r\n", len(body))
	case FaultHighStatus:
		head = fmt.Sprintf("HTTP/1.1 600 Broken\r\nContent-Length: %d\r\n", len(body))
	default:
		head = "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n"
	}
	_, _ = buffered.WriteString(head)
	_ = w.Header().Write(buffered)
	_, _ = buffered.WriteString("\r\n")
	if fault == FaultFieldName {
		chunks := httputil.NewChunkedWriter(buffered)
		_, _ = chunks.Write([]byte(body))
		_ = chunks.Close()
		body = "\r\n"
	}
	_, _ = buffered.WriteString(body)
	if buffered.Flush() != nil {
		rep.markCancelled(run)
	}
}
