package revision

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"comfreyworks"
	"comfreyworks/examples"
)

// documentWithDeadline returns the example deployment with another deadline for
// the class "review".
func documentWithDeadline(t assert.TestingT, seconds int) *Document {
	text := strings.Replace(string(examples.Piedmont), `"deadline": "60s"`, fmt.Sprintf(`"deadline": "%ds"`, seconds), 1)
	document, err := Parse("piedmont.jsonc", []byte(text))
	assert.NilError(t, err)
	return document
}

func mustApply(t assert.TestingT, current *Document, record Record) *Document {
	next, err := current.Apply(record)
	assert.NilError(t, err)
	return next
}

func assertErrorKind(t *testing.T, err error, kind Kind) {
	t.Helper()
	assert.Assert(t, IsKind(err, kind), "got %v", err)
}

func TestApply(t *testing.T) {
	first := mustApply(t, Empty(), Empty().Propose(documentWithDeadline(t, 60), "ann", "", time.Now()))
	t.Run("the first record produces revision one from any initial file", func(t *testing.T) {
		assert.Equal(t, first.Number(), comfreyworks.ConfigRevision(1))
		started := FromDeployment(documentWithDeadline(t, 5).Deployment())
		assert.Equal(t, mustApply(t, started, Empty().Propose(documentWithDeadline(t, 60), "ann", "", time.Now())).Digest(), first.Digest())
	})
	t.Run("a record contains only the changed sections", func(t *testing.T) {
		record := first.Propose(documentWithDeadline(t, 30), "ann", "", time.Now())
		assert.Equal(t, len(record.Sections), 1)
		next := mustApply(t, first, record)
		assert.Equal(t, next.Deployment().Class("review").Deadline, 30*time.Second)
		assert.Equal(t, len(next.Since(1).Sections), 1)
	})
	t.Run("a record can remove a section", func(t *testing.T) {
		text := string(examples.Piedmont)
		without, err := Parse("p", []byte(text[:strings.Index(text, `"callers"`)]+"}"))
		assert.NilError(t, err)
		next := mustApply(t, first, first.Propose(without, "ann", "", time.Now()))
		assert.Equal(t, next.Digest(), without.Digest())
	})
	t.Run("the second of two records with the same base is rejected", func(t *testing.T) {
		one := first.Propose(documentWithDeadline(t, 30), "ann", "", time.Now())
		two := first.Propose(documentWithDeadline(t, 40), "bob", "", time.Now())
		_, err := mustApply(t, first, one).Apply(two)
		assertErrorKind(t, err, KindConflict)
	})
	t.Run("a record that does not validate is rejected", func(t *testing.T) {
		record := first.Propose(documentWithDeadline(t, 30), "ann", "", time.Now())
		record.Sections["classes"] = json.RawMessage(`[]`)
		_, err := first.Apply(record)
		assertErrorKind(t, err, KindInvalid)
	})
	t.Run("a record with a wrong digest is rejected", func(t *testing.T) {
		record := first.Propose(documentWithDeadline(t, 30), "ann", "", time.Now())
		record.Digest = first.Digest()
		_, err := first.Apply(record)
		assertErrorKind(t, err, KindDigestMismatch)
	})
	t.Run("a snapshot applies only to older documents", func(t *testing.T) {
		snapshot := first.Snapshot("lm/0", time.Now())
		assert.Equal(t, mustApply(t, Empty(), snapshot).Digest(), first.Digest())
		_, err := first.Apply(snapshot)
		assertErrorKind(t, err, KindNotNewer)
	})
}

func TestMerge(t *testing.T) {
	first := mustApply(t, Empty(), Empty().Propose(documentWithDeadline(t, 60), "ann", "", time.Now()))
	second := mustApply(t, first, first.Propose(documentWithDeadline(t, 30), "ann", "", time.Now()))
	t.Run("an update applies to any older revision", func(t *testing.T) {
		for _, old := range []*Document{Empty(), FromDeployment(documentWithDeadline(t, 5).Deployment()), first} {
			merged, err := old.Merge(second.Since(old.Number()))
			assert.NilError(t, err)
			assert.Equal(t, merged.Digest(), second.Digest())
			assert.Equal(t, merged.Number(), second.Number())
		}
	})
	t.Run("an older update is rejected", func(t *testing.T) {
		_, err := second.Merge(first.Since(0))
		assertErrorKind(t, err, KindNotNewer)
	})
	t.Run("an update with missing sections is rejected", func(t *testing.T) {
		update := second.Since(1)
		update.Sections = nil
		_, err := first.Merge(update)
		assertErrorKind(t, err, KindDigestMismatch)
	})
}

// TestReplayAndMergeConverge replays random records, some of them conflicting or
// with a wrong digest. A document of any prefix of the records that merges an
// update from the newest document must get the same content.
func TestReplayAndMergeConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stored []comfreyworks.Record
		prefixes := []*Document{Empty()}
		for i := range rapid.IntRange(1, 8).Draw(t, "records") {
			base := prefixes[rapid.IntRange(max(0, len(prefixes)-2), len(prefixes)-1).Draw(t, "base")]
			record := base.Propose(documentWithDeadline(t, rapid.IntRange(1, 9).Draw(t, "seconds")), "ann", "", time.Now())
			if rapid.IntRange(0, 5).Draw(t, "broken") == 0 {
				record.Digest = "0"
			}
			data, err := json.Marshal(record)
			assert.NilError(t, err)
			stored = append(stored, comfreyworks.Record{Offset: comfreyworks.Offset(i), Data: data})
			prefixes = append(prefixes, Newest(Replay(stored)))
		}
		newest := Newest(Replay(stored))
		stale := prefixes[rapid.IntRange(0, len(prefixes)-1).Draw(t, "behind")]
		if stale.Number() == newest.Number() {
			return
		}
		merged, err := stale.Merge(newest.Since(stale.Number()))
		assert.NilError(t, err)
		assert.Equal(t, merged.Digest(), newest.Digest())
	})
}
