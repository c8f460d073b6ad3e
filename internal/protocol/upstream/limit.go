package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"comfreyworks"
	"comfreyworks/internal/state/memory"
)

// maxIdleBytes is the maximum number of bytes of a stream that bring no token.
const maxIdleBytes = 1 << 20

// progressReader reads a stream and returns an error after maxIdleBytes without
// progress.
type progressReader struct {
	io.Reader
	idle int
}

// progress records that what was read has brought the stream forward.
func (r *progressReader) progress() { r.idle = 0 }

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	if r.idle > maxIdleBytes {
		return 0, fmt.Errorf("%w: %d bytes without a token", comfreyworks.ErrCutOff, maxIdleBytes)
	}
	n, err := r.Reader.Read(p)
	r.idle += n
	return n, err
}

// readAll reads a body of at most maxResponseBytes, which a hold accounts for.
func readAll(ctx context.Context, response *http.Response, hold *memory.Hold) ([]byte, error) {
	expected := response.ContentLength
	if expected < 0 {
		expected = maxResponseBytes
	}
	body, err := hold.ReadAll(ctx, io.LimitReader(response.Body, maxResponseBytes+1), expected)
	if err == nil && len(body) > maxResponseBytes {
		return nil, fmt.Errorf("%w: response is longer than %d bytes", comfreyworks.ErrCutOff, maxResponseBytes)
	}
	return body, err
}
