package peer

import (
	"bufio"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"os"
	"sync"
	"time"

	"comfreyworks"
	"comfreyworks/internal/state/faults"
	"comfreyworks/internal/state/memory"
)

const (
	// defaultMaxMessageBytes is the maximum size of one message unless another one is
	// set. It covers the longest answer of a service and a margin.
	defaultMaxMessageBytes = 80 << 20
	// defaultMessageTimeout is the maximum time from the first byte of a message to its
	// last one. The sender itself gives up after writeTimeout.
	defaultMessageTimeout = 2 * writeTimeout
)

// errPanic means that a message could not be decoded because of a panic.
var errPanic = errors.New("panic while decoding")

// MessageLimits bounds each message that is read from a peer. Zero values stand for
// defaults.
type MessageLimits struct {
	// Bytes is the maximum size of a message with its header.
	Bytes int64
	// Time is the maximum time from the first byte of a message to its last one.
	Time time.Duration
	// Memory accounts for the answers that clients read; nil means that nothing does. The
	// connection on which the largest one arrives is closed if there is no room.
	Memory *memory.Budget
}

func (l MessageLimits) withDefaults() MessageLimits {
	if l.Bytes == 0 {
		l.Bytes = defaultMaxMessageBytes
	}
	if l.Time == 0 {
		l.Time = defaultMessageTimeout
	}
	return l
}

// messageReader reads from a connection and ends it with an error if a message exceeds
// its limits. Without it, gob would read messages of up to 1 GB, and any number of type
// definitions before a message.
type messageReader struct {
	conn   net.Conn
	buffer *bufio.Reader
	limits MessageLimits
	// abort closes the connection after an error.
	abort func() error
	// left is the number of bytes that the message may still have.
	left int64
	// err is the first error; no read succeeds after it.
	err error
	// hold accounts for the message, of which arrived bytes were read and held bytes are
	// reserved. The buffer of gob keeps that size until the next message.
	hold          *memory.Hold
	arrived, held int64
}

// unheldBytes is the part of a message for which the account of memory is not asked.
const unheldBytes = 64 << 10

// begin waits for the first byte of a message.
func (r *messageReader) begin() error {
	if r.err != nil {
		return r.err
	}
	r.left = r.limits.Bytes
	r.hold.Empty()
	r.arrived, r.held = 0, 0
	if _, err := r.buffer.Peek(1); err != nil {
		return r.fail(err)
	}
	return r.conn.SetReadDeadline(time.Now().Add(r.limits.Time))
}

// end ends the time limit of a message that was read completely.
func (r *messageReader) end() error { return r.conn.SetReadDeadline(time.Time{}) }

// Read implements io.Reader.
func (r *messageReader) Read(p []byte) (int, error) {
	switch {
	case r.err != nil:
		return 0, r.err
	case r.left == 0:
		return 0, r.fail(fmt.Errorf("%w: message of more than %d bytes", comfreyworks.ErrCutOff, r.limits.Bytes))
	}
	n, err := r.buffer.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	r.arrived += int64(n)
	if grow := r.arrived - max(r.held, unheldBytes); err == nil && r.hold != nil && grow > 0 {
		grow = max(grow, r.held)
		err = r.hold.Grow(context.Background(), grow)
		r.held += grow
	}
	if err != nil {
		err = r.fail(err)
	}
	return n, err
}

// ReadByte implements io.ByteReader. Without it, gob would add a buffer and read beyond
// the end of a message.
func (r *messageReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r, b[:])
	return b[0], err
}

// fail records an error and closes the connection, because net/rpc leaves it open while
// no call waits.
func (r *messageReader) fail(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = fmt.Errorf("%w: message incomplete after %s", comfreyworks.ErrCutOff, r.limits.Time)
	}
	r.err = err
	_ = r.abort()
	return err
}

// codec encodes and decodes messages in the format of net/rpc, within limits.
type codec struct {
	reader  *messageReader
	faults  *faults.Recorder
	decoder *gob.Decoder
	encoder *gob.Encoder
	buffer  *bufio.Writer
	close   func() error

	mu sync.Mutex
	// calls holds the sequence numbers of the calls that wait for an answer. It is used
	// by clients only.
	calls map[uint64]struct{}
}

var (
	_ rpc.ClientCodec = (*codec)(nil)
	_ rpc.ServerCodec = (*codec)(nil)
)

func newCodec(conn net.Conn, limits MessageLimits, recorder *faults.Recorder) *codec {
	reader := &messageReader{conn: conn, buffer: bufio.NewReader(conn), limits: limits.withDefaults(), abort: conn.Close}
	reader.hold = limits.Memory.Hold(memory.Answer, func() { _ = conn.Close() })
	buffer := bufio.NewWriter(conn)
	return &codec{
		reader: reader, faults: recorder, decoder: gob.NewDecoder(reader), encoder: gob.NewEncoder(buffer), buffer: buffer,
		close: sync.OnceValue(func() error {
			reader.hold.Release()
			return conn.Close()
		}), calls: make(map[uint64]struct{}),
	}
}

// write encodes a header and a body.
func (c *codec) write(header, body any) error {
	err := c.encoder.Encode(header)
	if err == nil {
		err = c.encoder.Encode(body)
	}
	if err != nil {
		// The connection holds a part of a message.
		_ = c.close()
		return err
	}
	return c.buffer.Flush()
}

func (c *codec) readHeader(header any) error {
	if err := c.reader.begin(); err != nil {
		return err
	}
	return c.decode(header)
}

func (c *codec) readBody(body any) error {
	return errors.Join(c.decode(body), c.reader.end())
}

// decode decodes a value. A panic closes the connection: it happens in a goroutine of
// net/rpc, which does not recover, and leaves the decoder within a message.
func (c *codec) decode(value any) error {
	var err error
	if !c.faults.Run("peer-codec", func() { err = c.decoder.Decode(value) }) {
		return c.reader.fail(errPanic)
	}
	return err
}

// WriteRequest implements rpc.ClientCodec.
func (c *codec) WriteRequest(r *rpc.Request, body any) error {
	c.mu.Lock()
	c.calls[r.Seq] = struct{}{}
	c.mu.Unlock()
	return c.write(r, body)
}

// ReadResponseHeader implements rpc.ClientCodec. An answer to no call is an error,
// because such answers may go on forever. At io.EOF, net/rpc fails the calls that
// wait with ErrShutdown if this side is closing the connection, which must only mean
// that a call was not sent.
func (c *codec) ReadResponseHeader(r *rpc.Response) error {
	err := c.readHeader(r)
	switch {
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF
	case err != nil:
		return err
	}
	c.mu.Lock()
	_, waiting := c.calls[r.Seq]
	delete(c.calls, r.Seq)
	c.mu.Unlock()
	if !waiting {
		return c.reader.fail(fmt.Errorf("%w: answer to no call", comfreyworks.ErrCutOff))
	}
	return nil
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *codec) ReadResponseBody(body any) error { return c.readBody(body) }

// ReadRequestHeader implements rpc.ServerCodec.
func (c *codec) ReadRequestHeader(r *rpc.Request) error { return c.readHeader(r) }

// ReadRequestBody implements rpc.ServerCodec.
func (c *codec) ReadRequestBody(body any) error { return c.readBody(body) }

// WriteResponse implements rpc.ServerCodec.
func (c *codec) WriteResponse(r *rpc.Response, body any) error { return c.write(r, body) }

// Close closes the connection.
func (c *codec) Close() error { return c.close() }
