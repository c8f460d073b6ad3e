package crashes

import "time"

// refusalCounts counts the requests of a gateway, and those that it refused because of
// each part, in the current and the previous refusalWindow. The zero value is empty. It
// is not synchronized.
type refusalCounts struct {
	since             time.Time
	current, previous requestCounts
}

type requestCounts struct {
	requests int
	refused  map[uint32]int
}

// count counts a request that was refused because of a part, or with key zero one that
// was not refused.
func (c *refusalCounts) count(key uint32, now time.Time) {
	c.advance(now)
	c.current.requests++
	if key == 0 {
		return
	}
	if c.current.refused == nil {
		c.current.refused = make(map[uint32]int)
	}
	c.current.refused[key]++
}

// many reports whether a large share of the requests is refused because of a part.
func (c *refusalCounts) many(key uint32, now time.Time) bool {
	c.advance(now)
	refused := c.current.refused[key] + c.previous.refused[key]
	requests := c.current.requests + c.previous.requests
	return refused >= minRefusals && refused*maxRequestsPerRefusal >= requests
}

func (c *refusalCounts) advance(now time.Time) {
	switch age := now.Sub(c.since); {
	case age >= 2*refusalWindow:
		*c = refusalCounts{since: now}
	case age >= refusalWindow:
		*c = refusalCounts{since: now, previous: c.current}
	}
}
