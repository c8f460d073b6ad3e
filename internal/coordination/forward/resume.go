package forward

import (
	"context"
	"time"

	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/state/streamorigins"
)

const (
	// maxOriginWait is how long a request that takes up a stream waits for news of the
	// release that began it, which reaches other gateways while the stream is still
	// waiting for its first event. originPollInterval is the pause between two checks.
	maxOriginWait      = 200 * time.Millisecond
	originPollInterval = 50 * time.Millisecond
	// originExchangeTime is how long the first event of a stream is held after its origin
	// changed, so that it is known elsewhere if this process ends: a leaf calls its relay
	// every 0.25 s, and relays call each other every 0.42 s in the largest fleet.
	originExchangeTime = 700 * time.Millisecond
	// retryAfterUnknownOrigin is the Retry-After time of a stream that is not
	// continued because nobody knows which release began it.
	retryAfterUnknownOrigin = 300 * time.Millisecond
)

// findOrigin finds the release that began the stream that a request takes up, and the
// pool to which it belongs. It returns false if the release is unknown: what two
// releases write does not fit together.
func (f *Forwarder) findOrigin(ctx context.Context, request *Request) (release uint32, pool comfreyworks.Pool, ok bool) {
	deadline := f.options.Clock.Now().Add(maxOriginWait)
	for {
		if release, ok := f.lookUpOrigin(ctx, request.Resumes); ok {
			return release, f.poolOf(release, request), true
		}
		if only, ok := f.options.Catalog.OnlyRelease(request.Pool); ok {
			release := streamorigins.Release(request.Pool, only)
			if f.options.Origins != nil && request.Resumes != "" {
				// The caller may take the stream up again when there are several releases.
				f.options.Origins.Add(request.Resumes, release)
			}
			return release, request.Pool, true
		}
		if !f.options.Clock.Now().Before(deadline) || !comfreyworks.Sleep(ctx, f.options.Clock, originPollInterval) {
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
	if a.options.Origins == nil || !a.beginsStream() {
		return
	}
	release := a.upstreamRelease()
	if a.sentTo != 0 && a.sentTo != release {
		a.originChangedAt = a.options.Clock.Now()
	}
	a.sentTo = release
	a.options.Origins.Add(a.request.Message.ID, release)
}

// awaitOriginExchange waits, before the first event is passed on, until other gateways no
// longer take the release of an earlier attempt for the one that begins the stream. They
// then know both and continue neither. The wait ends early if the attempt does.
func (a *attempt) awaitOriginExchange() {
	a.mu.Lock()
	changedAt := a.originChangedAt
	a.mu.Unlock()
	if changedAt.IsZero() {
		return
	}
	if wait := a.options.Clock.Until(changedAt.Add(originExchangeTime)); wait > 0 {
		a.options.Logger.Info("first event held until other gateways know that another release began the stream",
			zap.String("request", string(a.request.Message.ID)), zap.Duration("for", wait))
		comfreyworks.Sleep(a.ctx, a.options.Clock, wait)
	}
}

func (a *attempt) upstreamRelease() uint32 {
	return streamorigins.Release(a.pick.Upstream.Pool, a.pick.Upstream.Release)
}
