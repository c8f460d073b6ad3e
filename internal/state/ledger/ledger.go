// Package ledger derives the state of each idempotency key from the records of a
// pool's claim stream.
//
// An attempt to run a non-repeatable call first appends a claim for the call's
// key. All readers of the stream see the same records in the same order, so
// they agree: the first claim holds the key until its attempt abandons it, and
// then the next claim holds it. An abandoned claim never holds the key again,
// even if a duplicate of it follows the record that abandons it:
//
//	claim k by A, abandon A, claim k by A (duplicate), claim k by B  =>  B holds k
//
// # Usage
//
//	l := ledger.New()
//	l.Apply(record)
//	entry, ok := l.Find(key)
//	l.RemoveIssuedBefore(cutoff)
//
// A Ledger is not safe for concurrent use.
package ledger

import (
	"slices"
	"time"

	"comfreyworks"
)

// Kind is the type of a record.
type Kind string

// Kinds of records.
const (
	KindClaim   Kind = "claim"
	KindOutcome Kind = "outcome"
	KindAbandon Kind = "abandon"
)

// Key is an idempotency key of one workspace.
type Key struct {
	Workspace comfreyworks.Workspace `json:"workspace"`
	ID        string                 `json:"id"`
}

// Outcome is the recorded result of a call.
type Outcome struct {
	Run    comfreyworks.RunState      `json:"run"`
	Answer comfreyworks.ServiceAnswer `json:"answer"`
	Detail string                     `json:"detail,omitempty"`
}

// Record is one record of a claim stream.
type Record struct {
	Kind Kind `json:"kind"`
	Key  Key  `json:"key"`
	// Claim identifies the attempt. It is the same in all records of an attempt.
	Claim string `json:"claim"`
	// Issued is the time at which the key was issued.
	Issued time.Time `json:"issued"`
	// Digest is the hash of the call. It reveals that a key was reused for a
	// different call.
	Digest  string   `json:"digest,omitempty"`
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Entry is the state of a key that an attempt holds.
type Entry struct {
	// Claim identifies the attempt that holds the key.
	Claim string
	// Digest is the hash of that attempt's call.
	Digest string
	// Outcome is nil until it has been recorded.
	Outcome *Outcome
}

// claimant is an attempt that has claimed a key.
type claimant struct {
	claim  string
	digest string
}

// keyState is the state of a key, derived from its records.
type keyState struct {
	issued time.Time
	// claimants are the attempts that were not abandoned, in the order of their
	// claims. The first one holds the key.
	claimants []claimant
	// abandoned lists the claims that must not hold the key again.
	abandoned []string
	outcome   *Outcome
}

// Ledger holds the state of all keys of a claim stream.
type Ledger struct {
	keys map[Key]*keyState
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{keys: make(map[Key]*keyState)}
}

// Len returns the number of keys.
func (l *Ledger) Len() int { return len(l.keys) }

// Find returns the state of a key. It returns false if no attempt holds the key.
func (l *Ledger) Find(key Key) (Entry, bool) {
	state := l.keys[key]
	if state == nil || len(state.claimants) == 0 {
		return Entry{}, false
	}
	holder := state.claimants[0]
	return Entry{Claim: holder.claim, Digest: holder.digest, Outcome: state.outcome}, true
}

// Apply applies the next record of the stream.
func (l *Ledger) Apply(record Record) {
	state := l.keys[record.Key]
	if state == nil {
		state = &keyState{issued: record.Issued}
		l.keys[record.Key] = state
	}
	switch record.Kind {
	case KindClaim:
		state.applyClaim(record)
	case KindOutcome:
		state.applyOutcome(record)
	case KindAbandon:
		state.applyAbandon(record.Claim)
	}
}

func (s *keyState) claimIndex(claim string) int {
	return slices.IndexFunc(s.claimants, func(c claimant) bool { return c.claim == claim })
}

func (s *keyState) applyClaim(record Record) {
	if s.outcome != nil || s.claimIndex(record.Claim) >= 0 || slices.Contains(s.abandoned, record.Claim) {
		return
	}
	s.claimants = append(s.claimants, claimant{claim: record.Claim, digest: record.Digest})
}

// applyOutcome records the outcome of the attempt that holds the key; no other
// attempt can have run the call. The outcome is final, so the other claims are
// removed.
func (s *keyState) applyOutcome(record Record) {
	if s.outcome != nil || s.claimIndex(record.Claim) != 0 {
		return
	}
	s.outcome = record.Outcome
	s.claimants = s.claimants[:1:1]
	s.abandoned = nil
}

func (s *keyState) applyAbandon(claim string) {
	if s.outcome != nil || slices.Contains(s.abandoned, claim) {
		return
	}
	s.abandoned = append(s.abandoned, claim)
	if i := s.claimIndex(claim); i >= 0 {
		s.claimants = slices.Delete(s.claimants, i, i+1)
	}
}

// RemoveIssuedBefore removes every key that was issued before cutoff.
func (l *Ledger) RemoveIssuedBefore(cutoff time.Time) {
	for key, state := range l.keys {
		if state.issued.Before(cutoff) {
			delete(l.keys, key)
		}
	}
}
