package crashes

import "time"

const (
	// recently is how long a part is known to have been answered.
	recently = 5 * time.Minute
	// maxRecent limits the number of recent parts; at most there are twice as many.
	maxRecent = 1 << 14
)

// recentParts is a set of parts that forgets those that were added long ago: after keep
// at least, and twice as long at most.
type recentParts struct {
	keep            time.Duration
	current, former map[uint32]struct{}
	since           time.Time // start of current
}

func (r *recentParts) add(key uint32, now time.Time) {
	r.forget(now)
	if len(r.current) >= maxRecent {
		r.former, r.current, r.since = r.current, nil, now
	}
	if r.current == nil {
		r.current = make(map[uint32]struct{})
	}
	r.current[key] = struct{}{}
}

func (r *recentParts) has(key uint32, now time.Time) bool {
	r.forget(now)
	_, current := r.current[key]
	_, former := r.former[key]
	return current || former
}

func (r *recentParts) forget(now time.Time) {
	for range 2 {
		if now.Sub(r.since) > r.keep {
			r.former, r.current, r.since = r.current, nil, r.since.Add(r.keep)
		}
	}
	if r.current == nil && r.former == nil {
		r.since = now
	}
}
