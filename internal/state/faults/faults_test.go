package faults

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks/internal/state/meter"
)

func newRecorder() (*Recorder, *clockwork.FakeClock, *observer.ObservedLogs) {
	core, logs := observer.New(zap.InfoLevel)
	clock := clockwork.NewFakeClock()
	return New(Options{Clock: clock, Logger: zap.New(core), Meter: meter.New()}), clock, logs
}

// TestSetAside guards against a log line for each time that a bad record is read.
func TestSetAside(t *testing.T) {
	r, _, logs := newRecorder()
	for range 3 {
		r.SetAside("upstreams", "a", []byte("x"), errors.New("bad"))
		r.SetAside("upstreams", string(make([]byte, 1<<20)), nil, errors.New("bad"))
	}
	assert.Equal(t, r.options.Meter.Counter("comfrey_set_aside_total", meter.Labels{Class: "upstreams"}), 2)
	assert.Equal(t, logs.Len(), 2)
	assert.Equal(t, len(logs.All()[1].ContextMap()["key"].(string)), maxLoggedBytes)
}

// TestKeep guards against a panic that ends a task for good, or that nobody learns of.
func TestKeep(t *testing.T) {
	r, clock, logs := newRecorder()
	ctx, calls := context.Background(), 0
	var group errgroup.Group
	group.Go(func() error {
		r.Keep(ctx, "task", func() {
			if calls++; calls < 4 {
				panic("broken")
			}
		})
		return nil
	})
	for range 3 {
		assert.NilError(t, clock.BlockUntilContext(ctx, 1))
		clock.Advance(restartDelay)
	}
	assert.NilError(t, group.Wait())
	assert.Equal(t, calls, 4)
	assert.Equal(t, logs.Len(), 1)
	assert.Equal(t, r.options.Meter.Counter("comfrey_panics_total", meter.Labels{Class: "task"}), 3)
}

// TestAbortedHandler guards against answers that look complete because the abort of
// their handler was recovered.
func TestAbortedHandler(t *testing.T) {
	r, _, _ := newRecorder()
	defer func() { assert.Equal(t, recover(), http.ErrAbortHandler) }()
	r.Run("request", func() { panic(http.ErrAbortHandler) })
}

// TestTry guards against a record that panics each time that it is read.
func TestTry(t *testing.T) {
	r, _, _ := newRecorder()
	known := errors.New("known")
	assert.ErrorIs(t, r.Try("decode", func() error { return known }), known)
	assert.NilError(t, r.Try("decode", func() error { return nil }))
	assert.ErrorIs(t, r.Try("decode", func() error { panic("broken") }), errPanic)
}
