package rig

import (
	"time"

	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/bench/trace"
)

const (
	// slowFactor is the factor by which trace.FaultEngineSlow slows an engine
	// down.
	slowFactor = 4
	// faultEventLoss is the fraction of cache events that are lost during
	// trace.FaultEventsLost.
	faultEventLoss = 0.5
	// faultListLag is how far the list of instances lags behind during
	// trace.FaultListLag.
	faultListLag = time.Minute
)

// InjectFault injects the fault of a trace line. It returns a function that ends
// the fault, or nil if the fault needs no end: restarts are instantaneous, an
// engine comes back from a crash by itself, and an unknown target has no effect.
func (r *Rig) InjectFault(line trace.Line) func() {
	id := comfreyworks.InstanceID(line.Target)
	switch line.Fault {
	case trace.FaultEngineCrash:
		if e := r.Engine(id); e != nil {
			e.Crash(time.Duration(line.For))
		}
	case trace.FaultEngineSlow:
		if e := r.Engine(id); e != nil {
			e.SetSlowFactor(slowFactor)
			return func() { e.SetSlowFactor(1) }
		}
	case trace.FaultEventsLost:
		r.setEventLoss(faultEventLoss)
		return func() { r.setEventLoss(r.options.EventLoss) }
	case trace.FaultEntryRestart:
		r.logFailure(r.RestartEntries(line.Target))
	case trace.FaultSidecarRestart:
		r.logFailure(r.RestartSidecar(id))
	case trace.FaultLogDown:
		r.log.SetOutage(true)
		return func() { r.log.SetOutage(false) }
	case trace.FaultListLag:
		r.list.SetLag(faultListLag)
		return func() { r.list.SetLag(r.options.ListLag) }
	case trace.FaultPartition:
		r.partition.setIsolated(id, true)
		return func() { r.partition.setIsolated(id, false) }
	}
	return nil
}

func (r *Rig) setEventLoss(share float64) {
	for _, u := range r.upstreams {
		if u.engine != nil {
			u.engine.SetEventLoss(share)
		}
	}
}

func (r *Rig) logFailure(err error) {
	if err != nil {
		r.options.Logger.Warn("could not inject fault", zap.Error(err))
	}
}
