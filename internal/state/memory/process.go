package memory

import (
	"runtime/debug"

	"comfreyworks"
	"comfreyworks/internal/state/meter"
)

const (
	// heldShare is the part of a process's memory that requests and answers may take while
	// they are read and passed on, connectionShare that of open connections, and
	// runtimeShare that of all memory of the Go runtime. The rest is for the program itself.
	heldShare       = 0.25
	connectionShare = 0.25
	runtimeShare    = 0.7
	// connectionBytes is the memory of a caller's connection: its goroutines and buffers.
	connectionBytes = 32 << 10
	// descriptorsPerCaller are those of a caller's connection and of one to an upstream.
	descriptorsPerCaller = 2
)

// ForProcess returns the account of a process with a memory limit in bytes, and sets the soft
// limit of the Go runtime, which makes the garbage collector run more often before the
// process exceeds its limit. Zero means no limit; the account is nil then.
func ForProcess(limit int64, clock comfreyworks.Clock, m *meter.Meter) *Budget {
	if limit <= 0 {
		return nil
	}
	debug.SetMemoryLimit(shareOf(limit, runtimeShare))
	return New(Options{Limit: shareOf(limit, heldShare), Clock: clock, Meter: m})
}

// MaxConnections returns how many connections of callers a process with a memory limit in
// bytes and a limit of open descriptors may have. Zero means no limit, for each of them.
func MaxConnections(limit int64, descriptors int) int {
	byDescriptors := descriptors / descriptorsPerCaller
	if limit <= 0 {
		return byDescriptors
	}
	byMemory := int(max(1, shareOf(limit, connectionShare)/connectionBytes))
	if byDescriptors <= 0 {
		return byMemory
	}
	return min(byDescriptors, byMemory)
}

func shareOf(bytes int64, share float64) int64 { return int64(share * float64(bytes)) }
