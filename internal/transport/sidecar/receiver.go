package sidecar

import (
	"context"
	"errors"
	"time"

	"comfreyworks"
	"comfreyworks/internal/protocol/peer"
)

// maxReadWait limits how long Read waits for new frames.
const maxReadWait = 5 * time.Second

// errNoEngine is returned for calls that need an engine as upstream.
var errNoEngine = errors.New("no engine beside this sidecar")

// errNoService is returned for calls that need a plain service as upstream.
var errNoService = errors.New("no plain service beside this sidecar")

// receiver has the methods that are called over net/rpc, which prescribes their
// signatures.
type receiver struct{ sidecar *Sidecar }

// Start starts a stream or refuses it.
func (r *receiver) Start(args peer.StartArgs, reply *peer.StartReply) error {
	if r.sidecar.streams == nil {
		return errNoEngine
	}
	if r.sidecar.starting.Load() {
		reply.Refusal = &comfreyworks.Refusal{Reason: comfreyworks.RefusedStarting}
		return nil
	}
	reply.Refusal = r.sidecar.streams.Start(args.Work)
	return nil
}

// Read returns the frames of a stream, starting with frame number args.From. If
// there are none yet, it waits for the next frame or the end.
func (r *receiver) Read(args peer.ReadArgs, reply *comfreyworks.StreamUpdate) error {
	if r.sidecar.streams == nil {
		return errNoEngine
	}
	ctx, cancel := context.WithTimeout(r.sidecar.serveCtx, min(args.Wait, maxReadWait))
	defer cancel()
	update, err := r.sidecar.streams.Read(ctx, args.Stream, args.From)
	*reply = update
	return err
}

// Cancel stops a stream.
func (r *receiver) Cancel(args peer.CancelArgs, _ *peer.Empty) error {
	if r.sidecar.streams == nil {
		return errNoEngine
	}
	r.sidecar.streams.Cancel(args.Stream)
	return nil
}

// Call calls the plain service once.
func (r *receiver) Call(attempt comfreyworks.ServiceAttempt, reply *comfreyworks.ServiceOutcome) error {
	if r.sidecar.serviceCalls == nil {
		return errNoService
	}
	if r.sidecar.starting.Load() {
		*reply = refusedOutcome(comfreyworks.RefusedStarting, "")
		return nil
	}
	ctx, cancel := context.WithTimeout(r.sidecar.serveCtx, attempt.Remaining)
	defer cancel()
	*reply = r.sidecar.serviceCalls.call(ctx, attempt)
	return nil
}

// Place chooses an upstream with this sidecar's directory shard.
func (r *receiver) Place(request comfreyworks.PlaceRequest, reply *comfreyworks.Placement) error {
	if request.Pool != r.sidecar.pool().Name || len(request.Chain) > comfreyworks.MaxPrefixLevels {
		return errors.New("bad placement request")
	}
	*reply = r.sidecar.chooser.Choose(request.Chain, request.Exclude)
	return nil
}

// Report applies another sidecar's report to the directory shard.
func (r *receiver) Report(args peer.ReportArgs, reply *peer.ReportReply) error {
	if args.Pool != r.sidecar.pool().Name {
		return errors.New("report for another pool")
	}
	reply.NeedFull = r.sidecar.shard.Report(args.Report)
	return nil
}

// Pull returns the sections of the configuration that changed after a revision.
func (r *receiver) Pull(args peer.PullArgs, reply *comfreyworks.ConfigUpdate) error {
	*reply = r.sidecar.config.Pull(args.Since)
	return nil
}
