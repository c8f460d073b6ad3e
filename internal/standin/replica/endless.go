package replica

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"time"
)

// Injected faults whose responses go on until the caller closes the connection.
const (
	// FaultEndlessHead sends header fields.
	FaultEndlessHead Fault = "endless-head"
	// FaultEndlessBody sends a body of unknown length: that of a plain service after its
	// header, comments after half of the events of a stream.
	FaultEndlessBody Fault = "endless-body"
)

// EndlessBody is what the body of a plain service repeats with FaultEndlessBody.
const EndlessBody = "x"

// endlessPieceBytes is the size of each piece of an endless response.
const endlessPieceBytes = 4 << 10

// respondEndlessly writes until the caller closes the connection.
func (rep *Replica) respondEndlessly(w http.ResponseWriter, run *Run, fault Fault) {
	defer rep.markCancelled(run)
	if fault == FaultEndlessHead {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		rep.writeEndlessly(buffered.Writer, "HTTP/1.1 200 OK\r\n", "X-More: y\r\n", rep.eventPause(run), buffered.Flush)
		return
	}
	start, text := "", EndlessBody
	if rep.options.Events == 0 {
		rep.mu.Lock()
		run.Endless = true
		rep.mu.Unlock()
	} else {
		w.Header().Set("Content-Type", "text/event-stream")
		text = ": x\n\n"
		for i := rep.lastEvent(run) + 1; i <= rep.options.Events/2; i++ {
			start += ReleaseEvent(i, rep.options.Release)
		}
	}
	rep.writeEndlessly(bufio.NewWriter(w), start, text, rep.eventPause(run), http.NewResponseController(w).Flush)
}

// writeEndlessly writes a start and then a text again and again, with a pause after
// each piece, until writing fails.
func (rep *Replica) writeEndlessly(w *bufio.Writer, start, text string, pause time.Duration, flush func() error) {
	piece := strings.Repeat(text, endlessPieceBytes/len(text))
	_, err := io.WriteString(w, start)
	for err == nil {
		if _, err = io.WriteString(w, piece); err != nil {
			return
		}
		if err = w.Flush(); err == nil {
			err = flush()
		}
		time.Sleep(pause)
	}
}
