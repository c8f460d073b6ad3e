package rig

import (
	"net"
	"strings"

	"comfreyworks"
)

// RestartSidecar kills a sidecar and starts a new one with empty state at the
// same address.
func (r *Rig) RestartSidecar(id comfreyworks.InstanceID) error {
	u := r.upstreamByID(id)
	if u == nil {
		return &Error{Op: "restart " + string(id), Kind: KindTarget}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	u.sidecar.role.Kill()
	<-u.sidecar.done
	return r.startSidecar(u)
}

// StopSidecar marks a sidecar as leaving in the list of instances and stops it
// gracefully.
func (r *Rig) StopSidecar(id comfreyworks.InstanceID) error {
	u := r.upstreamByID(id)
	if u == nil {
		return &Error{Op: "stop " + string(id), Kind: KindTarget}
	}
	u.instance.State = comfreyworks.InstanceLeaving
	r.publishInstances()
	u.sidecar.stop()
	<-u.sidecar.done
	return nil
}

// RestartEntries kills entries and starts new ones at the same addresses. target
// is the ID of one entry or "all".
func (r *Rig) RestartEntries(target string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, p := range r.entries {
		if target != "all" && !strings.EqualFold(target, string(p.instance.ID)) {
			continue
		}
		p.role.Kill()
		<-p.done
		listener, err := net.Listen("tcp", p.instance.Listen.String())
		if err != nil {
			return err
		}
		r.entries[i] = r.startEntry(p.instance, listener)
	}
	return nil
}

// StopEntry stops an entry gracefully.
func (r *Rig) StopEntry(i int) {
	r.mu.Lock()
	p := r.entries[i]
	r.mu.Unlock()
	p.stop()
	<-p.done
}
