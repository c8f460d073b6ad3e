package comfreyworks

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// UpstreamAdvice is what an upstream says about itself in the header of an answer,
// whatever else it answers.
type UpstreamAdvice struct {
	// Leaving means that the upstream is about to stop and must get no further
	// requests.
	Leaving bool
	// ClosedFor is how long the upstream wants no requests from this gateway, from
	// zero, which means that it does not ask for that, to MaxClosedTime.
	ClosedFor time.Duration
}

// MaxClosedTime is the longest time for which one answer closes an upstream. It is in
// the range of the time limits of routes. An upstream that wants longer is asked by one
// request after that time, and says so again.
const MaxClosedTime = 30 * time.Second

// UpstreamIncarnation identifies one run of an upstream.
type UpstreamIncarnation struct {
	ID InstanceID
	// Started may be zero.
	Started time.Time
}

// Equal reports whether both are the same run of the same upstream.
func (i UpstreamIncarnation) Equal(other UpstreamIncarnation) bool {
	return i.ID == other.ID && i.Started.Equal(other.Started)
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
	advice := UpstreamAdvice{Leaving: header.Get(n.Leaving) == "1"}
	if status == http.StatusServiceUnavailable {
		advice.ClosedFor = parseRetryAfter(header.Get("Retry-After"))
	}
	return advice
}

// parseRetryAfter returns the time in a Retry-After header: seconds, which may have
// a fraction. The result is zero if it is missing, negative or not a number, and at
// most MaxClosedTime.
func parseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	switch {
	case err != nil && !errors.Is(err, strconv.ErrRange), math.IsNaN(seconds), seconds <= 0:
		return 0
	case seconds >= MaxClosedTime.Seconds():
		return MaxClosedTime
	default:
		return time.Duration(seconds * float64(time.Second))
	}
}

// adviceKey is the context key of the receiver of advice.
type adviceKey struct{}

// WithAdvice returns a context for calls to one upstream by an Exchanger, a
// WeightsLoader or a CacheSource. They call receive with the advice in each answer,
// in the goroutine of the call, also if the call then returns an error.
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
