package stream

import (
	"context"
	"errors"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks"
)

func cancelledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func expectRead(t *testing.T, b *Buffer, from int, frames []string, end bool) {
	t.Helper()
	got, gotEnd, err := b.Read(cancelledContext(), from)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, frames)
	assert.Equal(t, gotEnd != nil, end)
}

func TestBuffer(t *testing.T) {
	t.Run("reads can be repeated", func(t *testing.T) {
		b := New()
		b.Append("a")
		b.Append("b")
		expectRead(t, b, 0, []string{"a", "b"}, false)
		expectRead(t, b, 0, []string{"a", "b"}, false)
		expectRead(t, b, 1, []string{"b"}, false)
	})
	t.Run("an empty buffer returns neither frames nor an end", func(t *testing.T) {
		expectRead(t, New(), 0, nil, false)
	})
	t.Run("only the first Close counts and later frames are dropped", func(t *testing.T) {
		b := New()
		b.Append("a")
		b.Close(comfreyworks.StreamEnd{Reason: comfreyworks.EndComplete})
		b.Close(comfreyworks.StreamEnd{Reason: comfreyworks.EndIncomplete})
		b.Append("late")
		frames, end, err := b.Read(cancelledContext(), 0)
		assert.NilError(t, err)
		assert.DeepEqual(t, frames, []string{"a"})
		assert.Equal(t, end.Reason, comfreyworks.EndComplete)
	})
	t.Run("a read beyond the last frame fails", func(t *testing.T) {
		_, _, err := New().Read(cancelledContext(), 1)
		var e *Error
		assert.Assert(t, errors.As(err, &e))
		assert.Equal(t, e.Kind, KindRange)
	})
	t.Run("a waiting reader receives a new frame", func(t *testing.T) {
		b := New()
		var group errgroup.Group
		group.Go(func() error {
			frames, _, err := b.Read(context.Background(), 0)
			assert.DeepEqual(t, frames, []string{"a"})
			return err
		})
		b.Append("a")
		assert.NilError(t, group.Wait())
	})
}
