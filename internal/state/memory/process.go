package memory

import (
	"runtime/debug"

	"comfreyworks"
	"comfreyworks/internal/state/meter"
)

const (
	// heldShare is the part of a process's memory that requests and answers may take while
	// they are read and passed on, connectionShare that of open connections with what the
	// kernel has received for them, and runtimeShare that of all memory of the Go runtime. The
	// rest is for the program itself.
	heldShare       = 0.25
	connectionShare = 0.375
	runtimeShare    = 0.7
	// connectionBytes is the memory of a caller's connection, half of it for goroutines and
	// buffers of the process. receiveShare is the part of connectionShare for what was received
	// from callers, and as much for what was received from upstreams.
	connectionBytes = 64 << 10
	receiveShare    = connectionShare / 4
	// descriptorsPerCaller are those of a caller's connection, of one to an upstream, and a
	// part of those of the other ports.
	descriptorsPerCaller = 2.4
	// For each callersPerProbe connections of callers each port for probes may have one, and for
	// each callersPerHandshake one peer may be about to authenticate itself, at least minOthers.
	callersPerProbe     = 16
	callersPerHandshake = 4
	minOthers           = 4
)

// ForProcess returns the account of a process with a memory limit in bytes, of which answers
// may use a share as in Options, and sets the soft
// limit of the Go runtime, which makes the garbage collector run more often before the
// process exceeds its limit. Zero means no limit; the account is nil then.
func ForProcess(limit int64, answerShare float64, clock comfreyworks.Clock, m *meter.Meter) *Budget {
	if limit <= 0 {
		return nil
	}
	debug.SetMemoryLimit(shareOf(limit, runtimeShare))
	return New(Options{Limit: shareOf(limit, heldShare), AnswerShare: answerShare, Clock: clock, Meter: m})
}

// Connections bounds the connections that a process accepts. Zero values mean no limit.
type Connections struct {
	// Callers is the number of callers' connections, Probes that of each port for readiness
	// or metrics, and Handshakes that of peers that have not authenticated themselves yet.
	Callers, Probes, Handshakes int
	// Receive is for callers' connections, and for those to upstreams.
	Receive ReceiveBuffers
}

// ForConnections returns the bounds for a process with a memory limit in bytes and a limit of
// open descriptors. Zero means no limit, for each of them.
func ForConnections(limit int64, descriptors int) Connections {
	byMemory := int(max(1, shareOf(limit, connectionShare)/connectionBytes))
	byDescriptors := int(float64(descriptors) / descriptorsPerCaller)
	var callers int
	switch {
	case limit > 0 && descriptors > 0:
		callers = min(byMemory, byDescriptors)
	case limit > 0:
		callers = byMemory
	case descriptors > 0:
		callers = byDescriptors
	default:
		return Connections{}
	}
	return Connections{
		Callers: callers, Probes: max(minOthers, callers/callersPerProbe), Handshakes: max(minOthers, callers/callersPerHandshake),
		Receive: ReceiveBuffers{Bytes: shareOf(limit, receiveShare), Connections: callers},
	}
}

func shareOf(bytes int64, share float64) int64 { return int64(share * float64(bytes)) }
