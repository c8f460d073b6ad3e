package revision

import (
	"encoding/json"

	"comfreyworks"
)

// HistoryEntry is one record of the configuration stream and the result of
// applying it.
type HistoryEntry struct {
	Offset comfreyworks.Offset
	Record Record
	// Document is the revision that the record produced, or nil if it was
	// rejected.
	Document *Document
	// Err is the reason for the rejection.
	Err error
}

// Replay applies stored records in order, starting from the empty document, and
// returns one entry for each record.
func Replay(records []comfreyworks.Record) []HistoryEntry {
	current := Empty()
	entries := make([]HistoryEntry, 0, len(records))
	for _, stored := range records {
		entry := HistoryEntry{Offset: stored.Offset}
		if err := json.Unmarshal(stored.Data, &entry.Record); err != nil {
			entry.Err = &Error{Op: "read", Kind: KindInvalid, Err: err}
			entries = append(entries, entry)
			continue
		}
		next, err := current.Apply(entry.Record)
		if err == nil {
			current = next
			entry.Document = next
		}
		entry.Err = err
		entries = append(entries, entry)
	}
	return entries
}

// Newest returns the newest document of a history, or the empty document if there
// is none.
func Newest(entries []HistoryEntry) *Document {
	for i := len(entries) - 1; i >= 0; i-- {
		if entries[i].Document != nil {
			return entries[i].Document
		}
	}
	return Empty()
}
