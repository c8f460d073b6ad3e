package replica

import (
	"net"
	"net/http"
	"time"
)

// Injected faults whose responses have neither a length nor chunks, so that the end of
// the connection ends them.
const (
	// FaultUnframed sends the whole response and closes the connection.
	FaultUnframed Fault = "unframed"
	// FaultUnframedReset sends half of the response and resets the connection.
	FaultUnframedReset Fault = "unframed-reset"
)

// respondUnframed writes a response with one of these faults.
func (rep *Replica) respondUnframed(w http.ResponseWriter, run *Run, fault Fault) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	pieces := rep.pieces(run)
	if fault == FaultUnframedReset {
		pieces = pieces[:len(pieces)/2]
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n")
	_ = w.Header().Write(buffered)
	_, _ = buffered.WriteString("\r\n")
	for _, piece := range pieces {
		_, _ = buffered.WriteString(piece)
		if buffered.Flush() != nil {
			rep.markCancelled(run)
			return
		}
		time.Sleep(rep.eventPause(run))
	}
}

// pieces returns the body of the response to a run: its events, or its halves for a plain
// service.
func (rep *Replica) pieces(run *Run) []string {
	if rep.options.Events == 0 {
		body := answerTo(run)
		return []string{body[:len(body)/2], body[len(body)/2:]}
	}
	var events []string
	for i := rep.lastEvent(run) + 1; i <= rep.options.Events; i++ {
		events = append(events, ReleaseEvent(i, rep.options.Release))
	}
	return events
}
