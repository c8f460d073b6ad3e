// Package stream buffers the numbered frames of one answer.
//
// A writer appends frames in order and closes the buffer once. Readers may read
// from any frame number and as often as they like, so that after a lost
// connection a read is simply repeated from the same number.
//
// # Usage
//
//	buffer := stream.New()
//	buffer.Append("Hello")
//	buffer.Close(comfreyworks.StreamEnd{Reason: comfreyworks.EndComplete})
//	frames, end, err := buffer.Read(ctx, 0)
//
// Read waits for new frames or the end until its context ends. Then it returns
// neither frames nor an error.
package stream

import (
	"context"
	"sync"

	"comfreyworks"
)

// Kind classifies the errors of this package.
type Kind string

// KindRange means that a reader asked for frames after one that was never
// written.
const KindRange Kind = "frame out of range"

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

// Buffer holds the frames of one answer. It is safe for concurrent use.
type Buffer struct {
	mu      sync.Mutex
	frames  []string
	end     *comfreyworks.StreamEnd
	changed chan struct{}
}

// New returns an empty buffer.
func New() *Buffer {
	return &Buffer{changed: make(chan struct{})}
}

// Append adds the next frame. After Close it has no effect.
func (b *Buffer) Append(frame string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end != nil {
		return
	}
	b.frames = append(b.frames, frame)
	b.notifyReaders()
}

// Close ends the stream. Further calls have no effect.
func (b *Buffer) Close(end comfreyworks.StreamEnd) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end != nil {
		return
	}
	b.end = &end
	b.notifyReaders()
}

// Len returns the number of frames written so far.
func (b *Buffer) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.frames)
}

// Read returns the frames starting with frame number from, and the end if the
// stream has ended. If there is neither, it waits for one until ctx ends.
func (b *Buffer) Read(ctx context.Context, from int) ([]string, *comfreyworks.StreamEnd, error) {
	for {
		frames, end, changed, err := b.framesFrom(from)
		if err != nil || len(frames) > 0 || end != nil {
			return frames, end, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, nil, nil
		}
	}
}

func (b *Buffer) framesFrom(from int) ([]string, *comfreyworks.StreamEnd, <-chan struct{}, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if from < 0 || from > len(b.frames) {
		return nil, nil, nil, &Error{Op: "read", Kind: KindRange}
	}
	return b.frames[from:len(b.frames):len(b.frames)], b.end, b.changed, nil
}

func (b *Buffer) notifyReaders() {
	close(b.changed)
	b.changed = make(chan struct{})
}
