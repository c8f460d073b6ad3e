// Program hurry sends a few requests a second whose deadline is very short, and counts the
// ordinary ones that are served meanwhile.
//
// # Usage
//
//	hurry GATEWAY RECORD DEADLINE-MS
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"comfreyworks/platform"
	"comfreyworks/review/third/rig"
)

const (
	// runTime is how long ordinary requests are sent, those with the short deadline from hurryFrom
	// on.
	runTime   = 45 * time.Second
	hurryFrom = 1500 * time.Millisecond
	// hurryInterval is the time between two requests with the short deadline at one gateway.
	hurryInterval = 40 * time.Millisecond
	// ordinaryInterval is the time between two ordinary requests: 75 a second.
	ordinaryInterval = 13 * time.Millisecond
	tries            = 2
	retryPause       = 300 * time.Millisecond
	// starvedShare is the figure of the rule Starved, which goes by the whole run, minRequests how
	// many requests of a kind are needed.
	starvedShare = 0.25
	minRequests  = 50
)

// kind is a kind of request, as on the sheet of pfc-georgia.
type kind struct {
	name, method, path, usage string
	perSecond, deadline       float64
	stream                    bool
}

var kinds = []kind{
	{"spec-review", http.MethodPost, "/spec/2f", "9190,9", 21.2, 5_000, true},
	{"site-note", http.MethodPost, "/note/2f", "826,49", 32.4, 12_000, true},
	{"book-order", http.MethodPost, "/book/2f", "", 13.4, 4_000, false},
	{"job-lookup", http.MethodGet, "/look/2f", "", 7.99, 4_000, false},
}

// phases are the times before and while the requests with the short deadline are sent.
var phases = []string{"before", "meanwhile"}

// observer counts the ordinary requests of each kind by phase.
type observer struct {
	mu           sync.Mutex
	sent, served [2]map[string]int
	statuses     [2]map[int]int
}

func main() { os.Exit(run()) }

func run() int {
	r, err := rig.Start(rig.Options{Program: os.Args[1], Record: os.Args[2], Requests: answer})
	if err != nil {
		fmt.Println(err)
		return rig.ExitNoVerdict
	}
	defer r.Stop()
	seen := &observer{}
	for i := range seen.sent {
		seen.sent[i], seen.served[i], seen.statuses[i] = make(map[string]int), make(map[string]int), make(map[int]int)
	}
	var senders sync.WaitGroup
	began := time.Now()
	if rig.Troubled() {
		for _, g := range r.Gateways {
			senders.Go(func() { hurry(r, g, began, os.Args[3]) })
		}
	}
	for ; time.Since(began) < runTime; time.Sleep(ordinaryInterval) {
		phase := 0
		if time.Since(began) > hurryFrom {
			phase = 1
		}
		senders.Go(func() { seen.send(r, phase) })
	}
	senders.Wait()
	return seen.judge(r)
}

// answer answers like a sound replica.
func answer(e *rig.Engine) http.Handler {
	names := platform.HeaderNames()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		w.Header().Set(names.Digest, "3e1b.07.5a2.600.0.c9f2a4d1")
		if r.Header.Get(names.Prefix) == "" {
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(w, "answer")
			return
		}
		e.Cache(r)
		w.Header().Set(names.Weights, "1")
		w.Header().Set("Content-Type", "text/event-stream")
		for n := 1; n <= 4; n++ {
			time.Sleep(20 * time.Millisecond)
			_, _ = fmt.Fprintf(w, "id: %d\ndata: word\n\n", n)
			_ = http.NewResponseController(w).Flush()
		}
	})
}

// hurry sends requests with a short deadline on one connection.
func hurry(r *rig.Rig, g *rig.Gateway, began time.Time, deadline string) {
	time.Sleep(time.Until(began.Add(hurryFrom)))
	for time.Since(began) < runTime {
		result := g.Send(rig.Request{Method: http.MethodGet, Path: "/look/9c", Key: rig.Key, Deadline: 4 * time.Second, DeadlineText: deadline})
		r.Note("short deadline at %s: request %s: status %d, error %v", g.Name, result.ID, result.Status, result.Err)
		time.Sleep(hurryInterval)
	}
}

// draw returns a kind of request, each as often as on the sheet.
func draw() kind {
	total := 0.0
	for _, k := range kinds {
		total += k.perSecond
	}
	left := rand.Float64() * total
	for _, k := range kinds {
		if left -= k.perSecond; left < 0 {
			return k
		}
	}
	return kinds[0]
}

// send sends an ordinary request to a gateway that is drawn, and once more to another one if it
// is refused.
func (o *observer) send(r *rig.Rig, phase int) {
	k, first := draw(), rand.N(len(r.Gateways))
	request := rig.Request{Method: k.method, Path: k.path, Key: rig.Key, Deadline: time.Duration(k.deadline) * time.Millisecond}
	if k.stream {
		request.Prefix = fmt.Sprintf("5c1e07a%d:119,91bd3f%02x:79,%08x:%d", rand.N(4), rand.N(122), rand.Uint32(), 628)
		request.Usage, request.Body = k.usage, "prompt"
	}
	status, served := 0, false
	for n := 0; n < tries && !served; n++ {
		if n > 0 {
			time.Sleep(retryPause)
		}
		g := r.Gateways[(first+n)%len(r.Gateways)]
		result := g.Send(request)
		status, served = result.Status, result.Served()
		r.Note("%s at %s, try %d: request %s: status %d, error %v", k.name, g.Name, n+1, result.ID, result.Status, result.Err)
		if status != http.StatusServiceUnavailable {
			break
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent[phase][k.name]++
	o.statuses[phase][status]++
	if served {
		o.served[phase][k.name]++
	}
}

func (o *observer) judge(r *rig.Rig) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	sent, served := 0, 0
	for phase, name := range phases {
		for _, k := range kinds {
			sent, served = sent+o.sent[phase][k.name], served+o.served[phase][k.name]
			r.Say("%s: %d of %d of %s served", name, o.served[phase][k.name], o.sent[phase][k.name], k.name)
		}
		r.Say("%s: last statuses %v", name, o.statuses[phase])
	}
	all := float64(served) / float64(max(sent, 1))
	var starved []string
	enough := o.statuses[0][http.StatusOK] > 0
	for _, k := range kinds {
		sent, served := o.sent[0][k.name]+o.sent[1][k.name], o.served[0][k.name]+o.served[1][k.name]
		share := float64(served) / float64(max(sent, 1))
		r.Say("whole run: %.3f of %s served, %.3f of all requests", share, k.name, all)
		if share < starvedShare*all {
			starved = append(starved, k.name)
		}
		enough = enough && sent >= minRequests
	}
	r.Say("served less than a quarter as often as all: %v", starved)
	switch {
	case !enough:
		return rig.ExitNoVerdict
	case len(starved) > 0:
		return rig.ExitBroken
	default:
		return rig.ExitHeld
	}
}
