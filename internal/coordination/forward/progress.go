package forward

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"comfreyworks"
)

const (
	// maxAnswerBytes is the maximum size of an answer whose length is not declared.
	maxAnswerBytes = 64 << 20
	// maxHeldBytes is the maximum size of the blocks without data that are held back
	// until the next event.
	maxHeldBytes = 64 << 10
)

// streamProgress decides whether a stream still gets anywhere. Only an event with an
// ID that is newer than all before it in the same response does. The zero value is
// ready for use.
type streamProgress struct {
	newestID string
	// idle is the number of bytes since the last event that was new.
	idle int
	// held holds blocks without data, such as comments. They are passed on with the
	// next event, so that none of them remain in a stream that is resumed elsewhere.
	held []byte
}

// add records an event and reports whether it is new. It returns an error once more
// than maxEventBytes have brought no new event.
func (p *streamProgress) add(event []byte, id string) (isNew bool, err error) {
	if isNewer(id, p.newestID) {
		p.newestID = id
		p.idle = 0
		return true, nil
	}
	p.idle += len(event)
	if p.idle > maxEventBytes {
		return false, fmt.Errorf("%w: %d bytes without a new event", comfreyworks.ErrCutOff, maxEventBytes)
	}
	return false, nil
}

// hold keeps a block without data until release is called.
func (p *streamProgress) hold(block []byte) error {
	if len(p.held)+len(block) > maxHeldBytes {
		return fmt.Errorf("%w: %d bytes without data", comfreyworks.ErrCutOff, maxHeldBytes)
	}
	p.held = append(p.held, block...)
	return nil
}

// release returns the blocks that are held, followed by an event.
func (p *streamProgress) release(event []byte) []byte {
	if len(p.held) == 0 {
		return event
	}
	held := append(p.held, event...)
	p.held = nil
	return held
}

// isNewer reports whether an event ID follows another one. IDs that are not numbers
// have no order, so that any other one does.
func isNewer(id, than string) bool {
	if id == "" || id == than {
		return false
	}
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return true
	}
	last, err := strconv.ParseUint(than, 10, 64)
	return err != nil || n > last
}

// hasData reports whether an event has a data field. Without one, it is not delivered
// to the application that reads the stream.
func hasData(event []byte) bool {
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, []byte("data")) {
			return true
		}
	}
	return false
}

// limitError converts the error of a scanner whose limit was reached.
func limitError(err error) error {
	if errors.Is(err, bufio.ErrTooLong) {
		return fmt.Errorf("%w: an event of more than %d bytes", comfreyworks.ErrCutOff, maxEventBytes)
	}
	return err
}
