// Program inplace ends the replicas of a service one after the other. Each is back soon under the
// ID that it had, with a newer version of its software. The program counts the streams that hold
// events of two versions.
//
// # Usage
//
//	inplace GATEWAY RECORD newer|same
//
// With same, the replicas are back with the version that they had.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"comfreyworks/platform"
	"comfreyworks/review/third/rig"
)

const (
	// runTime is how long streams begin. Replicas end from restartsFrom on, one every
	// restartInterval, and are back after downTime.
	runTime         = 60 * time.Second
	restartsFrom    = 8 * time.Second
	restartInterval = 1250 * time.Millisecond
	downTime        = time.Second
	engines         = 9
	// rounds is how often each of them ends.
	rounds = 3
	// streamInterval is the time between the begins of two streams, eventInterval that between
	// two events.
	streamInterval = 100 * time.Millisecond
	events         = 48
	eventInterval  = 140 * time.Millisecond
	deadline       = 12 * time.Second
	// maxJoined is the figure of the rule ORDER: no more than two such streams.
	maxJoined = 2
)

func main() { os.Exit(run()) }

// observer counts streams: all, those that got all events, those that hold events of two software
// versions, and those for which both holds.
type observer struct {
	mu                                  sync.Mutex
	streams, whole, joined, joinedWhole int
}

func run() int {
	seen := &observer{}
	r, err := rig.Start(rig.Options{Program: os.Args[1], Record: os.Args[2], Requests: serve})
	if err != nil {
		fmt.Println(err)
		return rig.ExitNoVerdict
	}
	defer r.Stop()
	var senders sync.WaitGroup
	began := time.Now()
	next, restarts := began.Add(restartsFrom), 0
	for ; time.Since(began) < runTime; time.Sleep(streamInterval) {
		senders.Go(func() { seen.send(r) })
		if rig.Troubled() && restarts < rounds*engines && time.Now().After(next) {
			next = next.Add(restartInterval)
			e, release := r.Engines[restarts%engines], "v1"
			if os.Args[3] == "newer" {
				release = fmt.Sprint("v", 2+restarts/engines)
			}
			restarts++
			r.Note("replica %s ends, and will be back as %s", e.CurrentID(), release)
			e.Restart(release, downTime)
		}
	}
	senders.Wait()
	return seen.judge(r, restarts)
}

func (o *observer) judge(r *rig.Rig, restarts int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	r.Say("%d restarts; %d streams, %d with all events, %d of these with events of two software versions, %d others with such events (at most %d in all may)",
		restarts, o.streams, o.whole, o.joinedWhole, o.joined-o.joinedWhole, maxJoined)
	switch {
	case o.joined > maxJoined:
		return rig.ExitBroken
	case o.whole < o.streams/2:
		return rig.ExitNoVerdict
	default:
		return rig.ExitHeld
	}
}

// serve answers like an engine. The data of an event is the version of the replica's software.
func serve(e *rig.Engine) http.Handler {
	names := platform.HeaderNames()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		release := e.Release()
		if target := r.Header.Get(names.Target); target != "" && target != e.CurrentID() {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		w.Header().Set(names.Digest, "3e1b.07.5a2.600.0.c9f2a4d1")
		w.Header().Set(names.Weights, "1")
		w.Header().Set("Content-Type", "text/event-stream")
		e.Cache(r)
		last := 0
		_, _ = fmt.Sscan(r.Header.Get(names.LastEventID), &last)
		for n := last + 1; n <= events; n++ {
			time.Sleep(eventInterval)
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, release); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
		}
	})
}

// send sends a request of a stream to a gateway that is drawn, and reads the stream.
func (o *observer) send(r *rig.Rig) {
	g := r.Gateways[rand.N(len(r.Gateways))]
	prefix := strings.Join([]string{fmt.Sprintf("5c1e07a%d:128", rand.N(4)), fmt.Sprintf("91bd3f%02x:80", rand.N(122)), fmt.Sprintf("%08x:250", rand.Uint32())}, ",")
	result := g.Send(rig.Request{Method: http.MethodPost, Path: "/note/2f", Body: "note", Deadline: deadline, Key: rig.Key, Prefix: prefix, Usage: "458,48"})
	n, releases := 0, make(map[string]bool)
	var order []string
	for line := range strings.Lines(string(result.Body)) {
		if release, ok := strings.CutPrefix(strings.TrimSpace(line), "data: "); ok {
			if n++; !releases[release] {
				order = append(order, fmt.Sprintf("%s from event %d", release, n))
			}
			releases[release] = true
		}
	}
	whole, joined := result.Served() && n == events, len(releases) > 1
	r.Note("stream %s at %s: status %d, error %v, %d events, %s", result.ID, g.Name, result.Status, result.Err, n, strings.Join(order, ", "))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.streams++
	if whole {
		o.whole++
	}
	if joined {
		o.joined++
	}
	if joined && whole {
		o.joinedWhole++
	}
}
