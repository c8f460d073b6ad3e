// Package capacity measures the cost per unit of each kind of state and traffic,
// called a slope, and estimates from the slopes which resources each role needs in
// a deployment of a given size.
//
// # Usage
//
//	slopes, err := capacity.Measure(ctx)
//	capacity.WriteSlopes(os.Stdout, slopes)
//	capacity.WriteEstimates(os.Stdout, capacity.EstimateRoles(slopes, capacity.FullSize()))
//
// Measure returns an error if a call over a loopback connection fails.
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

// SlopeName is the name of a slope. It appears in the printed table. There, a
// holding is the record that one upstream has one prefix level in its cache.
type SlopeName string

// Names of slopes.
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

// Slope is the measured cost of one unit of state or traffic.
type Slope struct {
	Name  SlopeName
	Value float64
	Unit  string
}

// Slopes holds the measured slopes by name.
type Slopes map[SlopeName]Slope

func (s Slopes) set(name SlopeName, value float64, unit string) {
	s[name] = Slope{Name: name, Value: value, Unit: unit}
}

// Units of slopes.
const (
	unitBytes       = "B"
	unitNanoseconds = "ns"
)

// Measure measures all slopes. It takes some seconds.
func Measure(ctx context.Context) (Slopes, error) {
	slopes := make(Slopes)
	measureState(slopes)
	if err := measureTraffic(ctx, slopes); err != nil {
		return nil, &Error{Op: "measure traffic", Kind: KindMeasure, Err: err}
	}
	return slopes, nil
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage
// collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// memoryPerUnit returns the bytes that the value returned by build occupies, divided
// by its number of units n.
func memoryPerUnit(n int, build func() any) float64 {
	before := memoryInUse()
	value := build()
	after := memoryInUse()
	runtime.KeepAlive(value)
	return (after - before) / float64(n)
}

// cpuTimePerRun calls run n times and returns the mean CPU time per call in
// nanoseconds. It counts the user and system time of all threads of the process.
func cpuTimePerRun(n int, run func() error) (float64, error) {
	before := processCPUTime()
	for range n {
		if err := run(); err != nil {
			return 0, err
		}
	}
	return float64(processCPUTime()-before) / float64(n), nil
}

// processCPUTime returns the user and system time that this process has used.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
