package catalog

import (
	"slices"
	"time"

	"comfreyworks"
)

// maxRevisionHistory is the number of revisions remembered for each model.
const maxRevisionHistory = 32

// DeclaredWeights holds the declared weights revision of a model and the revisions
// declared before it.
type DeclaredWeights struct {
	Revision comfreyworks.WeightsRevision
	// history holds the latest revisions in increasing order. The slice is never
	// modified.
	history []declaredRevision
}

// declaredRevision bounds the time at which a revision was declared.
type declaredRevision struct {
	revision comfreyworks.WeightsRevision
	Supersession
}

// Supersession bounds the time at which a revision was superseded.
type Supersession struct {
	// NotBefore is when the declarations were last known not to contain the newer
	// revision. It is zero if the newer revision was part of the first declaration
	// that this process read.
	NotBefore time.Time
	// LearnedAt is when this process learned of the newer revision.
	LearnedAt time.Time
}

// Superseded returns when a revision was superseded by the first newer one, or
// false if it was not.
func (w DeclaredWeights) Superseded(revision comfreyworks.WeightsRevision) (Supersession, bool) {
	for _, declared := range w.history {
		if declared.revision > revision {
			return declared.Supersession, true
		}
	}
	return Supersession{}, false
}

// withRevision returns a copy to which a newer revision is added.
func (w DeclaredWeights) withRevision(next declaredRevision) DeclaredWeights {
	history := append(slices.Clone(w.history), next)
	return DeclaredWeights{Revision: next.revision, history: history[max(len(history)-maxRevisionHistory, 0):]}
}
