// Package peer holds the messages between the system's own processes, and the
// client and server that carry them over net/rpc.
//
// A connection opens with proofs of the shared secret, from both sides. Every call has a
// deadline. A call that gets no answer in time makes the connection suspect:
// it is closed and the next call dials anew, because a connection may have
// gone silent for good while new ones work. Calls are therefore safe to
// repeat: a stream is started under an identifier, frames are read from a
// number, reports carry a sequence.
//
// # Usage
//
//	clients := peer.NewClients(peer.ClientOptions{Secret: secret, Clock: clock})
//	news, err := clients.Sidecar(instance).Read(ctx, id, 7, time.Second)
//
// Errors have the kinds listed at Kind. KindNotSent and KindSecret wrap
// comfreyworks.ErrNotSent.
package peer

import (
	"time"

	"comfreyworks"
)

// StartArgs asks a sidecar to start a stream. Starting a stream twice under
// one identifier is the same as starting it once.
type StartArgs struct {
	Work comfreyworks.GenerateAttempt
}

// StartReply answers StartArgs. A nil refusal means that the stream exists.
type StartReply struct {
	Refusal *comfreyworks.Refusal
}

// ReadArgs asks for the frames of a stream from a number on.
type ReadArgs struct {
	Stream comfreyworks.StreamID
	From   int
	// Wait bounds how long the sidecar holds the call back for news.
	Wait time.Duration
}

// CancelArgs gives a stream up.
type CancelArgs struct {
	Stream comfreyworks.StreamID
}

// ReportArgs carries a sidecar's report to a directory shard.
type ReportArgs struct {
	Pool   comfreyworks.Pool
	Report comfreyworks.DirectoryReport
}

// ReportReply answers ReportArgs.
type ReportReply struct {
	NeedFull bool
}

// PullArgs asks for the configuration that changed after a revision.
type PullArgs struct {
	Since comfreyworks.ConfigRevision
}

// Nothing is an empty reply.
type Nothing struct{}
