// Package logservice is a small stand-in for what the platform gives: an
// append-only log, a lagging list of instances and a rate-limited weight store.
//
// # Usage
//
//	log := logservice.NewLog(logservice.LogOptions{Clock: clock, AppendsPerSecond: 300})
//	list := logservice.NewList(clock, time.Second)
//	server := http.Server{Handler: logservice.Handler(log, list)}
//	log.SetOutage(true)
//	list.Set(instances)
//
// All parts are safe for concurrent use. A Log in an outage answers every call
// with ErrOutage; a lost answer is ErrLostAnswer, after the append took effect.
package logservice

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"comfreyworks"
)

// Errors of the stand-in.
var (
	ErrOutage     = errors.New("log: outage")
	ErrLostAnswer = errors.New("log: answer lost")
	ErrTooMany    = errors.New("log: too many appends")
)

// LogOptions configures a Log.
type LogOptions struct {
	Clock comfreyworks.Clock
	// AppendsPerSecond bounds appends, whatever their number of records; zero
	// means no bound.
	AppendsPerSecond int
	// Retention is how long records are kept; zero means for ever.
	Retention time.Duration
}

type storedRecord struct {
	record comfreyworks.Record
	at     time.Time
}

type logStream struct {
	next    comfreyworks.Offset
	records []storedRecord
	news    chan struct{}
}

// Log is the append-only log.
type Log struct {
	options LogOptions
	limiter *rate.Limiter
	mu      sync.Mutex
	streams map[string]*logStream
	outage  bool
	slow    time.Duration
	lose    int
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

// SetOutage makes every call fail, or ends that.
func (l *Log) SetOutage(outage bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = outage
}

// SetSlow delays every call.
func (l *Log) SetSlow(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slow = delay
}

// LoseAnswers loses the answers of the next n appends after they took effect.
func (l *Log) LoseAnswers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lose = n
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Append implements comfreyworks.Log.
func (l *Log) Append(ctx context.Context, stream string, data [][]byte) (comfreyworks.Offset, error) {
	if err := l.enter(ctx); err != nil {
		return 0, err
	}
	now := l.options.Clock.Now()
	if !l.limiter.AllowN(now, 1) {
		return 0, ErrTooMany
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	first := s.next
	for _, d := range data {
		s.records = append(s.records, storedRecord{record: comfreyworks.Record{Offset: s.next, Data: d}, at: now})
		s.next++
	}
	l.appends++
	close(s.news)
	s.news = make(chan struct{})
	if l.lose > 0 {
		l.lose--
		return 0, ErrLostAnswer
	}
	return first, nil
}

// Read implements comfreyworks.Log.
func (l *Log) Read(ctx context.Context, stream string, from comfreyworks.Offset, limit int, wait time.Duration) ([]comfreyworks.Record, error) {
	if err := l.enter(ctx); err != nil {
		return nil, err
	}
	timeout := l.options.Clock.After(wait)
	for {
		records, news := l.look(stream, from, limit)
		if len(records) > 0 || wait == 0 {
			return records, nil
		}
		select {
		case <-news:
		case <-timeout:
			return nil, nil
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// enter applies slowness and outages.
func (l *Log) enter(ctx context.Context) error {
	l.mu.Lock()
	outage, slow := l.outage, l.slow
	l.mu.Unlock()
	if slow > 0 {
		select {
		case <-l.options.Clock.After(slow):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	if outage {
		return ErrOutage
	}
	return nil
}

func (l *Log) look(name string, from comfreyworks.Offset, limit int) ([]comfreyworks.Record, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.expire(s)
	var records []comfreyworks.Record
	if len(s.records) > 0 && from < s.next {
		first := s.records[0].record.Offset
		start := int(max(from, first) - first)
		for _, stored := range s.records[start:min(len(s.records), start+limit)] {
			records = append(records, stored.record)
		}
	}
	return records, s.news
}

func (l *Log) expire(s *logStream) {
	if l.options.Retention == 0 {
		return
	}
	limit := l.options.Clock.Now().Add(-l.options.Retention)
	for len(s.records) > 0 && s.records[0].at.Before(limit) {
		s.records = s.records[1:]
	}
}

func (l *Log) stream(name string) *logStream {
	s, ok := l.streams[name]
	if !ok {
		s = &logStream{news: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}
