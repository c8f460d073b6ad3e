package claim

import (
	"encoding/json"
	"testing"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/state/ledger"
)

// FuzzRecord guards against a record that stops the follower of a claim stream, or lets
// another claim take the place of the first one for its key.
func FuzzRecord(f *testing.F) {
	for _, seed := range []string{"", "null", "[[", `{"kind":7}`, `{"kind":"outcome","key":{"workspace":"w","id":"k"},"claim":"first"}`, `{"kind":"claim","key":{"workspace":"w","id":"k"},"claim":""}`, `{"kind":"other","issued":"x"}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		e := New(Options{Clock: clockwork.NewFakeClock(), Logger: zap.NewNop()})
		key := ledger.Key{Workspace: "w", ID: "k"}
		claim := func(id string) []byte {
			encoded, err := json.Marshal(ledger.Record{Kind: ledger.KindClaim, Key: key, Claim: id})
			assert.NilError(t, err)
			return encoded
		}
		next := e.applyRecords([]comfreyworks.Record{{Offset: 4, Data: claim("first")}, {Offset: 5, Data: data}, {Offset: 6, Data: claim("second")}}, 4)
		assert.Equal(t, next, comfreyworks.Offset(7))
		entry, held := e.ledger.Find(key)
		var record ledger.Record
		abandons := json.Unmarshal(data, &record) == nil && record.Kind == ledger.KindAbandon && record.Key == key && record.Claim == "first"
		assert.Assert(t, held && (entry.Claim == "first" || abandons), "%q", entry.Claim)
	})
}
