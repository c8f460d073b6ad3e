// Package stream buffers the numbered frames of one answer.
//
// A writer appends frames in order and closes the buffer once. Readers read
// from any frame number, as often as they like, so that a lost connection
// costs nothing but a new read from the same number.
//
// # Usage
//
//	buffer := stream.New()
//	buffer.Append("Hello")
//	buffer.Close(comfreyworks.StreamEnd{Reason: comfreyworks.EndComplete})
//	frames, end, err := buffer.Read(ctx, 0)
//
// Read waits for news until its context ends, and then returns no frames and
// no error: silence is an answer too.
package stream

import (
	"context"
	"sync"

	"comfreyworks"
)

// Kind classifies the errors of this package.
type Kind string

// KindRange means that a reader asked for a frame that was never written.
const KindRange Kind = "frame out of range"

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

// Buffer holds the frames of one answer. It is safe for concurrent use.
type Buffer struct {
	mu     sync.Mutex
	frames []string
	end    *comfreyworks.StreamEnd
	news   chan struct{}
}

// New returns an empty buffer.
func New() *Buffer {
	return &Buffer{news: make(chan struct{})}
}

// Append adds the next frame. Frames after the end are dropped.
func (b *Buffer) Append(frame string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end != nil {
		return
	}
	b.frames = append(b.frames, frame)
	b.wake()
}

// Close ends the stream; the first call wins.
func (b *Buffer) Close(end comfreyworks.StreamEnd) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end != nil {
		return
	}
	b.end = &end
	b.wake()
}

// Len returns the number of frames so far.
func (b *Buffer) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.frames)
}

// Read returns the frames from a number on, and the end if those are the last.
// It waits until there is news or ctx ends.
func (b *Buffer) Read(ctx context.Context, from int) ([]string, *comfreyworks.StreamEnd, error) {
	for {
		frames, end, news, err := b.look(from)
		if err != nil || len(frames) > 0 || end != nil {
			return frames, end, err
		}
		select {
		case <-news:
		case <-ctx.Done():
			return nil, nil, nil
		}
	}
}

func (b *Buffer) look(from int) ([]string, *comfreyworks.StreamEnd, <-chan struct{}, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if from < 0 || from > len(b.frames) {
		return nil, nil, nil, &Error{Op: "read", Kind: KindRange}
	}
	return b.frames[from:len(b.frames):len(b.frames)], b.end, b.news, nil
}

func (b *Buffer) wake() {
	close(b.news)
	b.news = make(chan struct{})
}
