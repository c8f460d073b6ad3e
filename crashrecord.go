package comfreyworks

import (
	"context"
	"time"
)

// MaxRecordedCrashes is the maximum number of entries of a record of crashes.
const MaxRecordedCrashes = 512

// RecordedCrash is a suspicion as it is kept on the platform's store.
type RecordedCrash struct {
	CrashSuspicion
	// Age is the time since the last change of the suspicion. It is as exact as the times
	// of day of the gateways that write and read the record.
	Age time.Duration
}

// CrashStore keeps the suspicions of gateways while no gateway runs.
type CrashStore interface {
	// Crashes returns the newest record and the offset that the next one will get. The
	// record is empty if there is none or if it cannot be decoded. Offsets only grow. In a
	// store that has been restored from an earlier copy, the record is that of the copy.
	Crashes(ctx context.Context) (record []RecordedCrash, next Offset, err error)
	// RecordCrashes appends a record of at most MaxRecordedCrashes entries if its offset
	// would be at, and returns the offset after it. Otherwise, or if the store has been
	// restored since at was returned, it returns false. After an error the record may have
	// been appended or may still be.
	RecordCrashes(ctx context.Context, record []RecordedCrash, at Offset) (next Offset, written bool, err error)
}
