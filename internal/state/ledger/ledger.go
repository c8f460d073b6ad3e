// Package ledger folds the records of a pool's claims into what is known of
// each idempotency key.
//
// Whoever wants to run a call that may not be repeated appends a claim first.
// Everyone reads the records in the same order and comes to the same result:
// the first claim for a key holds it until its holder abandons it; then the
// next one does. An abandoned claim never counts again, also when a late copy
// of it turns up behind the record that abandons it:
//
//	claim k by A, abandon A, claim k by A (late copy), claim k by B  =>  B holds k
//
// # Usage
//
//	l := ledger.New()
//	l.Apply(record)
//	entry, ok := l.Find(key)
//	l.Forget(before)
//
// A Ledger is not safe for concurrent use. Nothing in it fails.
package ledger

import (
	"slices"
	"time"

	"comfreyworks"
)

// Kind tells what a record says.
type Kind string

// Kinds of records.
const (
	KindClaim   Kind = "claim"
	KindOutcome Kind = "outcome"
	KindAbandon Kind = "abandon"
)

// Key identifies one call of one workspace.
type Key struct {
	Workspace comfreyworks.Workspace `json:"workspace"`
	ID        string                 `json:"id"`
}

// Outcome is how a call ended.
type Outcome struct {
	Run    comfreyworks.RunState      `json:"run"`
	Answer comfreyworks.ServiceAnswer `json:"answer"`
	Detail string                     `json:"detail,omitempty"`
}

// Record is one record of a claims stream.
type Record struct {
	Kind Kind `json:"kind"`
	Key  Key  `json:"key"`
	// Claim identifies one attempt; claim, outcome and abandon of an attempt
	// carry the same one.
	Claim string `json:"claim"`
	// Issued is the time that the key carries.
	Issued time.Time `json:"issued"`
	// Digest is the hash of the call, to tell a key that is used twice.
	Digest  string   `json:"digest,omitempty"`
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Entry is what is known of a key that somebody holds.
type Entry struct {
	// Claim is the attempt that holds the key.
	Claim  string
	Digest string
	// Outcome is nil until it is known.
	Outcome *Outcome
}

// claimant is one attempt in the order of its claim.
type claimant struct {
	claim  string
	digest string
}

// history is everything that was recorded for a key.
type history struct {
	issued time.Time
	// claimants are the attempts that were not abandoned; the first one holds
	// the key.
	claimants []claimant
	abandoned []string
	outcome   *Outcome
}

// Ledger is the fold of a claims stream.
type Ledger struct {
	entries map[Key]*history
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{entries: make(map[Key]*history)}
}

// Len returns the number of keys known.
func (l *Ledger) Len() int { return len(l.entries) }

// Find returns what is known of a key. It returns false when nobody holds it.
func (l *Ledger) Find(key Key) (Entry, bool) {
	h := l.entries[key]
	if h == nil || len(h.claimants) == 0 {
		return Entry{}, false
	}
	holder := h.claimants[0]
	return Entry{Claim: holder.claim, Digest: holder.digest, Outcome: h.outcome}, true
}

// Apply takes the next record.
func (l *Ledger) Apply(record Record) {
	h := l.entries[record.Key]
	if h == nil {
		h = &history{issued: record.Issued}
		l.entries[record.Key] = h
	}
	switch record.Kind {
	case KindClaim:
		h.claim(record)
	case KindOutcome:
		h.end(record)
	case KindAbandon:
		h.abandon(record.Claim)
	}
}

func (h *history) index(claim string) int {
	return slices.IndexFunc(h.claimants, func(c claimant) bool { return c.claim == claim })
}

func (h *history) claim(record Record) {
	if h.outcome != nil || h.index(record.Claim) >= 0 || slices.Contains(h.abandoned, record.Claim) {
		return
	}
	h.claimants = append(h.claimants, claimant{claim: record.Claim, digest: record.Digest})
}

// end takes the outcome of the holder; nobody else can have run. The others
// are forgotten: the key is settled.
func (h *history) end(record Record) {
	if h.outcome != nil || h.index(record.Claim) != 0 {
		return
	}
	h.outcome = record.Outcome
	h.claimants = h.claimants[:1:1]
	h.abandoned = nil
}

func (h *history) abandon(claim string) {
	if h.outcome != nil || slices.Contains(h.abandoned, claim) {
		return
	}
	h.abandoned = append(h.abandoned, claim)
	if i := h.index(claim); i >= 0 {
		h.claimants = slices.Delete(h.claimants, i, i+1)
	}
}

// Forget drops every key that was issued before a time.
func (l *Ledger) Forget(before time.Time) {
	for key, h := range l.entries {
		if h.issued.Before(before) {
			delete(l.entries, key)
		}
	}
}
