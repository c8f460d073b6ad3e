package revision

import (
	"encoding/json"

	"comfreyworks"
)

// HistoryEntry is one record of the configuration stream and the result of applying it.
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
// returns one step for each record.
func Replay(records []comfreyworks.Record) []HistoryEntry {
	current := Empty()
	steps := make([]HistoryEntry, 0, len(records))
	for _, stored := range records {
		step := HistoryEntry{Offset: stored.Offset}
		if err := json.Unmarshal(stored.Data, &step.Record); err != nil {
			step.Err = &Error{Op: "read", Kind: KindInvalid, Err: err}
			steps = append(steps, step)
			continue
		}
		next, err := current.Apply(step.Record)
		if err == nil {
			current = next
			step.Document = next
		}
		step.Err = err
		steps = append(steps, step)
	}
	return steps
}

// Newest returns the newest document of steps, or the empty document if there is
// none.
func Newest(steps []HistoryEntry) *Document {
	for i := len(steps) - 1; i >= 0; i-- {
		if steps[i].Document != nil {
			return steps[i].Document
		}
	}
	return Empty()
}
