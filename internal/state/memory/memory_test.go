package memory

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks/internal/state/meter"
)

const limit = 1 << 20

// owner is the owner of a hold that gives it back when it has to.
type owner struct {
	*Hold
	evictions int
}

func newBudget() (*Budget, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return New(Options{Limit: limit, Clock: clock, Meter: meter.New()}), clock
}

func newOwner(b *Budget, kind Kind) *owner {
	o := new(owner)
	o.Hold = b.Hold(kind, func() {
		o.evictions++
		o.Release()
	})
	return o
}

// grow lets an owner grow without waiting for others that don't give way at once.
func (o *owner) grow(t *testing.T, n int64, fits bool) {
	t.Helper()
	err := o.Grow(t.Context(), n)
	assert.Equal(t, err == nil, fits, "%v", err)
	assert.Assert(t, err == nil || errors.Is(err, ErrFull), "%v", err)
}

func assertHeld(t *testing.T, b *Budget, want int64) {
	t.Helper()
	assert.Equal(t, b.total, want)
}

// TestOrder guards against large holds that all fail together, and against small ones that
// find no room beside them.
func TestOrder(t *testing.T) {
	const half = limit / 2
	t.Run("the oldest completes and younger ones give way", func(t *testing.T) {
		b, _ := newBudget()
		old, young := newOwner(b, Body), newOwner(b, Body)
		old.grow(t, half/2, true)
		young.grow(t, half, true)
		old.grow(t, half/2, true)
		assert.Equal(t, young.evictions, 1)
		young.grow(t, 1, false)
		newOwner(b, Body).grow(t, half, false)
		assert.Equal(t, old.evictions, 0)
		old.Release()
		old.Release()
		assertHeld(t, b, 0)
	})
	t.Run("one that has stopped gives way to a younger one", func(t *testing.T) {
		b, clock := newBudget()
		stalled := newOwner(b, Body)
		stalled.grow(t, half, true)
		clock.Advance(stallTime)
		newOwner(b, Body).grow(t, half, true)
		assert.Equal(t, stalled.evictions, 1)
		assertHeld(t, b, half)
	})
	t.Run("complete ones stay", func(t *testing.T) {
		b, clock := newBudget()
		complete := newOwner(b, Body)
		complete.grow(t, half, true)
		complete.Complete()
		clock.Advance(stallTime)
		newOwner(b, Body).grow(t, half, false)
		assert.Equal(t, complete.evictions, 0)
	})
	t.Run("small ones find room beside large ones", func(t *testing.T) {
		b, _ := newBudget()
		large := newOwner(b, Body)
		large.grow(t, b.Largest(), true)
		for range limit / 4 / smallHold {
			newOwner(b, Header).grow(t, smallHold, true)
		}
		assertHeld(t, b, limit)
		newOwner(b, Header).grow(t, 1, false)
	})
	t.Run("the largest answer gives way, and no caller does", func(t *testing.T) {
		b, clock := newBudget()
		body, large, small := newOwner(b, Body), newOwner(b, Answer), newOwner(b, Answer)
		body.grow(t, half, true)
		clock.Advance(stallTime)
		small.grow(t, limit/16, true)
		large.grow(t, limit/8, true)
		small.grow(t, limit/8, true)
		assert.Equal(t, large.evictions+body.evictions, 1)
		assert.Equal(t, large.evictions, 1)
		small.grow(t, limit/8, false)
	})
	t.Run("no limit", func(t *testing.T) {
		var b *Budget
		h := b.Hold(Body, nil)
		assert.NilError(t, h.Grow(t.Context(), limit*limit))
		h.Complete()
		h.Release()
		assert.Assert(t, h.TryGrow(1) && !h.Evicted())
	})
}

// TestWait guards against a hold that fails although others are giving way, and against one
// that waits for them without end.
func TestWait(t *testing.T) {
	for name, test := range map[string]struct {
		release bool
		want    error
	}{"until there is room": {true, nil}, "for a limited time": {false, ErrFull}} {
		t.Run(name, func(t *testing.T) {
			b, clock := newBudget()
			told := make(chan struct{})
			old := b.Hold(Body, nil)
			slow := b.Hold(Body, func() { close(told) })
			assert.NilError(t, slow.Grow(t.Context(), limit/2))
			var group errgroup.Group
			group.Go(func() error { return old.Grow(context.Background(), limit/2) })
			<-told
			if test.release {
				slow.Release()
			} else {
				assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
				clock.Advance(evictionWait)
			}
			assert.Equal(t, group.Wait(), test.want)
		})
	}
}

// TestReadAll guards against buffers that are charged, or made, for bytes that were only
// announced, and against bytes that are lost.
func TestReadAll(t *testing.T) {
	text := bytes.Repeat([]byte("0123456789"), 10_000)
	for name, expected := range map[string]int64{"known": int64(len(text)), "limit": limit / 2, "too short": 10, "none": -1} {
		t.Run(name, func(t *testing.T) {
			b, _ := newBudget()
			h := b.Hold(Body, nil)
			read, err := h.ReadAll(t.Context(), bytes.NewReader(text), expected)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(read, text))
			assert.Assert(t, h.bytes == int64(cap(read)) || h.bytes >= int64(len(text)), "%d bytes", h.bytes)
			assert.Assert(t, h.bytes <= 2*int64(len(text)))
		})
	}
	t.Run("announced", func(t *testing.T) {
		b, _ := newBudget()
		h := b.Hold(Body, nil)
		_, err := h.ReadAll(t.Context(), io.MultiReader(bytes.NewReader(text[:100]), &failing{}), limit/2)
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		assert.Equal(t, h.bytes, int64(minBuffer))
	})
	t.Run("no room", func(t *testing.T) {
		b, _ := newBudget()
		_, err := b.Hold(Body, nil).ReadAll(t.Context(), bytes.NewReader(make([]byte, limit)), limit)
		assert.ErrorIs(t, err, ErrFull)
	})
}

type failing struct{}

func (*failing) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
