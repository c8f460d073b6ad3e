package sidecar

import (
	"context"
	"errors"
	"time"

	"comfreyworks"
	"comfreyworks/internal/protocol/peer"
)

// maxReadWait bounds how long a read is held back for news.
const maxReadWait = 5 * time.Second

// errNoEngine answers calls that only make sense beside an engine.
var errNoEngine = errors.New("no engine beside this sidecar")

// errNoService answers calls that only make sense beside a plain service.
var errNoService = errors.New("no plain service beside this sidecar")

// receiver carries the RPC methods; net/rpc fixes their form.
type receiver struct{ sidecar *Sidecar }

// Start takes or refuses a stream.
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

// Read answers with the frames of a stream from a number on.
func (r *receiver) Read(args peer.ReadArgs, reply *comfreyworks.StreamUpdate) error {
	if r.sidecar.streams == nil {
		return errNoEngine
	}
	ctx, cancel := context.WithTimeout(r.sidecar.stop, min(args.Wait, maxReadWait))
	defer cancel()
	news, err := r.sidecar.streams.Read(ctx, args.Stream, args.From)
	*reply = news
	return err
}

// Cancel gives a stream up.
func (r *receiver) Cancel(args peer.CancelArgs, _ *peer.Nothing) error {
	if r.sidecar.streams == nil {
		return errNoEngine
	}
	r.sidecar.streams.Cancel(args.Stream)
	return nil
}

// Call makes one call to the plain service.
func (r *receiver) Call(work comfreyworks.ServiceAttempt, reply *comfreyworks.ServiceOutcome) error {
	if r.sidecar.calls == nil {
		return errNoService
	}
	if r.sidecar.starting.Load() {
		*reply = refused(comfreyworks.RefusedStarting, "")
		return nil
	}
	ctx, cancel := context.WithTimeout(r.sidecar.stop, work.Remaining)
	defer cancel()
	*reply = r.sidecar.calls.do(ctx, work)
	return nil
}

// Place chooses an upstream from this sidecar's directory shard.
func (r *receiver) Place(request comfreyworks.PlaceRequest, reply *comfreyworks.Placement) error {
	if request.Pool != r.sidecar.pool().Name || len(request.Chain) > comfreyworks.MaxPrefixLevels {
		return errors.New("bad placement request")
	}
	*reply = r.sidecar.chooser.Choose(request.Chain, request.Exclude)
	return nil
}

// Report takes another sidecar's report.
func (r *receiver) Report(args peer.ReportArgs, reply *peer.ReportReply) error {
	if args.Pool != r.sidecar.pool().Name {
		return errors.New("report for another pool")
	}
	reply.NeedFull = r.sidecar.shard.Report(args.Report)
	return nil
}

// Pull answers with the configuration that changed after a revision.
func (r *receiver) Pull(args peer.PullArgs, reply *comfreyworks.ConfigUpdate) error {
	*reply = r.sidecar.config.Pull(args.Since)
	return nil
}
