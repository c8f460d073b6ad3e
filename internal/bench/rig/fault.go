package rig

import (
	"time"

	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/bench/trace"
)

const (
	// slowFactor is how much slower a slow engine is.
	slowFactor = 4
	// lostShare is the share of cache events that are lost.
	lostShare = 0.5
	// listLag is the lag of the list during the fault.
	listLag = time.Minute
)

// Inject brings a fault about. It returns a function that ends it, or nil for
// a fault that ends by itself.
func (r *Rig) Inject(line trace.Line) func() {
	id := comfreyworks.InstanceID(line.Target)
	switch line.Fault {
	case trace.FaultEngineCrash:
		if e := r.Engine(id); e != nil {
			e.Crash(time.Duration(line.For))
		}
	case trace.FaultEngineSlow:
		if e := r.Engine(id); e != nil {
			e.SetSlow(slowFactor)
			return func() { e.SetSlow(1) }
		}
	case trace.FaultEventsLost:
		r.setEventLoss(lostShare)
		return func() { r.setEventLoss(r.options.EventLoss) }
	case trace.FaultEntryRestart:
		r.note(r.RestartEntries(line.Target))
	case trace.FaultSidecarRestart:
		r.note(r.RestartSidecar(id))
	case trace.FaultLogDown:
		r.log.SetOutage(true)
		return func() { r.log.SetOutage(false) }
	case trace.FaultListLag:
		r.list.SetLag(listLag)
		return func() { r.list.SetLag(r.options.ListLag) }
	case trace.FaultPartition:
		r.cuts.set(id, true)
		return func() { r.cuts.set(id, false) }
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

func (r *Rig) note(err error) {
	if err != nil {
		r.options.Logger.Warn("fault not injected", zap.Error(err))
	}
}
