package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/protocol/listener"
	"comfreyworks/internal/state/meter"
)

// maxLoggedClosings is how many lines about closed connections are logged a second.
const maxLoggedClosings = 20

// closings counts the connections of callers that ended, and logs those that may have
// ended in the middle of a request.
type closings struct {
	clock  comfreyworks.Clock
	logger *zap.Logger
	meter  *meter.Meter

	mu sync.Mutex
	// since is when the current second of the log began, logged how many lines it has,
	// and dropped how many lines were dropped since the last one that was logged.
	since           time.Time
	logged, dropped int
}

func (c *closings) record(closed listener.Closed) {
	c.meter.Add("comfrey_connections_closed_total", meter.Labels{Class: comfreyworks.Class(closed.Reason)}, 1)
	if closed.Arrived == 0 && closed.Unread == 0 && closed.Reason != listener.ReasonUnanswered && closed.Reason != listener.ReasonBodyTimeout {
		return
	}
	dropped, ok := c.mayLog()
	if !ok {
		return
	}
	c.logger.Warn("connection closed during a request", zap.String("reason", string(closed.Reason)),
		zap.Stringer("local", closed.Local), zap.Stringer("remote", closed.Remote),
		zap.Int("arrived", closed.Arrived), zap.Int("unread", closed.Unread), zap.Int64("written", closed.Written),
		zap.Duration("elapsed", closed.Elapsed), zap.Duration("limit", closed.Limit), zap.Duration("limit-then", closed.LimitThen),
		zap.Int("not-logged", dropped))
}

// mayLog reports whether a line may be logged now, and how many were dropped before it.
func (c *closings) mayLog() (dropped int, ok bool) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.since) >= time.Second {
		c.since, c.logged = now, 0
	}
	if c.logged >= maxLoggedClosings {
		c.dropped++
		return 0, false
	}
	c.logged++
	dropped, c.dropped = c.dropped, 0
	return dropped, true
}
