// Package peer defines the messages between the processes of this system, and
// the client and server that exchange them over net/rpc.
//
// A connection starts with a handshake in which both sides prove that they know
// the shared secret. Every call has a deadline. If calls time out and nothing
// arrives on a connection, it is retired and the next call dials a new one,
// because a connection can stay silent forever while new ones work. The caller
// does not know whether such a call was executed, so all methods but Call are
// safe to repeat: streams are started under an ID, frames are read from a given
// number, and reports carry a sequence number.
//
// # Usage
//
//	clients := peer.NewClients(peer.ClientOptions{Secret: secret, Clock: clock})
//	update, err := clients.Sidecar(instance).Read(ctx, id, 7, time.Second)
//
// Errors have the kinds listed at Kind. Those with KindNotSent and KindSecret
// wrap comfreyworks.ErrNotSent, those with KindNoAnswer comfreyworks.ErrNoAnswer.
package peer

import (
	"time"

	"comfreyworks"
)

// StartArgs are the arguments of Start. Starting a stream again under the same ID
// has no effect.
type StartArgs struct {
	Work comfreyworks.GenerateAttempt
}

// StartReply is the reply of Start. If Refusal is nil, the stream exists.
type StartReply struct {
	Refusal *comfreyworks.Refusal
}

// ReadArgs are the arguments of Read.
type ReadArgs struct {
	Stream comfreyworks.StreamID
	// From is the number of the first frame to return.
	From int
	// Wait is the maximum time that the sidecar waits for new frames.
	Wait time.Duration
}

// CancelArgs are the arguments of Cancel.
type CancelArgs struct {
	Stream comfreyworks.StreamID
}

// ReportArgs are the arguments of Report, which sends a report to a directory
// shard of a pool.
type ReportArgs struct {
	Pool   comfreyworks.Pool
	Report comfreyworks.DirectoryReport
}

// ReportReply is the reply of Report.
type ReportReply struct {
	// NeedFull means that the next report to this shard has to be a full one.
	NeedFull bool
}

// PullArgs are the arguments of Pull, which returns the parts of the
// configuration that changed after a revision.
type PullArgs struct {
	Since comfreyworks.ConfigRevision
}

// FindStreamArgs are the arguments of FindStream, which a leaf calls at its relay.
type FindStreamArgs struct {
	// Stream is the hash of the ID of the request that began the stream.
	Stream uint32
}

// FindStreamReply is the reply of FindStream.
type FindStreamReply struct {
	// Release is the hash of the pool and the release, if Found.
	Release uint32
	Found   bool
}

// Empty is the reply of methods that return nothing.
type Empty struct{}
