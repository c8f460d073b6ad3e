package program

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

func TestRun(t *testing.T) {
	cases := map[string]struct {
		args []string
		err  error
		want ExitCode
	}{
		"success":             {nil, nil, ExitOK},
		"failure":             {nil, errors.New("no"), ExitFailure},
		"stopped":             {nil, context.Canceled, ExitOK},
		"help":                {[]string{"--help"}, nil, ExitOK},
		"version":             {[]string{"--version"}, nil, ExitOK},
		"unknown flag":        {[]string{"--none"}, nil, ExitUsage},
		"unexpected argument": {[]string{"file"}, nil, ExitUsage},
		"unknown log level":   {[]string{"--log-level", "loud"}, nil, ExitUsage},
		"port out of range":   {[]string{"--metrics-port", "70000"}, nil, ExitUsage},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			code := Run("test", c.args, func(context.Context, *zap.Logger, RunFlags) error { return c.err })
			assert.Equal(t, code, c.want)
		})
	}
}

// blockedWriter blocks every write until released is closed.
type blockedWriter struct {
	released chan struct{}
	mu       sync.Mutex
	written  bytes.Buffer
}

// Write implements io.Writer.
func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.released
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

// TestLineWriterNeverBlocks guards against a program that stops serving because
// nobody reads its log: it writes more lines than fit into the queue while the
// underlying writer is blocked.
func TestLineWriterNeverBlocks(t *testing.T) {
	blocked := &blockedWriter{released: make(chan struct{})}
	lines := newAsyncLineWriter(blocked)
	const extra = 500
	for range maxQueuedLines + extra {
		n, err := lines.Write([]byte("line\n"))
		assert.NilError(t, err)
		assert.Equal(t, n, 5)
	}
	assert.Assert(t, lines.dropped.Load() >= extra-1, "%d", lines.dropped.Load())
	close(blocked.released)
	lines.Close()
	assert.Equal(t, int64(strings.Count(blocked.written.String(), "line\n")), maxQueuedLines+extra-lines.dropped.Load())
}

// TestLogSampling checks that a message logged many times in a short time is
// written only a limited number of times.
func TestLogSampling(t *testing.T) {
	var out bytes.Buffer
	logger, err := NewLogger("info", &out)
	assert.NilError(t, err)
	logger = withSampling(logger)
	const lines = 10 * sampleFirst
	for range lines {
		logger.Info("request")
	}
	n := strings.Count(out.String(), "\n")
	assert.Assert(t, n >= sampleFirst && n <= 2*sampleFirst, "%d", n)
}
