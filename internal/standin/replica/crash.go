package replica

import (
	"cmp"
	"net/http"
	"slices"
	"strings"

	"comfreyworks"
)

// Injected faults with which the replica calls the function of HarmOn, which ends its
// connections, and aborts the request.
const (
	// FaultCrash crashes the replica after the header of its response.
	FaultCrash Fault = "crash"
	// FaultEarlyCrash crashes it before.
	FaultEarlyCrash Fault = "early-crash"
)

// HarmOn makes harm choose the fault of each request, given its target, header and body;
// with an empty Fault the replica uses its other injected faults. The replica calls crash
// when it crashes.
func (rep *Replica) HarmOn(harm func(run *Run) Fault, crash func()) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	rep.harm, rep.crash = harm, crash
}

// CrashOn makes the replica crash whenever it begins to answer a prompt with the given
// part.
func (rep *Replica) CrashOn(part string, crash func()) {
	rep.HarmOn(func(run *Run) Fault {
		if slices.ContainsFunc(strings.Split(run.Header.Get(rep.options.Headers.Prefix), ","), func(entry string) bool {
			return strings.HasPrefix(strings.TrimSpace(entry), part+":")
		}) {
			return FaultCrash
		}
		return ""
	}, crash)
}

// Restart makes the replica a new incarnation with another ID. What it has recorded
// stays.
func (rep *Replica) Restart(id comfreyworks.InstanceID) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	rep.id = id
}

func (rep *Replica) currentID() comfreyworks.InstanceID {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.id
}

// harmFault returns the fault that HarmOn chose for a run, or the given one.
func (rep *Replica) harmFault(run *Run, fault Fault) Fault {
	rep.mu.Lock()
	harm := rep.harm
	rep.mu.Unlock()
	if harm == nil {
		return fault
	}
	return cmp.Or(harm(run), fault)
}

// crashUnder crashes while the replica runs a request.
func (rep *Replica) crashUnder(w http.ResponseWriter, run *Run, fault Fault) {
	rep.mu.Lock()
	run.Crashed = true
	crash := rep.crash
	rep.mu.Unlock()
	if fault == FaultCrash {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
	}
	crash()
	panic(http.ErrAbortHandler)
}
