// Package capacity measures what one unit of each kind of state and traffic
// costs, and works out from these slopes what every role needs at a given size.
//
// # Usage
//
//	slopes, err := capacity.Measure(ctx)
//	capacity.WriteSlopes(os.Stdout, slopes)
//	capacity.WriteRoles(os.Stdout, capacity.Roles(slopes, capacity.FullSize()))
//
// Measure fails when loopback connections cannot be made.
package capacity

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"comfreyworks"
)

// Kind classifies the errors of this package.
type Kind string

// KindMeasure means that a measurement could not be made.
const KindMeasure Kind = "measure"

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

// SlopeName names a slope.
type SlopeName string

// Slopes.
const (
	SlopeDirectoryMemory  SlopeName = "directory memory per holding"
	SlopeResidencyMemory  SlopeName = "residency memory per level"
	SlopeLedgerMemory     SlopeName = "ledger memory per key"
	SlopeConnectionMemory SlopeName = "memory per connection, both ends"
	SlopeStreamMemory     SlopeName = "memory per open stream of 256 tokens"
	SlopeInstanceMemory   SlopeName = "view memory per listed instance"
	SlopeListBytes        SlopeName = "list bytes per instance"
	SlopeReportBytes      SlopeName = "bytes per report"
	SlopeChangeBytes      SlopeName = "bytes per reported change"
	SlopePlaceBytes       SlopeName = "bytes per placement of 8 levels, both ways"
	SlopeClaimBytes       SlopeName = "log bytes per claimed call"
	SlopePullBytes        SlopeName = "bytes per question for a newer configuration"
	SlopePullCPU          SlopeName = "processor time per question for a newer configuration, both ends"
	SlopePlaceCPU         SlopeName = "processor time per placement, both ends"
	SlopeReadCPU          SlopeName = "processor time per read of one token, both ends"
	SlopeReportCPU        SlopeName = "processor time per report, both ends"
	SlopeChangeCPU        SlopeName = "processor time per reported change, at the shard"
	SlopeEventCPU         SlopeName = "processor time per cache event"
	SlopeReplayCPU        SlopeName = "processor time per claim record replayed"
	SlopeChainCPU         SlopeName = "processor time per KiB of prompt hashed"
)

// Slope is one measured cost.
type Slope struct {
	Name  SlopeName
	Value float64
	Unit  string
}

// Slopes are measured costs by name.
type Slopes map[SlopeName]Slope

func (s Slopes) set(name SlopeName, value float64, unit string) {
	s[name] = Slope{Name: name, Value: value, Unit: unit}
}

// Units of slopes.
const (
	unitBytes = "B"
	unitNanos = "ns"
)

// Measure measures every slope; it takes some seconds.
func Measure(ctx context.Context) (Slopes, error) {
	slopes := make(Slopes)
	measureState(slopes)
	if err := measureTraffic(ctx, slopes); err != nil {
		return nil, &Error{Op: "measure", Kind: KindMeasure, Err: err}
	}
	return slopes, nil
}

// heap returns the bytes in use after a collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// memoryOf returns the memory that a value holds, for each of n units.
func memoryOf(n int, build func() any) float64 {
	before := heap()
	value := build()
	after := heap()
	runtime.KeepAlive(value)
	return (after - before) / float64(n)
}

// cpuOf returns the processor time of n runs, for each of them, in
// nanoseconds. It counts all threads, system time included.
func cpuOf(n int, run func() error) (float64, error) {
	before := processorTime()
	for range n {
		if err := run(); err != nil {
			return 0, err
		}
	}
	return float64(processorTime()-before) / float64(n), nil
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
