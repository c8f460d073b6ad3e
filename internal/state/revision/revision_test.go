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

// variant is the example with another deadline of reviews.
func variant(t assert.TestingT, seconds int) *Document {
	text := strings.Replace(string(examples.Piedmont), `"deadline": "60s"`, fmt.Sprintf(`"deadline": "%ds"`, seconds), 1)
	document, err := Parse("piedmont.jsonc", []byte(text))
	assert.NilError(t, err)
	return document
}

func apply(t assert.TestingT, current *Document, record Record) *Document {
	next, err := current.Apply(record)
	assert.NilError(t, err)
	return next
}

func expectError(t *testing.T, err error, kind Kind) {
	t.Helper()
	assert.Assert(t, IsKind(err, kind), "got %v", err)
}

func TestApply(t *testing.T) {
	first := apply(t, Empty(), Empty().Propose(variant(t, 60), "ann", "", time.Now()))
	t.Run("the first record makes revision one, whatever an instance started with", func(t *testing.T) {
		assert.Equal(t, first.Number(), comfreyworks.ConfigRevision(1))
		started := FromDeployment(variant(t, 5).Deployment())
		assert.Equal(t, apply(t, started, Empty().Propose(variant(t, 60), "ann", "", time.Now())).Digest(), first.Digest())
	})
	t.Run("only changed sections travel", func(t *testing.T) {
		record := first.Propose(variant(t, 30), "ann", "", time.Now())
		assert.Equal(t, len(record.Sections), 1)
		next := apply(t, first, record)
		assert.Equal(t, next.Deployment().Class("review").Deadline, 30*time.Second)
		assert.Equal(t, len(next.Since(1).Sections), 1)
	})
	t.Run("a section can be taken out", func(t *testing.T) {
		text := string(examples.Piedmont)
		without, err := Parse("p", []byte(text[:strings.Index(text, `"callers"`)]+"}"))
		assert.NilError(t, err)
		next := apply(t, first, first.Propose(without, "ann", "", time.Now()))
		assert.Equal(t, next.Digest(), without.Digest())
	})
	t.Run("the second of two with one base loses", func(t *testing.T) {
		one := first.Propose(variant(t, 30), "ann", "", time.Now())
		two := first.Propose(variant(t, 40), "bob", "", time.Now())
		_, err := apply(t, first, one).Apply(two)
		expectError(t, err, KindConflict)
	})
	t.Run("a record that does not validate is passed over", func(t *testing.T) {
		record := first.Propose(variant(t, 30), "ann", "", time.Now())
		record.Sections["classes"] = json.RawMessage(`[]`)
		_, err := first.Apply(record)
		expectError(t, err, KindInvalid)
	})
	t.Run("a record that was changed on the way is passed over", func(t *testing.T) {
		record := first.Propose(variant(t, 30), "ann", "", time.Now())
		record.Digest = first.Digest()
		_, err := first.Apply(record)
		expectError(t, err, KindDigest)
	})
	t.Run("a carried revision is taken by who is behind only", func(t *testing.T) {
		carried := first.Carry("lm/0", time.Now())
		assert.Equal(t, apply(t, Empty(), carried).Digest(), first.Digest())
		_, err := first.Apply(carried)
		expectError(t, err, KindOld)
	})
}

func TestMerge(t *testing.T) {
	first := apply(t, Empty(), Empty().Propose(variant(t, 60), "ann", "", time.Now()))
	second := apply(t, first, first.Propose(variant(t, 30), "ann", "", time.Now()))
	t.Run("from any older revision", func(t *testing.T) {
		for _, old := range []*Document{Empty(), FromDeployment(variant(t, 5).Deployment()), first} {
			merged, err := old.Merge(second.Since(old.Number()))
			assert.NilError(t, err)
			assert.Equal(t, merged.Digest(), second.Digest())
			assert.Equal(t, merged.Number(), second.Number())
		}
	})
	t.Run("never back", func(t *testing.T) {
		_, err := second.Merge(first.Since(0))
		expectError(t, err, KindOld)
	})
	t.Run("an update with a gap is noticed", func(t *testing.T) {
		update := second.Since(1)
		update.Sections = nil
		_, err := first.Merge(update)
		expectError(t, err, KindDigest)
	})
}

// TestEveryoneAgrees folds random records by racing operators in several
// orders of arrival at instances: all at once, in pieces, or by updates from
// another instance. All come to the same revision and content.
func TestEveryoneAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stored []comfreyworks.Record
		seen := []*Document{Empty()}
		for i := range rapid.IntRange(1, 8).Draw(t, "records") {
			base := seen[rapid.IntRange(max(0, len(seen)-2), len(seen)-1).Draw(t, "base")]
			record := base.Propose(variant(t, rapid.IntRange(1, 9).Draw(t, "seconds")), "ann", "", time.Now())
			if rapid.IntRange(0, 5).Draw(t, "broken") == 0 {
				record.Digest = "0"
			}
			data, err := json.Marshal(record)
			assert.NilError(t, err)
			stored = append(stored, comfreyworks.Record{Offset: comfreyworks.Offset(i), Data: data})
			seen = append(seen, Last(Fold(stored)))
		}
		newest := Last(Fold(stored))
		behind := seen[rapid.IntRange(0, len(seen)-1).Draw(t, "behind")]
		if behind.Number() == newest.Number() {
			return
		}
		merged, err := behind.Merge(newest.Since(behind.Number()))
		assert.NilError(t, err)
		assert.Equal(t, merged.Digest(), newest.Digest())
	})
}
