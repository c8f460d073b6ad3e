package comfreyworks

import (
	"context"
	"net/http"
	"time"
)

// UpstreamAdvice is what an upstream says about itself in the header of an answer,
// whatever else it answers.
type UpstreamAdvice struct {
	// Leaving means that the upstream is about to stop and must get no further
	// requests.
	Leaving bool
}

// UpstreamIncarnation identifies one run of an upstream.
type UpstreamIncarnation struct {
	ID InstanceID
	// Started may be zero.
	Started time.Time
}

// Incarnation returns the incarnation that the entry describes.
func (u *Upstream) Incarnation() UpstreamIncarnation {
	return UpstreamIncarnation{ID: u.ID, Started: u.Started}
}

// Advice returns the advice in the header of an upstream's answer. An answer that
// says that another upstream uses the address contains none: it comes from that
// other one.
func (n *HeaderNames) Advice(status int, header http.Header) UpstreamAdvice {
	if status == http.StatusMisdirectedRequest && header.Get(n.Weights) == "" {
		return UpstreamAdvice{}
	}
	return UpstreamAdvice{Leaving: header.Get(n.Leaving) == "1"}
}

// adviceKey is the context key of the receiver of advice.
type adviceKey struct{}

// WithAdvice returns a context for calls to one upstream by an Exchanger, a
// WeightsLoader or a CacheSource. They call receive with the advice in each answer,
// before the call returns, also if it then returns an error.
func WithAdvice(ctx context.Context, receive func(UpstreamAdvice)) context.Context {
	return context.WithValue(ctx, adviceKey{}, receive)
}

// ReportAdvice passes advice to the receiver in the context, if there is any of
// both.
func ReportAdvice(ctx context.Context, advice UpstreamAdvice) {
	if receive, ok := ctx.Value(adviceKey{}).(func(UpstreamAdvice)); ok && advice != (UpstreamAdvice{}) {
		receive(advice)
	}
}
