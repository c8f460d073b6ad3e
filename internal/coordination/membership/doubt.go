package membership

import (
	"time"

	"comfreyworks"
)

// doubt is what speaks against one instance.
type doubt struct {
	failures int
	until    time.Time
}

// doubts is the first-hand evidence of one kind.
type doubts map[comfreyworks.InstanceID]doubt

// has reports whether an instance is to be avoided now.
func (d doubts) has(id comfreyworks.InstanceID, now time.Time) bool {
	return now.Before(d[id].until)
}

// fail records a failure and reports whether it is the first one. Failures
// that come while the instance is avoided anyway belong to the one before.
func (d doubts) fail(id comfreyworks.InstanceID, now time.Time) bool {
	old := d[id]
	if now.Before(old.until) {
		return false
	}
	d[id] = doubt{
		failures: old.failures + 1,
		until:    now.Add(min(failureAvoidance<<min(old.failures, maxDoublings), maxFailureAvoidance)),
	}
	return old.failures == 0
}

// avoid records that an instance is to be avoided until a time, and reports
// whether there was no doubt before.
func (d doubts) avoid(id comfreyworks.InstanceID, until time.Time) bool {
	old := d[id]
	d[id] = doubt{failures: old.failures + 1, until: until}
	return old.failures == 0
}

// keep forgets the doubts about all other instances.
func (d doubts) keep(ids map[comfreyworks.InstanceID]bool) {
	for id := range d {
		if !ids[id] {
			delete(d, id)
		}
	}
}
