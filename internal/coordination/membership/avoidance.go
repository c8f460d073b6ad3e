package membership

import (
	"time"

	"comfreyworks"
)

// avoidance records that an instance has failed or is leaving, and until when it
// is avoided.
type avoidance struct {
	// failures counts the failures, and the refusals because of leaving, since the
	// instance last worked.
	failures int
	until    time.Time
}

// avoidances holds the instances that have failed or are leaving.
type avoidances map[comfreyworks.InstanceID]avoidance

// active reports whether an instance is avoided at the given time.
func (a avoidances) active(id comfreyworks.InstanceID, now time.Time) bool {
	return now.Before(a[id].until)
}

// recordFailure avoids an instance after a failure, longer with each one, and
// reports whether it is the first. Failures while the instance is already avoided
// are ignored, because they are attributed to the failure before.
func (a avoidances) recordFailure(id comfreyworks.InstanceID, now time.Time) bool {
	old := a[id]
	if now.Before(old.until) {
		return false
	}
	a[id] = avoidance{
		failures: old.failures + 1,
		until:    now.Add(min(failureAvoidance<<min(old.failures, maxAvoidanceDoublings), maxFailureAvoidance)),
	}
	return old.failures == 0
}

// avoidUntil avoids an instance until the given time and reports whether nothing
// was recorded for it before.
func (a avoidances) avoidUntil(id comfreyworks.InstanceID, until time.Time) bool {
	old := a[id]
	a[id] = avoidance{failures: old.failures + 1, until: until}
	return old.failures == 0
}

// retain removes the records of all instances but the given ones.
func (a avoidances) retain(ids map[comfreyworks.InstanceID]bool) {
	for id := range a {
		if !ids[id] {
			delete(a, id)
		}
	}
}
