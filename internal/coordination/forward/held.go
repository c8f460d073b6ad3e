package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"

	"comfreyworks"
	"comfreyworks/internal/state/memory"
)

// unheldBytes is the part of an answer or of an event up to which the account of memory is
// not asked. It is in the memory that is reckoned for each connection.
const unheldBytes = 8 << 10

// bufferAnswer reads the first part of an answer into buffer: up to maxBufferedBytes, or less
// if there is no memory for them.
func bufferAnswer(buffer *bytes.Buffer, answer io.Reader, hold *memory.Hold) error {
	if _, err := io.CopyN(buffer, answer, unheldBytes); err != nil {
		return err
	}
	// A buffer that grows may be twice as long as its content.
	if !hold.TryGrow(2 * maxBufferedBytes) {
		return nil
	}
	_, err := io.CopyN(buffer, answer, maxBufferedBytes-unheldBytes)
	return err
}

// eventReader reads a stream and accounts for the buffer in which its events are put
// together, which stays as long as the longest of them.
type eventReader struct {
	io.Reader
	ctx  context.Context
	hold *memory.Hold
	// unfinished is how many bytes were read since the last event, held the size of the hold.
	unfinished, held int64
}

// Read implements io.Reader.
func (r *eventReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.unfinished += int64(n)
	if err != nil || r.hold == nil {
		return n, err
	}
	if r.held > 0 && r.hold.Evicted() {
		return 0, r.noMemory(memory.ErrFull)
	}
	if r.unfinished <= max(r.held, unheldBytes) {
		return n, nil
	}
	grow := max(r.unfinished, 2*r.held) - r.held
	if err := r.hold.Grow(r.ctx, grow); err != nil {
		return 0, r.noMemory(err)
	}
	r.held += grow
	return n, nil
}

func (r *eventReader) noMemory(err error) error {
	if !errors.Is(err, memory.ErrFull) {
		return err
	}
	return fmt.Errorf("%w: event of more than %d bytes: %w", comfreyworks.ErrCutOff, unheldBytes, err)
}

// passed tells that an event has arrived completely.
func (r *eventReader) passed() { r.unfinished = 0 }
