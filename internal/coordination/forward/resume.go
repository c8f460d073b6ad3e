package forward

import (
	"context"
	"time"

	"comfreyworks"
	"comfreyworks/internal/state/streamorigins"
)

const (
	// maxOriginWait is how long a request that takes up a stream waits for news of the
	// release that began it, which reaches other gateways while the stream is still
	// waiting for its first event. originPollInterval is the pause between two checks.
	maxOriginWait      = 200 * time.Millisecond
	originPollInterval = 50 * time.Millisecond
	// retryAfterUnknownOrigin is the Retry-After time of a stream that is not
	// continued because nobody knows which release began it.
	retryAfterUnknownOrigin = 300 * time.Millisecond
)

// findOrigin finds the release that began the stream that a request takes up, and the
// pool to which it belongs. It returns false if the release is unknown: what two
// releases write does not fit together.
func (f *Forwarder) findOrigin(ctx context.Context, request *Request) (release uint32, pool comfreyworks.Pool, ok bool) {
	for waited := time.Duration(0); ; waited += originPollInterval {
		if release, ok := f.lookUpOrigin(ctx, request.Resumes); ok {
			return release, f.poolOf(release, request), true
		}
		if only, ok := f.options.Catalog.OnlyRelease(request.Pool); ok {
			return streamorigins.Release(request.Pool, only), request.Pool, true
		}
		if waited >= maxOriginWait || !comfreyworks.Sleep(ctx, f.options.Clock, originPollInterval) {
			return 0, request.Pool, false
		}
	}
}

func (f *Forwarder) lookUpOrigin(ctx context.Context, stream comfreyworks.RequestID) (uint32, bool) {
	if f.options.Origins == nil || stream == "" {
		return 0, false
	}
	return f.options.Origins.StreamOrigin(ctx, stream)
}

// poolOf returns the pool of the request's route in which upstreams run a release, or
// the request's own pool if there is none.
func (f *Forwarder) poolOf(release uint32, request *Request) comfreyworks.Pool {
	for _, split := range request.Route.Pools {
		for _, upstream := range f.options.Catalog.Upstreams(split.Pool) {
			if streamorigins.Release(split.Pool, upstream.Release) == release {
				return split.Pool
			}
		}
	}
	return request.Pool
}

// beginsStream reports whether an attempt would begin a stream that callers may take
// up at any gateway.
func (r *activeRequest) beginsStream() bool {
	route := r.request.Route
	return route.Kind == comfreyworks.RouteStream && route.Resumable && r.lastEventID == ""
}

// recordOrigin records the release to which an attempt that begins a stream is sent,
// before the stream's first event, so that it is known elsewhere if this process ends.
func (a *attempt) recordOrigin() {
	if a.options.Origins != nil && a.beginsStream() {
		a.options.Origins.Add(a.request.Message.ID, a.upstreamRelease())
	}
}

func (a *attempt) upstreamRelease() uint32 {
	return streamorigins.Release(a.pick.Upstream.Pool, a.pick.Upstream.Release)
}
