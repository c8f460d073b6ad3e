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
	// appendPause is the least time between two appends of one sidecar: the
	// log takes a few hundred a second, and all sidecars share them.
	appendPause = 15 * time.Millisecond
	// appendTimeout bounds one append.
	appendTimeout = 2 * time.Second
	// maxAppendPause bounds the pause after failed appends.
	maxAppendPause = time.Second
	// maxBatch is the most records in one append.
	maxBatch = 1024
	// maxWaiting bounds the records that wait for the log.
	maxWaiting = 1 << 14
	// drainPoll is how often a drain looks whether records are left.
	drainPoll = 10 * time.Millisecond
)

// item is one record that waits for the log.
type item struct {
	data []byte
	// tried means that an append with it was sent, so that it may be there.
	tried bool
}

// batcher appends records in batches. After an append whose answer was lost it
// appends the same records again: copies of a record change nothing.
type batcher struct {
	options Options
	mu      sync.Mutex
	waiting []*item
	wake    chan struct{}
}

func newBatcher(options Options) *batcher {
	return &batcher{options: options, wake: make(chan struct{}, 1)}
}

// add queues a record.
func (b *batcher) add(record ledger.Record) (*item, error) {
	data, err := json.Marshal(record)
	if err != nil {
		return nil, &Error{Op: "add", Kind: KindBacklog, Err: err}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) >= maxWaiting {
		return nil, &Error{Op: "add", Kind: KindBacklog}
	}
	added := &item{data: data}
	b.waiting = append(b.waiting, added)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return added, nil
}

// takeBack removes a record that was never tried. It returns false when the
// record may be on the log.
func (b *batcher) takeBack(old *item) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old.tried {
		return false
	}
	for i, waiting := range b.waiting {
		if waiting == old {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// run appends until ctx ends.
func (b *batcher) run(ctx context.Context) error {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = appendPause
	pauses.MaxInterval = maxAppendPause
	for ctx.Err() == nil {
		batch := b.next()
		if len(batch) == 0 {
			select {
			case <-b.wake:
			case <-ctx.Done():
			}
			continue
		}
		pause := appendPause
		if err := b.append(ctx, batch); err != nil {
			pause = pauses.NextBackOff()
		} else {
			pauses.Reset()
			b.remove(len(batch))
		}
		select {
		case <-b.options.Clock.After(pause):
		case <-ctx.Done():
		}
	}
	return nil
}

// next returns the oldest records and marks them as tried.
func (b *batcher) next() [][]byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.waiting), maxBatch)
	batch := make([][]byte, n)
	for i, waiting := range b.waiting[:n] {
		waiting.tried = true
		batch[i] = waiting.data
	}
	return batch
}

func (b *batcher) append(ctx context.Context, batch [][]byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := b.options.Log.Append(ctx, b.options.Stream, batch)
	return err
}

// remove drops the oldest records, which are on the log. Tried records are
// never taken back, so they are still the oldest ones.
func (b *batcher) remove(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append([]*item(nil), b.waiting[n:]...)
}

func (b *batcher) left() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting)
}

// drain waits until nothing is left, or until ctx ends.
func (b *batcher) drain(ctx context.Context) error {
	for b.left() > 0 {
		select {
		case <-b.options.Clock.After(drainPoll):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}
