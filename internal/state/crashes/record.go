package crashes

import (
	"cmp"
	"slices"
	"time"

	"comfreyworks"
)

// singleCrashRecorded is how long a suspicion of one crash is kept in records. Almost all of
// them are of sound requests that were at an engine that ended, and never come again.
const singleCrashRecorded = 10 * time.Minute

// Record returns the suspicions that are to outlast all gateways, those with the most crashes
// and then the latest ones first, at most comfreyworks.MaxRecordedCrashes.
func (l *Log) Record() []comfreyworks.RecordedCrash {
	all, _ := l.After(0, Remote)
	var record []comfreyworks.RecordedCrash
	for _, s := range all {
		_, age, _ := l.log.LookupAge(s.Part)
		if s.Crashes == 0 || age > maxQuarantine || (s.Crashes == 1 && age > singleCrashRecorded) {
			continue
		}
		record = append(record, comfreyworks.RecordedCrash{CrashSuspicion: s, Age: age})
	}
	slices.SortFunc(record, func(a, b comfreyworks.RecordedCrash) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(a.Age, b.Age), cmp.Compare(a.Part, b.Part))
	})
	return record[:min(len(record), comfreyworks.MaxRecordedCrashes)]
}

// Restore adds a record. Quarantines go on from the time at which they began, and the ends of
// upstreams in it are too old to be evidence against other requests.
func (l *Log) Restore(record []comfreyworks.RecordedCrash) {
	now := l.clock.Now()
	for _, s := range record[:min(len(record), comfreyworks.MaxRecordedCrashes)] {
		age := min(max(s.Age, 0), lifetime)
		l.log.MergeAt(s.Part, newSuspicion(s.CrashSuspicion), now.Add(-age), Local, suspicion.join)
	}
}

// Supersedes reports whether a record that contains stored, or nothing about the suspect if
// known is false, has to be written again because of s: it lacks a crash or a failed trial, or
// blames what was cleared since.
func Supersedes(s, stored comfreyworks.CrashSuspicion, known bool) bool {
	if s.Crashes == 0 {
		return known && stored.Crashes >= blameAfter && stored.Cleared < s.Cleared
	}
	return !known || stored.Cleared < s.Cleared || (stored.Cleared == s.Cleared && (stored.Crashes < s.Crashes || stored.Tried < s.Tried))
}
