package forward

import (
	"io"
	"slices"
	"time"

	"comfreyworks"
	"comfreyworks/internal/coordination/balance"
)

// hearPart records that a part of the answer has arrived, and whether it belongs to the body.
func (a *attempt) hearPart(ofBody bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t := a.takeover; t != nil {
		t.partAt, t.bodyBegun = a.options.Clock.Now(), t.bodyBegun || ofBody
	}
}

// watchedBody records when its parts arrive.
type watchedBody struct {
	io.ReadCloser
	attempt *attempt
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.attempt.hearPart(true)
	}
	return n, err
}

// pause returns for how long nothing at all has arrived from the upstream. An answer that
// arrives slowly is silent in the sense of the limit, but its upstream is not dead.
func (t *takeover) pause() time.Duration {
	return t.silent.options.Clock.Since(comfreyworks.Later(t.heardAt, t.partAt))
}

// nextCheck returns the time until another upstream is looked for again, if there was none and
// nothing has arrived for some time. Some obstacles end after maxPause.
func (t *takeover) nextCheck(pause time.Duration) time.Duration {
	if pause < maxPause {
		return min(t.limit, maxPause-pause)
	}
	return t.limit
}

// answerBegun reports whether a part of the body has arrived from the upstream of the attempt.
func (a *attempt) answerBegun() bool { return a.takeover != nil && a.takeover.bodyBegun }

// returnObstacle returns why the request must not leave the upstream of the attempt, which has
// paused for some time: for the given duration it could return neither there nor to another
// upstream that it has left. An upstream that has paused for maxPause is taken for dead. One
// whose weights may soon begin no answer any more is kept only if its answer has begun.
func (a *attempt) returnObstacle(pause, within time.Duration) string {
	if pause >= maxPause {
		return ""
	}
	obstacle := a.obstacleAt(a.asLeft(), within)
	switch {
	case obstacle == "", !a.answerBegun() && obstacle == string(balance.ReturnSupersededWeights):
		return ""
	case slices.ContainsFunc(a.left, func(left leftUpstream) bool { return a.obstacleAt(left, within) == "" }):
		return ""
	}
	return "no return to it, " + obstacle
}

// pickWithdrawn chooses the upstream at which the request was withdrawn in favor of the silent
// one, once that is taken for dead. No other one may run the request then.
func (t *takeover) pickWithdrawn(pause time.Duration) *balance.Pick {
	if t.successor != nil || t.abandoned || t.lost || pause < maxPause {
		return nil
	}
	r := t.silent.activeRequest
	reason := r.reason
	defer func() { r.reason = reason }()
	upstreams := slices.DeleteFunc(r.returnable(), func(upstream comfreyworks.UpstreamIncarnation) bool {
		return r.closedFor(&leftUpstream{UpstreamIncarnation: upstream}) > 0
	})
	return r.pickReturnTo(upstreams, false)
}

// keepsSilent reports whether the silent upstream must not be left for a successor that was
// asked, and records why. answered means that the answer of the successor has begun. If neither
// is certain to go on, the one that runs the request already is kept.
func (t *takeover) keepsSilent(answered bool) bool {
	pause := t.pause()
	if t.abandoned || t.lost || pause >= maxPause {
		return false
	}
	obstacle := t.silent.returnObstacle(pause, maxPause-takeoverOverlap)
	if obstacle == "" && !answered && t.bodyBegun {
		obstacle = "no answer from another one"
	}
	if obstacle == "" {
		return false
	}
	t.recordObstacle(obstacle, t.silent.options.Clock.Since(t.heardAt))
	t.timer.Reset(t.nextCheck(pause))
	return true
}
