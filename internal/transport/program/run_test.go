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
		"good":              {nil, nil, ExitOK},
		"failed":            {nil, errors.New("no"), ExitFailure},
		"stopped":           {nil, context.Canceled, ExitOK},
		"help":              {[]string{"--help"}, nil, ExitOK},
		"version":           {[]string{"--version"}, nil, ExitOK},
		"unknown flag":      {[]string{"--none"}, nil, ExitUsage},
		"stray argument":    {[]string{"file"}, nil, ExitUsage},
		"unknown level":     {[]string{"--log-level", "loud"}, nil, ExitUsage},
		"port out of range": {[]string{"--metrics-port", "70000"}, nil, ExitUsage},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			code := Run("test", c.args, func(context.Context, *zap.Logger, CommonFlags) error { return c.err })
			assert.Equal(t, code, c.want)
		})
	}
}

// stuckWriter takes nothing until it is released.
type stuckWriter struct {
	released chan struct{}
	mu       sync.Mutex
	written  bytes.Buffer
}

// Write implements io.Writer.
func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.released
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

// TestLinesNeverBlock writes more lines than fit while nobody reads them.
func TestLinesNeverBlock(t *testing.T) {
	stuck := &stuckWriter{released: make(chan struct{})}
	lines := newLineWriter(stuck)
	const extra = 500
	for range queuedLines + extra {
		n, err := lines.Write([]byte("line\n"))
		assert.NilError(t, err)
		assert.Equal(t, n, 5)
	}
	assert.Assert(t, lines.dropped.Load() >= extra-1, "%d", lines.dropped.Load())
	close(stuck.released)
	lines.Close()
	assert.Equal(t, int64(strings.Count(stuck.written.String(), "line\n")), queuedLines+extra-lines.dropped.Load())
}

// TestFloodIsSampled logs one message far more often than is worth reading.
func TestFloodIsSampled(t *testing.T) {
	var out bytes.Buffer
	logger, err := NewLogger("info", &out)
	assert.NilError(t, err)
	logger = sampled(logger)
	const flood = 10 * linesPerInterval
	for range flood {
		logger.Info("request")
	}
	n := strings.Count(out.String(), "\n")
	assert.Assert(t, n >= linesPerInterval && n <= 2*linesPerInterval, "%d", n)
}
