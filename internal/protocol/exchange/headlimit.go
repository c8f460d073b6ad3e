package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/textproto"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyworks"
	"comfreyworks/internal/protocol/httpclient"
)

const (
	// headTimeout is the maximum time from the first byte of a response header to its
	// end. A sound upstream writes it at once, unless it pauses.
	headTimeout = maxSilence + time.Second
	// drainTimeout is the maximum time to read the body of a response whose header
	// says that the request did not run. It is read only to reuse the connection.
	drainTimeout = 100 * time.Millisecond
)

// headLimit cancels a request whose response header does not end. The time before the
// first byte, and between an informational response and the next one, is not limited.
type headLimit struct {
	clock  comfreyworks.Clock
	cancel context.CancelCauseFunc

	mu            sync.Mutex
	timer         clockwork.Timer
	informational int
	// read is the number of bytes since the last informational response.
	read    int
	stopped bool
}

// bytesRead counts bytes and starts the time limit unless it is running.
func (l *headLimit) bytesRead(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.read += n
	if l.stopped || l.timer != nil {
		return
	}
	l.timer = l.clock.AfterFunc(headTimeout, func() {
		l.cancel(fmt.Errorf("%w: response header incomplete after %s", comfreyworks.ErrCutOff, headTimeout))
	})
}

// informationalRead ends the time limit of an informational response, and checks it. It
// implements httptrace.ClientTrace.Got1xxResponse.
func (l *headLimit) informationalRead(_ int, header textproto.MIMEHeader) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopTimer()
	l.read = 0
	if l.informational++; l.informational > httpclient.MaxInformational {
		return fmt.Errorf("%w: more than %d informational responses", comfreyworks.ErrCutOff, httpclient.MaxInformational)
	}
	return httpclient.CheckFields(header)
}

// wrap marks an error that ended a request as a cut if the transport's limit on the size
// of the header was reached: its error cannot be told apart from others.
func (l *headLimit) wrap(err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.read < maxHeaderBytes || errors.Is(err, comfreyworks.ErrCutOff) {
		return err
	}
	return fmt.Errorf("%w: %w", comfreyworks.ErrCutOff, err)
}

// stop ends the limit: the header is complete or the request has failed.
func (l *headLimit) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	l.stopTimer()
}

// stopTimer stops the timer. The mutex must be held.
func (l *headLimit) stopTimer() {
	if l.timer != nil {
		l.timer.Stop()
		l.timer = nil
	}
}

// cancelBody is the body of a response whose request has a context of its own.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close closes the body and releases the context.
func (b *cancelBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}

// drain reads what is left of a short body, so that its connection can be reused, and
// closes it.
func (c *Client) drain(body io.ReadCloser) {
	if b, ok := body.(*cancelBody); ok {
		timer := c.options.Clock.AfterFunc(drainTimeout, func() {
			b.cancel(fmt.Errorf("%w: body of a refusal incomplete after %s", comfreyworks.ErrCutOff, drainTimeout))
		})
		defer timer.Stop()
	}
	_, _ = io.CopyN(io.Discard, body, maxHeaderBytes)
	_ = body.Close()
}
