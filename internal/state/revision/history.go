package revision

import (
	"encoding/json"

	"comfreyworks"
)

// Step is one record of the stream and what became of it.
type Step struct {
	Offset comfreyworks.Offset
	Record Record
	// Document is the revision that the record made; nil if it made none.
	Document *Document
	// Err is why it made none.
	Err error
}

// Fold folds stored records from the start of the stream.
func Fold(records []comfreyworks.Record) []Step {
	current := Empty()
	steps := make([]Step, 0, len(records))
	for _, stored := range records {
		step := Step{Offset: stored.Offset}
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

// Last returns the newest document of some steps, or the empty one.
func Last(steps []Step) *Document {
	for i := len(steps) - 1; i >= 0; i-- {
		if steps[i].Document != nil {
			return steps[i].Document
		}
	}
	return Empty()
}
