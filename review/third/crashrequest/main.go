// Program crashrequest sends a request that crashes each replica that begins to run it, again
// and again with the same path, caller and body, and counts those that reach replicas.
//
// # Usage
//
//	crashrequest GATEWAY RECORD query|same|together
//
// With query, each of them has another query, with same they are alike. With together, they are
// alike and sent to all gateways at the same time, at longer intervals.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"comfreyworks/platform"
	"comfreyworks/review/third/rig"
)

const (
	// runTime is how long requests are sent, the crashing one from crashesFrom on.
	runTime     = 45 * time.Second
	crashesFrom = 5 * time.Second
	// badInterval and soundInterval are the times between two sends of the crashing request and
	// between two others, togetherEvery takes the place of the former if it is sent to all gateways.
	badInterval   = time.Second
	togetherEvery = 3800 * time.Millisecond
	soundInterval = 75 * time.Millisecond
	badBody       = "order 4711"
	workTime      = 60 * time.Millisecond
	deadline      = 4 * time.Second
	// crashLimit and maxLate are the figures of the rule BUDGET: no more than maxLate retries
	// may reach replicas later than rig.ContactTime after crash crashLimit.
	crashLimit = 3
	maxLate    = 3
)

// arrival is a crashing request that reached a replica.
type arrival struct {
	at                   time.Time
	id, replica, request string
	crashed              bool
}

type observer struct {
	mu       sync.Mutex
	arrivals []arrival
	// sound counts the other requests, served those that got a whole answer.
	sound, served int
}

func main() { os.Exit(run()) }

func run() int {
	seen := &observer{}
	r, err := rig.Start(rig.Options{Program: os.Args[1], Record: os.Args[2], Requests: seen.serve})
	if err != nil {
		fmt.Println(err)
		return rig.ExitNoVerdict
	}
	defer r.Stop()
	var senders sync.WaitGroup
	began := time.Now()
	next, number, interval := began.Add(crashesFrom), 0, badInterval
	if os.Args[3] == "together" {
		interval = togetherEvery
	}
	for ; time.Since(began) < runTime; time.Sleep(soundInterval) {
		senders.Go(func() {
			seen.send(r, r.Gateways[rand.N(len(r.Gateways))], "/book/2f", fmt.Sprintf("order %d", rand.Uint64()), false)
		})
		if time.Now().After(next) {
			path, to := "/book/4711", r.Gateways[rand.N(len(r.Gateways)):][:1]
			switch number++; os.Args[3] {
			case "query":
				path += fmt.Sprint("?send=", number)
			case "together":
				to = r.Gateways
			}
			next = next.Add(interval)
			for _, g := range to {
				senders.Go(func() { seen.send(r, g, path, badBody, true) })
			}
		}
	}
	senders.Wait()
	return seen.judge(r)
}

// send sends a request to a gateway.
func (o *observer) send(r *rig.Rig, g *rig.Gateway, path, body string, bad bool) {
	result := g.Send(rig.Request{Method: http.MethodPost, Path: path, Body: body, Deadline: deadline, Key: rig.Key})
	r.Note("at %s: request %s, %s %q: status %d, error %v", g.Name, result.ID, path, body, result.Status, result.Err)
	if bad {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sound++
	if result.Served() {
		o.served++
	}
}

// serve answers like a plain service, unless it crashes.
func (o *observer) serve(e *rig.Engine) http.Handler {
	names := platform.HeaderNames()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		id := r.Header.Get(names.RequestID)
		if target := r.Header.Get(names.Target); target != "" && target != e.CurrentID() {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		time.Sleep(workTime)
		if string(body) == badBody {
			crashed := rig.Troubled() && e.Crash()
			o.mu.Lock()
			o.arrivals = append(o.arrivals, arrival{time.Now(), id, e.CurrentID(), r.RequestURI, crashed})
			o.mu.Unlock()
			if rig.Troubled() {
				panic(http.ErrAbortHandler)
			}
		}
		w.Header().Set(names.RequestID, id)
		w.Header().Set(names.Digest, "3e1b.07.5a2.600.0.c9f2a4d1")
		_, _ = io.WriteString(w, "booked")
	})
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
		r.NoteAt(a.at, "request %s, %s, reached replica %s, crashed it: %t", a.id, a.request, a.replica, a.crashed)
	}
	r.Say("the crashing request reached replicas %d times, %d crashes, %d times later than %s after crash %d (at most %d may); other requests with a whole answer: %d of %d",
		len(o.arrivals), crashes, late, rig.ContactTime, crashLimit, maxLate, o.served, o.sound)
	switch {
	case late > maxLate:
		return rig.ExitBroken
	case len(o.arrivals) == 0 || (rig.Troubled() && crashes == 0) || o.served == 0:
		return rig.ExitNoVerdict
	default:
		return rig.ExitHeld
	}
}
