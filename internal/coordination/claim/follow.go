package claim

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/state/ledger"
)

const (
	// readLimit is the most records that one read asks for.
	readLimit = 4096
	// readWait is how long the log may hold a read back for news.
	readWait = time.Second
	// readTimeout bounds one read.
	readTimeout = 3 * time.Second
	// readPause is the pause after a failed read.
	readPause = 100 * time.Millisecond
)

// follow folds the stream. The executor is ready once it has read everything
// that was there: a claim for a key can only be judged by who knows all the
// claims before it.
func (e *Executor) follow(ctx context.Context) error {
	next := comfreyworks.Offset(0)
	for ctx.Err() == nil {
		records, err := e.read(ctx, next)
		if err != nil {
			e.pause(ctx)
			continue
		}
		next = e.fold(records, next)
	}
	return nil
}

func (e *Executor) read(ctx context.Context, next comfreyworks.Offset) ([]comfreyworks.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	wait := readWait
	if !e.Ready() {
		wait = 0
	}
	return e.options.Log.Read(ctx, e.options.Stream, next, readLimit, wait)
}

func (e *Executor) pause(ctx context.Context) {
	select {
	case <-e.options.Clock.After(readPause):
	case <-ctx.Done():
	}
}

// Ready reports whether everything that was on the stream has been read.
func (e *Executor) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ready
}

// fold applies records and wakes everyone who waits. It returns the offset to
// read from next.
func (e *Executor) fold(records []comfreyworks.Record, next comfreyworks.Offset) comfreyworks.Offset {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, stored := range records {
		next = stored.Offset + 1
		var record ledger.Record
		if err := json.Unmarshal(stored.Data, &record); err != nil {
			e.options.Logger.Warn("record ignored", zap.Uint64("offset", uint64(stored.Offset)), zap.Error(err))
			continue
		}
		e.ledger.Apply(record)
	}
	if len(records) == 0 {
		if !e.ready {
			e.options.Logger.Info("claims read", zap.Int("keys", e.ledger.Len()))
		}
		e.ready = true
	}
	close(e.news)
	e.news = make(chan struct{})
	return next
}
