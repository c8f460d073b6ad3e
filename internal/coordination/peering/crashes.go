package peering

import (
	"comfreyworks"
	"comfreyworks/internal/state/crashes"
)

const (
	// maxCrashes limits the suspicions that are taken from one message. It is the number
	// that a log holds.
	maxCrashes = 1 << 14
	// unknownProcess is the process in GatewayState.CrashesKnown of a gateway that does
	// not know the receiver's list. It is not zero, which is what gateways that do not
	// know of suspicions send.
	unknownProcess = 1
)

// requestCrashes adds the suspicions of this gateway and of its leaves to a request to
// a peer. The mutex must be held.
func (p *Peering) requestCrashes(request *comfreyworks.GatewayState, to *member) {
	request.CrashesKnown = comfreyworks.ListVersion{Process: unknownProcess}
	if to == nil {
		return
	}
	if to.crashesKnown.Process != 0 {
		request.CrashesKnown = to.crashesKnown
	}
	request.Crashes, request.CrashesList.Version = p.options.Crashes.After(to.crashesSent, crashes.Local)
}

// replyCrashes adds suspicions to a reply: to a leaf all that it does not know; to a
// relay those of this gateway and of its leaves, and all if it knows none of this
// process, because the gateways that would tell it of the others may be gone.
func (p *Peering) replyCrashes(reply, to *comfreyworks.GatewayState) {
	known, passedOn := to.CrashesKnown, crashes.Local
	if known.Process == 0 {
		return
	}
	if known.Process != p.members.version.Process {
		known.Version, passedOn = 0, crashes.Remote
	}
	if to.Role == comfreyworks.PeerLeaf {
		passedOn = crashes.Remote
	}
	reply.Crashes, reply.CrashesList.Version = p.options.Crashes.After(known.Version, passedOn)
	if reply.CrashesList.Version > 0 {
		reply.CrashesList.Process = p.members.version.Process
	}
}

// mergeCrashes stores the suspicions that a peer sent.
func (p *Peering) mergeCrashes(list []comfreyworks.CrashSuspicion, from crashes.Origin) {
	p.options.Crashes.Merge(list[:min(len(list), maxCrashes)], from)
}

// recordCrashesReply stores the suspicions in a peer's reply and up to which version
// each side knows the log of the other. The mutex must be held.
func (p *Peering) recordCrashesReply(m *member, reply, request *comfreyworks.GatewayState, restarted bool) {
	p.mergeCrashes(reply.Crashes, crashes.Remote)
	if request.Role != p.role() {
		m.forgetCrashes()
		return
	}
	m.crashesKnown, m.crashesSent = reply.CrashesList, request.CrashesList.Version
	if restarted {
		m.crashesSent = 0
	}
}

// forgetCrashes makes both sides send their suspicions again. It is called when the
// role of this gateway changes, because what it sent as a relay was not passed on to
// other relays, and when the member does not answer: what it or this gateway was told
// meanwhile may have come from a gateway that is gone.
func (m *member) forgetCrashes() {
	m.crashesKnown, m.crashesSent = comfreyworks.ListVersion{}, 0
}
