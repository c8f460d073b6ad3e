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
	// maxQueuedLines is how many log lines are queued for a slow writer.
	maxQueuedLines = 2048
	// Of the lines with the same level and message within a sampleInterval, the
	// first sampleFirst are written, then only every sampleThereafter-th.
	sampleInterval   = time.Second
	sampleFirst      = 300
	sampleThereafter = 20
)

// withSampling returns a logger that limits how many lines with the same message
// are written.
func withSampling(logger *zap.Logger) *zap.Logger {
	return logger.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, sampleInterval, sampleFirst, sampleThereafter)
	}))
}

// asyncLineWriter queues lines for a slow writer and never blocks its caller.
// Lines that do not fit into the queue are dropped and counted.
type asyncLineWriter struct {
	lines     chan []byte
	dropped   atomic.Int64
	group     errgroup.Group
	closeOnce sync.Once
}

func newAsyncLineWriter(w io.Writer) *asyncLineWriter {
	l := &asyncLineWriter{lines: make(chan []byte, maxQueuedLines)}
	l.group.Go(func() error {
		for line := range l.lines {
			// There is nowhere left to report an error of writing the log.
			_, _ = w.Write(line)
		}
		return nil
	})
	return l
}

// Write implements io.Writer.
func (l *asyncLineWriter) Write(p []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), p...):
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

// Close writes the queued lines and returns. Write must not be called
// afterwards.
func (l *asyncLineWriter) Close() {
	l.closeOnce.Do(func() { close(l.lines) })
	_ = l.group.Wait()
}
