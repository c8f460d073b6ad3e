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

func fold(records ...Record) *Ledger {
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
		{"nobody", nil, ""},
		{"the first", []Record{claim("a"), claim("b")}, "a"},
		{"copies change nothing", []Record{claim("a"), claim("a"), claim("b")}, "a"},
		{"the next one after an abandon", []Record{claim("a"), claim("b"), abandon("a")}, "b"},
		{"a waiting claim is abandoned", []Record{claim("a"), claim("b"), abandon("b"), abandon("a")}, ""},
		{"a late copy of an abandoned claim", []Record{claim("a"), abandon("a"), claim("a"), claim("b")}, "b"},
		{"an abandon that overtakes its claim", []Record{abandon("a"), claim("a"), claim("b")}, "b"},
		{"an outcome settles the key", []Record{claim("a"), outcome("a"), abandon("a"), claim("b")}, "a"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { expectHolder(t, fold(test.records...), test.holder) })
	}
	t.Run("only the holder has an outcome", func(t *testing.T) {
		entry := expectHolder(t, fold(claim("a"), claim("b"), outcome("b")), "a")
		assert.Assert(t, entry.Outcome == nil)
	})
	t.Run("old keys are forgotten", func(t *testing.T) {
		l := fold(claim("a"))
		l.Forget(time.Now())
		expectHolder(t, l, "")
	})
}

// TestOneHolderRuns lets attempts act on what they see while records arrive in
// any order and number of copies. An attempt runs when it holds the key and
// never after it has abandoned. However it goes, one attempt at most runs.
func TestOneHolderRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		names := []string{"a", "b", "c"}
		gone := make(map[string]bool)
		ran := make(map[string]bool)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "name")
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0, 1:
				l.Apply(claim(name))
			case 2:
				if !ran[name] {
					gone[name] = true
					l.Apply(abandon(name))
				}
			case 3:
				if entry, held := l.Find(key); held && entry.Claim == name && !gone[name] {
					ran[name] = true
				}
			}
		}
		if len(ran) > 1 {
			t.Fatal(fmt.Sprint("more than one ran: ", ran))
		}
	})
}
