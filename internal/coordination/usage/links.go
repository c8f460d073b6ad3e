package usage

import "comfreyworks"

// News is what a peer reports.
type News struct {
	From comfreyworks.InstanceID
	// Near means that the peer relies on this gateway to pass its counts on to relays.
	Near bool
	// Relays means that both sides are relays.
	Relays bool
	// List identifies the process of the peer and what its counts are summed over.
	List comfreyworks.ListVersion
	// Whole means that all counts are listed.
	Whole bool
	// Gateways is the number of gateways whose recent counts are in the sums.
	Gateways int
	Counts   []comfreyworks.UsageCount
}

// link holds what a peer has reported.
type link struct {
	process uint64
	near    bool
	// relays means that both sides are relays.
	relays bool
	// serial distinguishes the links to one peer over time.
	serial   uint64
	gateways int
	heardAt  float64
	// whole means that all counts of the peer are known; those that are not in counts
	// are zero.
	whole  bool
	counts map[uint32]*linkCount
}

// linkCount is what a peer has reported about one workspace.
type linkCount struct {
	last totals
	// added is what was added to the counts of this gateway because of the reports.
	added totals
	// taken and asked are the recent rates.
	taken, asked decaying
}

// fresh reports whether what the gateways behind a link admit is known.
func (l *Limiter) fresh(from *link, now float64) bool { return now-from.heardAt <= l.expiry(from) }

// expiry returns the age of the last report above which what the gateways behind a link
// admit counts as unknown.
func (l *Limiter) expiry(from *link) float64 {
	if from.relays {
		return l.relayExpiry.Seconds()
	}
	return newsExpiry.Seconds()
}

// delay returns how old the counts of a link were when they arrived.
func (l *link) delay() float64 {
	if l.near {
		return 0
	}
	return relayDelay.Seconds()
}

// coverage returns the part of a limit that this gateway and those whose recent counts
// it knows may use together.
func (l *Limiter) coverage(now float64) float64 {
	heard := 1
	for _, link := range l.links {
		if l.fresh(link, now) {
			heard += link.gateways
		}
	}
	gateways := l.gateways
	if !l.informed && now < startTime.Seconds() {
		gateways = max(gateways, startGateways)
	}
	return min((1+coverageOverageShare*l.options.Overage)*float64(heard)/float64(gateways), 1)
}

// pending returns what others have taken since their last reports, at their rate
// before that.
func (l *Limiter) pending(a *account, now float64) float64 {
	pending := 0.0
	for _, link := range l.links {
		if now-link.heardAt > linkExpiry.Seconds() {
			continue
		}
		if count := link.counts[a.key]; count != nil {
			age := min(now-link.heardAt, l.expiry(link)) + link.delay()
			pending += count.taken.rate(link.heardAt) * age
		}
	}
	return pending
}

// othersDemand returns what callers ask of other gateways per second.
func (l *Limiter) othersDemand(a *account, now float64) float64 {
	demand := 0.0
	for _, link := range l.links {
		if count := link.counts[a.key]; count != nil {
			demand += count.asked.rate(now)
		}
	}
	return demand
}

// Record stores what a peer reports.
func (l *Limiter) Record(news News) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readLimits()
	l.removeSilent(now)
	known := l.links[news.From]
	if known == nil {
		known = &link{heardAt: now, counts: make(map[uint32]*linkCount)}
		l.links[news.From] = known
	}
	late := !l.fresh(known, now)
	counts, coverage := news.Counts[:min(len(news.Counts), maxCounts)], l.coverage(now)
	for _, count := range counts {
		if a := l.accounts[count.Workspace]; a != nil && a.hasLimit() {
			a.refill(now, coverage, l.pending(a, now))
		}
	}
	if known.process != news.List.Process || (known.near && late) {
		// Another relay may have passed on what a leaf took while it was not heard of.
		l.linkSerial++
		known.process, known.serial = news.List.Process, l.linkSerial
		known.counts, known.whole = make(map[uint32]*linkCount), false
	}
	known.near, known.relays = news.Near, news.Relays
	known.heardAt, known.gateways = now, min(max(news.Gateways, 0), maxGateways)
	for _, count := range counts {
		l.recordCount(known, &count, now, late, news.Whole)
	}
	known.whole = known.whole || news.Whole
}

