// Package releasestore provides an in-memory comfreyworks.ReleaseStore with faults.
//
// # Usage
//
//	store := releasestore.New()
//	store.SetFault(releasestore.Delayed) // appends take effect in Deliver
//	saved := store.Copy()
//	store.Restore(saved) // records appended since are lost
package releasestore

import (
	"context"
	"errors"
	"sync"

	"comfreyworks"
)

// Fault is what the store does with calls.
type Fault string

// Faults of a store.
const (
	None Fault = ""
	// Down makes every call fail.
	Down Fault = "down"
	// Delayed makes appends fail, and take effect later if their offset is still right.
	Delayed Fault = "delayed"
	// LostAnswers makes appends take effect and fail.
	LostAnswers Fault = "lost-answers"
)

var errNoAnswer = errors.New("no answer")

// eraOffsets is the number of offsets of an era; a restored store goes on in the next.
const eraOffsets = 1 << 32

// Store keeps the newest record in memory. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	fault   Fault
	content Copy
	era     comfreyworks.Offset
	delayed []func()
	reads   int
	appends int
	// onRead is called in each read.
	onRead func()
}

// Copy is the content of a store at one moment.
type Copy struct {
	record *comfreyworks.ReleaseRecord
	// era is the one in which the record was appended.
	era, end comfreyworks.Offset
}

// New returns an empty store.
func New() *Store { return &Store{} }

// SetFault replaces the fault.
func (s *Store) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Copy returns the content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.content
}

// Restore replaces the content by a copy.
func (s *Store) Restore(content Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.content = content
	s.era++
}

// Drop appends a record that cannot be decoded.
func (s *Store) Drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.content = Copy{era: s.era, end: s.content.end + 1}
}

// SlowReads calls a function during each read, which may advance a clock.
func (s *Store) SlowReads(during func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onRead = during
}

// Deliver lets all delayed appends arrive.
func (s *Store) Deliver() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, deliver := range s.delayed {
		deliver()
	}
	s.delayed = nil
}

// Calls returns the numbers of calls so far.
func (s *Store) Calls() (reads, appends int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.appends
}

// Releases implements comfreyworks.ReleaseStore.
func (s *Store) Releases(context.Context) (*comfreyworks.ReleaseRecord, comfreyworks.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.onRead != nil {
		s.onRead()
	}
	if s.fault == Down {
		return nil, 0, errNoAnswer
	}
	next := s.era*eraOffsets + s.content.end
	if s.content.era != s.era {
		return nil, next, nil
	}
	return s.content.record, next, nil
}

// RecordReleases implements comfreyworks.ReleaseStore.
func (s *Store) RecordReleases(_ context.Context, record comfreyworks.ReleaseRecord, at comfreyworks.Offset) (comfreyworks.Offset, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appends++
	written := false
	appendRecord := func() {
		if written = s.era*eraOffsets+s.content.end == at; written {
			s.content = Copy{record: &record, era: s.era, end: s.content.end + 1}
		}
	}
	switch s.fault {
	case Down:
		return 0, false, errNoAnswer
	case Delayed:
		s.delayed = append(s.delayed, appendRecord)
		return 0, false, errNoAnswer
	}
	appendRecord()
	if s.fault == LostAnswers {
		return 0, false, errNoAnswer
	}
	return at + 1, written, nil
}
