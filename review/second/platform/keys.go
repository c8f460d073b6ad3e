package main

import (
	"fmt"
	"net/http"
	"time"
)

// keyRevocation is revoke_ms of the settings.
const keyRevocation = 5 * time.Second

// keys sends requests with both keys of the only tenant and with a key that no manifest
// holds. The disruption: the keys are taken away, the last one with the tenant.
func keys(w *world, trouble bool) (bool, string) {
	q := newRequesters(w, false)
	time.Sleep(1500 * time.Millisecond)
	until := time.Now().Add(25 * time.Second)
	for _, key := range []string{firstKey, secondKey, unknownKey} {
		q.run(8, until, func(int) {
			q.sendWithKey(q.choose(), key, http.MethodPost, "/book-order/sound", "", 4*time.Second)
		})
	}
	time.Sleep(6 * time.Second)
	taken := make(map[string]time.Time)
	if trouble {
		taken[firstKey] = w.putConfig(tenant{"members", []string{secondKey}})
		time.Sleep(1500 * time.Millisecond)
		taken[secondKey] = w.putConfig()
	}
	q.group.Wait()
	revoked, unknown := 0, 0
	for id, s := range q.all() {
		at, isTaken := taken[s.key]
		switch {
		case !w.hasRun(id):
		case s.key == unknownKey:
			unknown++
		case isTaken && s.at.After(at.Add(keyRevocation)):
			revoked++
		}
	}
	return revoked+unknown > 0, fmt.Sprintf(
		"%d requests ran that were sent later than revoke_ms after the ack that took their key away, and %d with a key that no manifest held; allowed none", revoked, unknown)
}
