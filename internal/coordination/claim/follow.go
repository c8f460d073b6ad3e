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
	// readLimit is the maximum number of records per read.
	readLimit = 4096
	// readWait is how long a read waits for new records.
	readWait = time.Second
	// readTimeout bounds one read.
	readTimeout = 3 * time.Second
	// readRetryDelay is the delay after a failed read.
	readRetryDelay = 100 * time.Millisecond
)

// followLog reads the stream and applies its records to the ledger until ctx
// ends. The executor is ready once a read has reached the end of the stream:
// whether a claim is the first for its key is known only after reading all
// earlier claims.
func (e *Executor) followLog(ctx context.Context) error {
	next := comfreyworks.Offset(0)
	for ctx.Err() == nil {
		records, err := e.read(ctx, next)
		if err != nil {
			e.waitBeforeRetry(ctx)
			continue
		}
		next = e.applyRecords(records, next)
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

func (e *Executor) waitBeforeRetry(ctx context.Context) {
	select {
	case <-e.options.Clock.After(readRetryDelay):
	case <-ctx.Done():
	}
}

// Ready reports whether the stream has been read to its end once.
func (e *Executor) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ready
}

// applyRecords applies records to the ledger and wakes all waiting calls. It
// returns the offset of the next read.
func (e *Executor) applyRecords(records []comfreyworks.Record, next comfreyworks.Offset) comfreyworks.Offset {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, stored := range records {
		next = stored.Offset + 1
		var record ledger.Record
		if err := json.Unmarshal(stored.Data, &record); err != nil {
			e.options.Logger.Warn("claim record ignored because it could not be decoded", zap.Uint64("offset", uint64(stored.Offset)), zap.Error(err))
			continue
		}
		e.ledger.Apply(record)
	}
	if len(records) == 0 {
		if !e.ready {
			e.options.Logger.Info("claim stream read to its end, executor ready", zap.Int("keys", e.ledger.Len()))
		}
		e.ready = true
	}
	close(e.updated)
	e.updated = make(chan struct{})
	return next
}
