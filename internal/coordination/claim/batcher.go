package claim

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"comfreyworks/internal/state/ledger"
)

const (
	// appendInterval is the minimum pause between two appends of one sidecar. The
	// log accepts a few hundred appends a second from all sidecars together.
	appendInterval = 15 * time.Millisecond
	// appendTimeout bounds one append.
	appendTimeout = 2 * time.Second
	// maxAppendBackoff is the maximum pause after failed appends.
	maxAppendBackoff = time.Second
	// maxBatchRecords is the maximum number of records in one append.
	maxBatchRecords = 1024
	// maxPending is the maximum number of queued records.
	maxPending = 1 << 14
	// drainPollInterval is how often drain checks whether the queue is empty.
	drainPollInterval = 10 * time.Millisecond
)

// pendingRecord is a queued record that is not yet known to be on the log.
type pendingRecord struct {
	data []byte
	// sent means that an append with the record was attempted, so that the record
	// may already be on the log.
	sent bool
}

// batcher appends queued records to the log in batches. After a failed append
// it appends the same records again, even if they may already be on the log:
// duplicates have no effect.
type batcher struct {
	options Options
	mu      sync.Mutex
	pending []*pendingRecord
	wake    chan struct{}
}

func newBatcher(options Options) *batcher {
	return &batcher{options: options, wake: make(chan struct{}, 1)}
}

// enqueue queues a record. It returns an error of kind KindBacklogFull if the
// queue is full or if the record cannot be encoded.
func (b *batcher) enqueue(record ledger.Record) (*pendingRecord, error) {
	data, err := json.Marshal(record)
	if err != nil {
		return nil, &Error{Op: "queue record", Kind: KindBacklogFull, Err: err}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) >= maxPending {
		return nil, &Error{Op: "queue record", Kind: KindBacklogFull}
	}
	pending := &pendingRecord{data: data}
	b.pending = append(b.pending, pending)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return pending, nil
}

// withdraw removes a queued record that was never sent. It returns false if the
// record may already be on the log.
func (b *batcher) withdraw(old *pendingRecord) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old.sent {
		return false
	}
	for i, record := range b.pending {
		if record == old {
			b.pending = append(b.pending[:i], b.pending[i+1:]...)
			return true
		}
	}
	return false
}

// run appends queued records until ctx ends.
func (b *batcher) run(ctx context.Context) error {
	retryDelays := backoff.NewExponentialBackOff()
	retryDelays.InitialInterval = appendInterval
	retryDelays.MaxInterval = maxAppendBackoff
	for ctx.Err() == nil {
		batch := b.nextBatch()
		if len(batch) == 0 {
			select {
			case <-b.wake:
			case <-ctx.Done():
			}
			continue
		}
		delay := appendInterval
		if err := b.appendBatch(ctx, batch); err != nil {
			delay = retryDelays.NextBackOff()
		} else {
			retryDelays.Reset()
			b.removeOldest(len(batch))
		}
		select {
		case <-b.options.Clock.After(delay):
		case <-ctx.Done():
		}
	}
	return nil
}

// nextBatch returns up to maxBatchRecords of the oldest queued records and marks
// them as sent.
func (b *batcher) nextBatch() [][]byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.pending), maxBatchRecords)
	batch := make([][]byte, n)
	for i, record := range b.pending[:n] {
		record.sent = true
		batch[i] = record.data
	}
	return batch
}

func (b *batcher) appendBatch(ctx context.Context, batch [][]byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := b.options.Log.Append(ctx, b.options.Stream, batch)
	return err
}

// removeOldest removes the n oldest records after they were appended. Sent
// records are never withdrawn, so the batch is still at the head of the queue.
func (b *batcher) removeOldest(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending = append([]*pendingRecord(nil), b.pending[n:]...)
}

func (b *batcher) pendingCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending)
}

// drain waits until the queue is empty. It returns an error if ctx ends first.
func (b *batcher) drain(ctx context.Context) error {
	for b.pendingCount() > 0 {
		select {
		case <-b.options.Clock.After(drainPollInterval):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}
