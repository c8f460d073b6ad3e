package fleet

import (
	"sync"
	"time"
)

// Span is a period of time. It has not ended yet if To is zero.
type Span struct{ From, To time.Time }

// Overlaps reports whether some of the span lies between two times.
func (s Span) Overlaps(from, to time.Time) bool {
	return !s.From.After(to) && (s.To.IsZero() || !s.To.Before(from))
}

// Disturbances records when faults affected a process. It is safe for concurrent use.
type Disturbances struct {
	mu    sync.Mutex
	spans []Span
}

// Disturb records that a fault begins and returns a function that records its end.
func (d *Disturbances) Disturb() (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.spans = append(d.spans, Span{From: time.Now()})
	i := len(d.spans) - 1
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.spans[i].To = time.Now()
	}
}

// Disturbed returns when faults affected the process. The spans may overlap.
func (d *Disturbances) Disturbed() []Span {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Span(nil), d.spans...)
}
