// Package logservice provides test doubles of the platform's services: an
// append-only log, an instance list that lags behind and a weights store that
// limits concurrent loads.
//
// # Usage
//
//	log := logservice.NewLog(logservice.LogOptions{Clock: clock, AppendsPerSecond: 300})
//	list := logservice.NewList(clock, time.Second)
//	server := http.Server{Handler: logservice.Handler(log, list)}
//	log.SetOutage(true)
//	list.Set(instances)
//
// All types are safe for concurrent use. During an outage every call of a Log
// returns ErrOutage. An append whose answer is lost takes effect and then returns
// ErrLostAnswer.
package logservice

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"comfreyworks"
)

// Errors of a Log.
var (
	// ErrOutage means that the call had no effect because of a simulated outage.
	ErrOutage = errors.New("log: service unavailable")
	// ErrLostAnswer means that the append took effect but its answer was lost.
	ErrLostAnswer = errors.New("log: answer to the append lost")
	// ErrRateLimited means that the append had no effect because it exceeded
	// LogOptions.AppendsPerSecond.
	ErrRateLimited = errors.New("log: append rate limit exceeded")
)

// LogOptions configures a Log.
type LogOptions struct {
	Clock comfreyworks.Clock
	// AppendsPerSecond is the maximum rate of appends, regardless of their number
	// of records; zero means no limit.
	AppendsPerSecond int
	// Retention is how long records are kept; zero means without limit.
	Retention time.Duration
}

type storedRecord struct {
	record     comfreyworks.Record
	appendedAt time.Time
}

type logStream struct {
	nextOffset comfreyworks.Offset
	records    []storedRecord
	// appended is closed and replaced at each append.
	appended chan struct{}
}

// Log is an in-memory log with injectable faults.
type Log struct {
	options LogOptions
	limiter *rate.Limiter
	mu      sync.Mutex
	streams map[string]*logStream
	outage  bool
	// delay is the time by which every call is delayed.
	delay         time.Duration
	answersToLose int
	// appends counts the appends that took effect.
	appends int
}

var _ comfreyworks.Log = (*Log)(nil)

// NewLog returns an empty log.
func NewLog(options LogOptions) *Log {
	limit := rate.Inf
	if options.AppendsPerSecond > 0 {
		limit = rate.Limit(options.AppendsPerSecond)
	}
	return &Log{
		options: options,
		limiter: rate.NewLimiter(limit, max(options.AppendsPerSecond, 1)),
		streams: make(map[string]*logStream),
	}
}

// SetOutage begins or ends an outage, during which every call fails with
// ErrOutage.
func (l *Log) SetOutage(outage bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = outage
}

// SetDelay delays every call by the given time.
func (l *Log) SetDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

// LoseAnswers makes the next n appends take effect but return ErrLostAnswer.
func (l *Log) LoseAnswers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answersToLose = n
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Append implements comfreyworks.Log.
func (l *Log) Append(ctx context.Context, stream string, data [][]byte) (comfreyworks.Offset, error) {
	if err := l.applyFaults(ctx); err != nil {
		return 0, err
	}
	now := l.options.Clock.Now()
	if !l.limiter.AllowN(now, 1) {
		return 0, ErrRateLimited
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	first := s.nextOffset
	for _, d := range data {
		s.records = append(s.records, storedRecord{record: comfreyworks.Record{Offset: s.nextOffset, Data: d}, appendedAt: now})
		s.nextOffset++
	}
	l.appends++
	close(s.appended)
	s.appended = make(chan struct{})
	if l.answersToLose > 0 {
		l.answersToLose--
		return 0, ErrLostAnswer
	}
	return first, nil
}

// Read implements comfreyworks.Log.
func (l *Log) Read(ctx context.Context, stream string, from comfreyworks.Offset, limit int, wait time.Duration) ([]comfreyworks.Record, error) {
	if err := l.applyFaults(ctx); err != nil {
		return nil, err
	}
	timeout := l.options.Clock.After(wait)
	for {
		records, appended := l.recordsFrom(stream, from, limit)
		if len(records) > 0 || wait == 0 {
			return records, nil
		}
		select {
		case <-appended:
		case <-timeout:
			return nil, nil
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// applyFaults delays a call by the configured delay and fails it during an
// outage.
func (l *Log) applyFaults(ctx context.Context) error {
	l.mu.Lock()
	outage, delay := l.outage, l.delay
	l.mu.Unlock()
	if delay > 0 {
		select {
		case <-l.options.Clock.After(delay):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	if outage {
		return ErrOutage
	}
	return nil
}

// recordsFrom returns up to limit records of a stream, starting at offset from,
// and a channel that is closed at the next append to the stream.
func (l *Log) recordsFrom(name string, from comfreyworks.Offset, limit int) ([]comfreyworks.Record, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.dropExpired(s)
	var records []comfreyworks.Record
	if len(s.records) > 0 && from < s.nextOffset {
		first := s.records[0].record.Offset
		start := int(max(from, first) - first)
		for _, stored := range s.records[start:min(len(s.records), start+limit)] {
			records = append(records, stored.record)
		}
	}
	return records, s.appended
}

// dropExpired drops the records that are older than the retention time.
func (l *Log) dropExpired(s *logStream) {
	if l.options.Retention == 0 {
		return
	}
	cutoff := l.options.Clock.Now().Add(-l.options.Retention)
	for len(s.records) > 0 && s.records[0].appendedAt.Before(cutoff) {
		s.records = s.records[1:]
	}
}

// stream returns a stream and creates it if it does not exist.
func (l *Log) stream(name string) *logStream {
	s, ok := l.streams[name]
	if !ok {
		s = &logStream{appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}
