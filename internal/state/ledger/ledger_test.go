package ledger

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"comfreyworks"
)

var key = Key{Workspace: "w", ID: "k"}

func claim(name string) Record { return Record{Kind: KindClaim, Key: key, Claim: name, Digest: "d"} }

func abandon(name string) Record { return Record{Kind: KindAbandon, Key: key, Claim: name} }

func outcome(name string) Record {
	return Record{Kind: KindOutcome, Key: key, Claim: name, Outcome: &Outcome{Run: comfreyworks.RunStateRan, Detail: name}}
}

func newLedger(records ...Record) *Ledger {
	l := New()
	for _, record := range records {
		l.Apply(record)
	}
	return l
}

func expectHolder(t *testing.T, l *Ledger, holder string) Entry {
	t.Helper()
	entry, held := l.Find(key)
	assert.Equal(t, held, holder != "")
	assert.Equal(t, entry.Claim, holder)
	return entry
}

func TestHolder(t *testing.T) {
	tests := []struct {
		name    string
		records []Record
		holder  string
	}{
		{"no records", nil, ""},
		{"the first claim holds the key", []Record{claim("a"), claim("b")}, "a"},
		{"duplicate claims have no effect", []Record{claim("a"), claim("a"), claim("b")}, "a"},
		{"the next claim holds the key after an abandon", []Record{claim("a"), claim("b"), abandon("a")}, "b"},
		{"a claim that does not hold the key is abandoned", []Record{claim("a"), claim("b"), abandon("b"), abandon("a")}, ""},
		{"a duplicate of an abandoned claim has no effect", []Record{claim("a"), abandon("a"), claim("a"), claim("b")}, "b"},
		{"an abandon recorded before its claim takes effect", []Record{abandon("a"), claim("a"), claim("b")}, "b"},
		{"an outcome is final", []Record{claim("a"), outcome("a"), abandon("a"), claim("b")}, "a"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { expectHolder(t, newLedger(test.records...), test.holder) })
	}
	t.Run("an outcome of another attempt is ignored", func(t *testing.T) {
		entry := expectHolder(t, newLedger(claim("a"), claim("b"), outcome("b")), "a")
		assert.Assert(t, entry.Outcome == nil)
	})
	t.Run("RemoveIssuedBefore removes old keys", func(t *testing.T) {
		l := newLedger(claim("a"))
		l.RemoveIssuedBefore(time.Now())
		expectHolder(t, l, "")
	})
}

// TestAtMostOneAttemptRuns applies claim and abandon records of three attempts
// in random order and with duplicates. An attempt runs only while it holds the
// key and never after it abandoned its claim. At most one attempt may run.
func TestAtMostOneAttemptRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		names := []string{"a", "b", "c"}
		abandoned := make(map[string]bool)
		ran := make(map[string]bool)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "name")
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0, 1:
				l.Apply(claim(name))
			case 2:
				if !ran[name] {
					abandoned[name] = true
					l.Apply(abandon(name))
				}
			case 3:
				if entry, held := l.Find(key); held && entry.Claim == name && !abandoned[name] {
					ran[name] = true
				}
			}
		}
		if len(ran) > 1 {
			t.Fatal(fmt.Sprint("more than one attempt ran: ", ran))
		}
	})
}
