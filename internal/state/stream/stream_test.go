package stream

import (
	"context"
	"errors"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks"
)

func ended() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func expectRead(t *testing.T, b *Buffer, from int, frames []string, end bool) {
	t.Helper()
	got, gotEnd, err := b.Read(ended(), from)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, frames)
	assert.Equal(t, gotEnd != nil, end)
}

func TestBuffer(t *testing.T) {
	t.Run("reads repeat", func(t *testing.T) {
		b := New()
		b.Append("a")
		b.Append("b")
		expectRead(t, b, 0, []string{"a", "b"}, false)
		expectRead(t, b, 0, []string{"a", "b"}, false)
		expectRead(t, b, 1, []string{"b"}, false)
	})
	t.Run("silence is no frames and no end", func(t *testing.T) {
		expectRead(t, New(), 0, nil, false)
	})
	t.Run("the first end wins and nothing follows it", func(t *testing.T) {
		b := New()
		b.Append("a")
		b.Close(comfreyworks.StreamEnd{Reason: comfreyworks.EndComplete})
		b.Close(comfreyworks.StreamEnd{Reason: comfreyworks.EndIncomplete})
		b.Append("late")
		frames, end, err := b.Read(ended(), 0)
		assert.NilError(t, err)
		assert.DeepEqual(t, frames, []string{"a"})
		assert.Equal(t, end.Reason, comfreyworks.EndComplete)
	})
	t.Run("a frame that was never written", func(t *testing.T) {
		_, _, err := New().Read(ended(), 1)
		var e *Error
		assert.Assert(t, errors.As(err, &e))
		assert.Equal(t, e.Kind, KindRange)
	})
	t.Run("a waiting reader gets the news", func(t *testing.T) {
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
