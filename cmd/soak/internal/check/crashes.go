package check

import (
	"net/http"
	"slices"
	"time"

	"comfreyworks/cmd/soak/internal/caller"
)

const (
	// quarantineAfter is the number of engines that a part of prompts may crash until it
	// is to be under quarantine, quarantineDelay how long all gateways may take to know.
	quarantineAfter = 5
	quarantineDelay = 3 * time.Second
	// maxQuarantined is the number of requests that may reach engines later.
	maxQuarantined = 3
)

// crash is the crash of an engine by a request.
type crash struct {
	at     time.Time
	record *caller.Record
}

// checkQuarantine counts the requests that are refused although no part of their prompts
// crashes engines, and those that reach engines although a part has crashed several.
func (c *checker) checkQuarantine() {
	crashes, reached, refused := c.crashes(), make(map[string]int), 0
	for _, record := range c.records {
		if record.CrashPart == "" && record.Status == http.StatusBadRequest {
			refused++
		}
		for _, at := range c.observed.Arrivals[record.ID] {
			if c.isKnown(crashes[record.CrashPart], record.Gateway, at) {
				reached[record.CrashPart]++
			}
		}
	}
	if refused > 0 {
		c.report(Quarantine, "%d requests were refused although no part of their prompts crashes engines", refused)
	}
	for part, n := range reached {
		if n > maxQuarantined {
			c.report(Quarantine, "%d requests with part %s reached engines later than %s after it had crashed %d", n, part, quarantineDelay, quarantineAfter)
		}
	}
}

// crashes returns the crashes of engines by part, the first one first.
func (c *checker) crashes() map[string][]crash {
	crashes, engines := make(map[string][]crash), make(map[string]bool)
	for i := range c.observed.Runs {
		run := &c.observed.Runs[i]
		if record := c.records[string(run.ID)]; run.Crashed && record != nil && !engines[run.Replica] {
			engines[run.Replica] = true
			crashes[record.CrashPart] = append(crashes[record.CrashPart], crash{run.At, record})
		}
	}
	for part := range crashes {
		slices.SortFunc(crashes[part], func(a, b crash) int { return a.at.Compare(b.at) })
	}
	return crashes
}

// isKnown reports whether a gateway must know at a time that a part crashes engines. Only
// crashes count whose gateways could tell the others, and that the gateway could learn of.
func (c *checker) isKnown(crashes []crash, gateway int, at time.Time) bool {
	n := 0
	for _, crash := range crashes {
		known := crash.at.Add(quarantineDelay)
		if c.isQuiet(crash.record.Gateway, crash.at, known) && c.isQuiet(gateway, crash.at, at) {
			n++
		}
		if n == quarantineAfter {
			return at.After(known)
		}
	}
	return false
}

// isQuiet reports whether no fault affected a gateway between two times.
func (c *checker) isQuiet(gateway int, from, to time.Time) bool {
	return gateway < len(c.observed.Gateways) && !overlapsAny(c.observed.Gateways[gateway], from, to)
}
