package check

import (
	"net/http"
	"slices"
	"time"

	"comfreyworks/cmd/soak/internal/caller"
	"comfreyworks/cmd/soak/internal/fleet"
)

const (
	// requestCrashes and partCrashes are the numbers of replicas that a whole request and a
	// part of prompts may crash until they are to be under quarantine, quarantineDelay is
	// how long all gateways may take to know.
	requestCrashes, partCrashes = 3, 5
	quarantineDelay             = 3 * time.Second
	// maxQuarantined is the number of requests that may reach replicas later.
	maxQuarantined = 3
	// recordReadTime is how long a gateway may take after its start to know the crashes that
	// are on record.
	recordReadTime = 2 * time.Second
)

// quarantineAfter returns the number of replicas that requests of a kind may crash.
func quarantineAfter(h *fleet.Harmful) int {
	if h.IsWholeRequest() {
		return requestCrashes
	}
	return partCrashes
}

// isFinal reports whether a status tells callers that their request is at fault. Those are
// left out that other rules check, or that ask for another try.
func isFinal(status int) bool {
	switch status {
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound,
		http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	}
	return status/100 == 4
}

// crash is the crash of a replica by a request.
type crash struct {
	at     time.Time
	record *caller.Record
}

// checkQuarantine counts the sound requests that are refused for good, and the harmful
// ones that reach replicas although they have crashed several.
func (c *checker) checkQuarantine() {
	crashes, reached, refused := c.crashes(), make(map[*fleet.Harmful]int), 0
	for _, record := range c.records {
		if record.Harmful == nil {
			if isFinal(record.Status) {
				refused++
			}
			continue
		}
		for _, at := range c.observed.Arrivals[record.ID] {
			if c.isKnown(crashes[record.Harmful], quarantineAfter(record.Harmful), record.Gateway, at) {
				reached[record.Harmful]++
			}
		}
	}
	if refused > 0 {
		c.report(Quarantine, "%d requests were refused for good although they crash no replicas", refused)
	}
	for h, n := range reached {
		if n > maxQuarantined {
			c.report(Quarantine, "%d requests reached replicas later than %s after %d crashes; %d crashed in all: %s", n, quarantineDelay, quarantineAfter(h), len(crashes[h]), h)
		}
	}
}

// crashes returns the crashes of replicas by what crashed them, the first one first.
func (c *checker) crashes() map[*fleet.Harmful][]crash {
	crashes, replicas := make(map[*fleet.Harmful][]crash), make(map[string]bool)
	for i := range c.observed.Runs {
		run := &c.observed.Runs[i]
		if record := c.records[string(run.ID)]; run.Crashed && record != nil && !replicas[run.Replica] {
			replicas[run.Replica] = true
			crashes[record.Harmful] = append(crashes[record.Harmful], crash{run.At, record})
		}
	}
	for h := range crashes {
		slices.SortFunc(crashes[h], func(a, b crash) int { return a.at.Compare(b.at) })
	}
	return crashes
}

// isKnown reports whether a gateway must know at a time of a number of crashes. Only those
// count whose gateways could tell the others, and that the gateway could learn of, from them
// or from the record on the store.
func (c *checker) isKnown(crashes []crash, limit, gateway int, at time.Time) bool {
	n := 0
	for _, crash := range crashes {
		known := crash.at.Add(quarantineDelay)
		told := c.isQuiet(crash.record.Gateway, crash.at, known) && c.isQuiet(gateway, crash.at, at)
		if told || c.isRecorded(crash.at, known) && c.isQuiet(gateway, at.Add(-recordReadTime), at) && c.reachesStore(gateway, crash.at, at) {
			n++
		}
		if n == limit {
			return at.After(known)
		}
	}
	return false
}

// isRecorded reports whether the crash at a time must be on record at a later one: nothing kept
// a gateway from writing it.
func (c *checker) isRecorded(at, later time.Time) bool {
	for gateway := range c.observed.Gateways {
		if !c.isQuiet(gateway, at, later) || !c.reachesStore(gateway, at, later) {
			return false
		}
	}
	return true
}

// reachesStore reports whether no fault kept a gateway from the store between two times.
func (c *checker) reachesStore(gateway int, from, to time.Time) bool {
	return gateway < len(c.observed.Stores) && !overlapsAny(c.observed.Stores[gateway], from, to)
}

// isQuiet reports whether no fault affected a gateway between two times.
func (c *checker) isQuiet(gateway int, from, to time.Time) bool {
	return gateway < len(c.observed.Gateways) && !overlapsAny(c.observed.Gateways[gateway], from, to)
}
