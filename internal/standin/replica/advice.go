package replica

import (
	"net/http"
	"strconv"
	"time"

	"comfreyworks"
)

// TurnedAway is a request that a replica has turned away because it wanted no
// requests until a time.
type TurnedAway struct {
	ID        comfreyworks.RequestID
	At, Until time.Time
}

// SetLeaving sets whether the replica says in all answers that it is leaving.
func (rep *Replica) SetLeaving(leaving bool) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	rep.leaving = leaving
}

// SetAdviceHeader adds to the header of an answer whether the replica is leaving.
func (rep *Replica) SetAdviceHeader(header http.Header) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	if rep.leaving {
		header.Set(rep.options.Headers.Leaving, "1")
	}
}

// SetRetryAfter sets the Retry-After header of answers with status 503; empty means
// none.
func (rep *Replica) SetRetryAfter(text string) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	rep.retryAfter = text
}

func (rep *Replica) setRetryAfter(header http.Header) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	if rep.retryAfter != "" {
		header.Set("Retry-After", rep.retryAfter)
	}
}

// Close makes the replica turn all requests away until a time, and say so with
// Retry-After.
func (rep *Replica) Close(until time.Time) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	rep.closedUntil = until
}

// ClosedFor returns how much longer the replica turns requests away; zero or less
// means that it does not.
func (rep *Replica) ClosedFor() time.Duration {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return time.Until(rep.closedUntil)
}

// TurnedAway returns the requests that Close has turned away, in order.
func (rep *Replica) TurnedAway() []TurnedAway {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return append([]TurnedAway(nil), rep.turnedAway...)
}

// turnsAway answers a request if the replica is closed, and reports whether it is.
func (rep *Replica) turnsAway(w http.ResponseWriter, r *http.Request) bool {
	names := &rep.options.Headers
	rep.mu.Lock()
	defer rep.mu.Unlock()
	left := time.Until(rep.closedUntil)
	if left <= 0 {
		return false
	}
	rep.turnedAway = append(rep.turnedAway, TurnedAway{
		ID: comfreyworks.RequestID(r.Header.Get(names.RequestID)), At: time.Now(), Until: rep.closedUntil,
	})
	w.Header().Set(names.NotRun, "1")
	w.Header().Set("Retry-After", strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}
