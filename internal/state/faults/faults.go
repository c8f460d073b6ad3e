// Package faults records faults that must not end a process or stop its work: input
// from outside that cannot be decoded, and panics.
//
// # Usage
//
//	r := faults.New(faults.Options{Clock: clock, Logger: logger, Meter: meter})
//	r.SetAside("upstreams", key, value, err)
//	ok := r.Run("sync", func() { ... })
//	r.Keep(ctx, "watch", func() { ... })
//
// A nil Recorder records nothing and lets panics pass. A Recorder is safe for
// concurrent use.
package faults

import (
	"context"
	"errors"
	"hash/maphash"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/state/meter"
)

const (
	// maxKnown is how many records that were set aside are remembered. At the next one
	// they are forgotten.
	maxKnown = 1024
	// maxLoggedBytes is how much of a key or an error is logged.
	maxLoggedBytes = 200
	// restartDelay is the pause after a panic of a task that is kept running.
	restartDelay = time.Second
	// stackInterval is the minimum interval between two stacks of the same place in
	// the log.
	stackInterval = time.Minute
)

// errPanic means that something could not be decoded because of a panic.
var errPanic = errors.New("panic while decoding")

// Options configures a Recorder.
type Options struct {
	Clock  comfreyworks.Clock
	Logger *zap.Logger
	Meter  *meter.Meter
}

// Recorder logs and counts faults.
type Recorder struct {
	options Options
	seed    maphash.Seed

	mu sync.Mutex
	// known holds the hashes of the records that were set aside.
	known map[uint64]bool
	// stackLogged holds when the stack of a place was last logged.
	stackLogged map[string]time.Time
}

// New returns a Recorder that knows no faults.
func New(options Options) *Recorder {
	return &Recorder{options: options, seed: maphash.MakeSeed(), known: make(map[uint64]bool), stackLogged: make(map[string]time.Time)}
}

// SetAside records that a record of a source cannot be decoded. A record that is read
// again counts once.
func (r *Recorder) SetAside(source, key string, record []byte, err error) {
	if r == nil {
		return
	}
	var hash maphash.Hash
	hash.SetSeed(r.seed)
	for _, part := range [][]byte{[]byte(source), []byte(key), record} {
		_, _ = hash.Write(part)
		_ = hash.WriteByte(0)
	}
	if !r.isNew(hash.Sum64()) {
		return
	}
	r.options.Meter.Add("comfrey_set_aside_total", meter.Labels{Class: comfreyworks.Class(source)}, 1)
	r.options.Logger.Warn("record set aside because it cannot be decoded", zap.String("source", source),
		zap.String("key", cut(key)), zap.Int("bytes", len(record)), zap.String("reason", cut(err.Error())))
}

// isNew remembers the hash of a record. It returns false if it was known.
func (r *Recorder) isNew(hash uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known[hash] {
		return false
	}
	if len(r.known) == maxKnown {
		clear(r.known)
	}
	r.known[hash] = true
	return true
}

// Run calls f. It returns false if f panicked, except with http.ErrAbortHandler, which
// it passes on.
func (r *Recorder) Run(place string, f func()) (ok bool) {
	if r != nil {
		defer func() {
			if cause := recover(); cause != nil {
				r.recordPanic(place, cause)
			}
		}()
	}
	f()
	return true
}

func (r *Recorder) recordPanic(place string, cause any) {
	if cause == http.ErrAbortHandler {
		panic(cause)
	}
	r.options.Meter.Add("comfrey_panics_total", meter.Labels{Class: comfreyworks.Class(place)}, 1)
	if !r.stackDue(place) {
		return
	}
	r.options.Logger.Error("panic", zap.String("place", place), zap.Any("cause", cause), zap.Stack("stack"))
}

// stackDue reports whether the stack of a place is to be logged now.
func (r *Recorder) stackDue(place string) bool {
	now := r.options.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if last, ok := r.stackLogged[place]; ok && now.Sub(last) < stackInterval {
		return false
	}
	r.stackLogged[place] = now
	return true
}

// Try is Run for a function that decodes something; a panic becomes an error.
func (r *Recorder) Try(place string, f func() error) error {
	err := errPanic
	r.Run(place, func() { err = f() })
	return err
}

// Keep calls f until it returns without a panic or ctx ends.
func (r *Recorder) Keep(ctx context.Context, place string, f func()) {
	for !r.Run(place, f) && comfreyworks.Sleep(ctx, r.options.Clock, restartDelay) {
		continue
	}
}

func cut(text string) string { return text[:min(len(text), maxLoggedBytes)] }
