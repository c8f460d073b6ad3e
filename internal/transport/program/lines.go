package program

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sync/errgroup"
)

const (
	// queuedLines is how many log lines may wait for a slow reader.
	queuedLines = 2048
	// sampleInterval and linesPerInterval bound the lines with one message;
	// above that every furtherLines-th is written.
	sampleInterval   = time.Second
	linesPerInterval = 300
	furtherLines     = 20
)

// sampled bounds how many lines with the same message are written.
func sampled(logger *zap.Logger) *zap.Logger {
	return logger.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, sampleInterval, linesPerInterval, furtherLines)
	}))
}

// lineWriter hands lines to a slow writer without ever waiting for it. Lines
// that do not fit the queue are dropped and counted.
type lineWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	group   errgroup.Group
	closing sync.Once
}

func newLineWriter(w io.Writer) *lineWriter {
	l := &lineWriter{lines: make(chan []byte, queuedLines)}
	l.group.Go(func() error {
		for line := range l.lines {
			// There is nowhere to report that the log cannot be written.
			_, _ = w.Write(line)
		}
		return nil
	})
	return l
}

// Write implements io.Writer.
func (l *lineWriter) Write(p []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), p...):
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

// Close writes what is queued. Nothing may be written afterwards.
func (l *lineWriter) Close() {
	l.closing.Do(func() { close(l.lines) })
	_ = l.group.Wait()
}
