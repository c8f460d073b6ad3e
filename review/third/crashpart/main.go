// Program crashpart sends prompts of which some contain a part that crashes each replica that
// begins to write an answer on it, and counts those that reach replicas.
//
// # Usage
//
//	crashpart GATEWAY RECORD isolated|deep|plain
//
// With isolated, the callers of these prompts belong to eight tenants of which three are
// isolated, with deep their prompts have 70 parts, with plain neither.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"comfreyworks/platform"
	"comfreyworks/platform/standin"
	"comfreyworks/review/third/rig"
)

const (
	// runTime is how long requests are sent, those with the crashing part from crashesFrom on.
	runTime     = 50 * time.Second
	crashesFrom = 5 * time.Second
	// badInterval and soundInterval are the times between two requests with the crashing part
	// and between two others.
	badInterval   = 800 * time.Millisecond
	soundInterval = 25 * time.Millisecond
	badPart       = "bad0c0de"
	tenants       = 8
	isolated      = 3
	// deepParts is the number of parts of a prompt in the variant deep.
	deepParts     = 70
	events        = 12
	eventInterval = 15 * time.Millisecond
	deadline      = 5 * time.Second
	// crashLimit and maxLate are the figures of the rule BUDGET: no more than maxLate requests
	// with the part may reach replicas later than rig.ContactTime after crash crashLimit.
	crashLimit = 5
	maxLate    = 3
)

// arrival is a request with the crashing part that reached a replica.
type arrival struct {
	at          time.Time
	id, replica string
	crashed     bool
}

type observer struct {
	mu       sync.Mutex
	arrivals []arrival
	// sound and served count the other requests by route, and those that got a whole answer.
	sound, served map[string]int
}

func main() { os.Exit(run()) }

func run() int {
	variant := os.Args[3]
	seen := &observer{sound: make(map[string]int), served: make(map[string]int)}
	r, err := rig.Start(rig.Options{
		Program: os.Args[1], Record: os.Args[2], Requests: seen.serve,
		Deploy: func(d *standin.Deployment) {
			d.Tenants = nil
			for i := range tenants {
				d.Tenants = append(d.Tenants, standin.Tenant{Name: fmt.Sprint("tenant-", i), Keys: []string{key(i)}, Isolated: variant == "isolated" && i < isolated})
			}
		},
	})
	if err != nil {
		fmt.Println(err)
		return rig.ExitNoVerdict
	}
	defer r.Stop()
	var senders sync.WaitGroup
	began := time.Now()
	for next := began.Add(crashesFrom); time.Since(began) < runTime; time.Sleep(soundInterval) {
		senders.Go(func() { seen.send(r, variant, false) })
		if time.Now().After(next) {
			next = next.Add(badInterval)
			senders.Go(func() { seen.send(r, variant, true) })
		}
	}
	senders.Wait()
	return seen.judge(r)
}

func key(i int) string { return fmt.Sprintf("ctnfzs989anu6wsjnb%02d", i) }

// send sends a request to a gateway, both drawn.
func (o *observer) send(r *rig.Rig, variant string, bad bool) {
	g, tenant, route := r.Gateways[rand.N(len(r.Gateways))], rand.N(tenants), "note"
	if !bad && rand.N(2) == 0 {
		route = "spec"
	}
	result := g.Send(rig.Request{
		Method: http.MethodPost, Path: "/" + route + "/2f", Body: "note", Deadline: deadline, Key: key(tenant),
		Prefix: prefix(variant, bad), Usage: "1024,48",
	})
	r.Note("at %s by tenant-%d: request %s of route %s, crashing part %t: status %d, error %v", g.Name, tenant, result.ID, route, bad, result.Status, result.Err)
	o.mu.Lock()
	defer o.mu.Unlock()
	if bad {
		return
	}
	o.sound[route]++
	if result.Served() {
		o.served[route]++
	}
}

// prefix returns the parts of a prompt: one of four guides, in the variant deep many further
// ones, one of 122 sites, and the request's own.
func prefix(variant string, bad bool) string {
	parts := []string{fmt.Sprintf("5c1e07a%d:128", rand.N(4))}
	if variant == "deep" {
		for i := range deepParts - 3 {
			parts = append(parts, fmt.Sprintf("7e00%04x:16", i))
		}
	}
	if bad {
		parts = append(parts, badPart+":80")
	} else {
		parts = append(parts, fmt.Sprintf("91bd3f%02x:80", rand.N(122)))
	}
	return strings.Join(append(parts, fmt.Sprintf("%08x:250", rand.Uint32())), ",")
}

// serve answers like an engine, unless it crashes.
func (o *observer) serve(e *rig.Engine) http.Handler {
	names := platform.HeaderNames()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(names.RequestID)
		if target := r.Header.Get(names.Target); target != "" && target != e.CurrentID() {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.Header().Set(names.RequestID, id)
		w.Header().Set(names.Digest, "3e1b.07.5a2.600.0.c9f2a4d1")
		w.Header().Set(names.Weights, "1")
		w.Header().Set("Content-Type", "text/event-stream")
		e.Cache(r)
		time.Sleep(eventInterval)
		if strings.Contains(r.Header.Get(names.Prefix), badPart) {
			o.crash(e, id, w)
		}
		last := 0
		_, _ = fmt.Sscan(r.Header.Get(names.LastEventID), &last)
		for n := last + 1; n <= events; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: word\n\n", n); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			time.Sleep(eventInterval)
		}
	})
}

// crash records a request with the crashing part, and crashes the replica.
func (o *observer) crash(e *rig.Engine, id string, w http.ResponseWriter) {
	if !rig.Troubled() {
		o.add(arrival{time.Now(), id, e.CurrentID(), false})
		return
	}
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	replica := e.CurrentID()
	o.add(arrival{time.Now(), id, replica, e.Crash()})
	panic(http.ErrAbortHandler)
}

func (o *observer) add(a arrival) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.arrivals = append(o.arrivals, a)
}

func (o *observer) judge(r *rig.Rig) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	slices.SortFunc(o.arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
	crashes, late := 0, 0
	var knownFrom time.Time
	for _, a := range o.arrivals {
		if !knownFrom.IsZero() && a.at.After(knownFrom) {
			late++
		}
		if a.crashed {
			crashes++
		}
		if crashes == crashLimit && knownFrom.IsZero() {
			knownFrom = a.at.Add(rig.ContactTime)
		}
		r.NoteAt(a.at, "request %s with the crashing part reached replica %s, crashed it: %t", a.id, a.replica, a.crashed)
	}
	r.Say("%d requests with the part reached replicas, %d crashes, %d reached replicas later than %s after crash %d (at most %d may); other requests with a whole answer: %d of %d of streams that may be resumed, %d of %d of streams that may run once",
		len(o.arrivals), crashes, late, rig.ContactTime, crashLimit, maxLate, o.served["note"], o.sound["note"], o.served["spec"], o.sound["spec"])
	switch {
	case late > maxLate:
		return rig.ExitBroken
	case len(o.arrivals) == 0 || (rig.Troubled() && crashes == 0) || o.sound["note"] == 0:
		return rig.ExitNoVerdict
	default:
		return rig.ExitHeld
	}
}
