package replica

import (
	"net/http"
	"slices"
	"strings"

	"comfreyworks"
)

// CrashOn makes the replica crash whenever it begins to answer a prompt with the given
// part: after the header of the answer it calls crash, which ends its connections, and
// aborts the request. An empty part never does.
func (rep *Replica) CrashOn(part string, crash func()) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	rep.crashPart, rep.crash = part, crash
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

// crashIfPart crashes if the prompt of a run has the part of CrashOn.
func (rep *Replica) crashIfPart(w http.ResponseWriter, run *Run) {
	rep.mu.Lock()
	crash := rep.crash
	run.Crashed = rep.crashPart != "" && slices.ContainsFunc(
		strings.Split(run.Header.Get(rep.options.Headers.Prefix), ","),
		func(entry string) bool { return strings.HasPrefix(strings.TrimSpace(entry), rep.crashPart+":") },
	)
	crashed := run.Crashed
	rep.mu.Unlock()
	if !crashed {
		return
	}
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	crash()
	panic(http.ErrAbortHandler)
}