// recordCount stores the count of one workspace that a peer reports.
func (l *Limiter) recordCount(from *link, count *comfreyworks.UsageCount, now float64, late, whole bool) {
	reported := totals{min(max(count.Taken, -maxCount), maxCount), min(max(count.Refused, 0), maxCount)}
	a := l.accounts[count.Workspace]
	known := from.counts[count.Workspace]
	if known == nil {
		if len(from.counts) >= maxCounts {
			return
		}
		known = &linkCount{}
		from.counts[count.Workspace] = known
		if !from.whole && (count.Known || !whole) {
			// What the peer had counted before this gateway knew it is in its level, and
			// of what a leaf took, other relays have passed on all but the new part.
			known.last = reported
			if a != nil && a.hasLimit() && count.Known {
				l.takeOver(a, count, now, from.near)
			}
			if !from.near {
				return
			}
			known.last.taken -= min(max(count.New, 0), maxCount)
		}
	}
	if a != nil && a.hasLimit() && count.Known && !a.knows(now) {
		l.takeOver(a, count, now, from.near)
	}
	taken, refused := reported.taken-known.last.taken, max(reported.refused-known.last.refused, 0)
	known.last = reported
	if a == nil || !a.hasLimit() {
		return
	}
	taken = min(max(taken, -int64(a.burst)), int64(a.allowed))
	refused = min(refused, int64(a.allowed))
	known.taken.add(now, float64(max(taken, 0)))
	known.asked.add(now, float64(max(taken, 0)+refused))
	known.added.taken += taken
	known.added.refused += refused
	a.takeReported(now, float64(taken), late)
	if from.near {
		a.near.taken += taken
		a.near.refused += refused
	} else {
		a.far.taken += taken
		a.far.refused += refused
	}
	l.touch(a, from.near)
}

// takeOver takes over the level that a peer knows: a starting gateway any level, and one
// that knows the level itself the lower one, unless it counts what the peer has taken.
func (l *Limiter) takeOver(a *account, count *comfreyworks.UsageCount, now float64, counted bool) {
	level := min(max(float64(count.Level), -a.allowed), a.burst) + l.pending(a, now)
	switch {
	case !a.knows(now):
		a.level = level - float64(a.near.taken)
		a.informed, l.informed = true, true
		// Others that have just started may wait for it.
		l.touch(a, true)
		l.levelsSince = l.version
	case !counted:
		a.level = min(a.level, level)
	}
}

// knows reports whether this process has been running for long enough to know the level,
// or has taken it over.
func (a *account) knows(now float64) bool { return a.informed || now >= levelKnownTime.Seconds() }

// removeSilent removes the links of peers that have been silent for long.
func (l *Limiter) removeSilent(now float64) {
	for id, link := range l.links {
		if now-link.heardAt > linkExpiry.Seconds() {
			delete(l.links, id)
		}
	}
}

// Process identifies this process in the list that Near returns.
func (l *Limiter) Process() uint64 { return l.process }

// Near returns what this gateway and its leaves have taken, as far as it changed after a
// version, the version of the list, whether all counts are listed, and the number of
// gateways that it covers.
func (l *Limiter) Near(after uint64) (counts []comfreyworks.UsageCount, list comfreyworks.ListVersion, whole bool, gateways int) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	whole = after <= l.levelsSince
	for _, a := range l.accounts {
		// A receiver without any counts may lack the level as well.
		if a.nearChanged > after || (whole && a.changed > 0) {
			count := l.report(a, a.near, now, whole)
			if whole {
				count.New = a.near.taken - a.confirmed
			}
			counts = append(counts, count)
			a.reported = a.near.taken
		}
	}
	gateways = 1
	for _, link := range l.links {
		if link.near && l.fresh(link, now) {
			gateways += link.gateways
		}
	}
	return counts, comfreyworks.ListVersion{Process: l.process, Version: l.version}, whole, gateways
}

// Confirm records that a relay has received what Near returned last.
func (l *Limiter) Confirm() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		a.confirmed = a.reported
	}
}

// All returns what all gateways except a leaf have taken, as far as it changed after the
// version that the leaf knows, the version of the list, whether all counts are listed,
// and the number of gateways that it covers.
func (l *Limiter) All(leaf comfreyworks.InstanceID, known comfreyworks.ListVersion) (counts []comfreyworks.UsageCount, list comfreyworks.ListVersion, whole bool, gateways int) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	from := l.links[leaf]
	list = comfreyworks.ListVersion{Process: l.process, Version: l.version}
	if from != nil {
		// The sums are continuous only as long as the link is known.
		list.Process += from.serial
	}
	whole = known.Process != list.Process || known.Version <= l.levelsSince
	if whole {
		known.Version = 0
	}
	for _, a := range l.accounts {
		if a.changed <= known.Version {
			continue
		}
		sum := totals{a.near.taken + a.far.taken, a.near.refused + a.far.refused}
		if from != nil && from.counts[a.key] != nil {
			sum.taken -= from.counts[a.key].added.taken
			sum.refused -= from.counts[a.key].added.refused
		}
		counts = append(counts, l.report(a, sum, now, whole))
	}
	gateways = 1
	for id, link := range l.links {
		if id != leaf && l.fresh(link, now) {
			gateways += link.gateways
		}
	}
	return counts, list, whole, gateways
}

// report returns the counts of a workspace. The level is needed only by a receiver that
// did not have the counts before.
func (l *Limiter) report(a *account, sum totals, now float64, whole bool) comfreyworks.UsageCount {
	count := comfreyworks.UsageCount{Workspace: a.key, Taken: sum.taken, Refused: sum.refused}
	if whole && a.hasLimit() && a.knows(now) {
		count.Known = true
		s := l.state(a, now)
		count.Level = int64(a.level - s.pending)
	}
	return count
}
