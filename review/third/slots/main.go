// Program slots opens many connections to gateways, on which nothing gets on, and counts the
// ordinary requests that are answered meanwhile.
//
// # Usage
//
//	slots GATEWAY RECORD body|answers
//
// With body, each connection brings the header of a request and no body. With answers, which
// concerns one gateway, it brings requests whose answers are not read.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"comfreyworks/platform"
	"comfreyworks/review/third/rig"
)

const (
	// slowCallers is the number of callers of each gateway that keep a connection. Each opens
	// one.
	slowCallers = 850
	bodyBytes   = 1 << 20
	// slowDeadline is the timeout of the route of requests without their body.
	slowDeadline = 12 * time.Second
	// unreadRequests is how many requests a caller sends whose answers it does not read, idBytes
	// the length of their IDs, which the answers repeat, and receiveBuffer the size of its receive
	// buffer.
	unreadRequests = 1_000
	idBytes        = 8_000
	receiveBuffer  = 4 << 10
	// segmentBytes is the size of segments as on a network: with those of the loopback interface
	// the kernel keeps megabytes of answers for each connection.
	segmentBytes = 1_460
	// settleTime is how long the callers take to connect, bodyTime and answersTime how long they
	// stay after that, and calmTime how long ordinary requests are sent before and after.
	settleTime       = 4 * time.Second
	bodyTime         = 6 * time.Second
	answersTime      = 40 * time.Second
	calmTime         = 5 * time.Second
	ordinaryInterval = 20 * time.Millisecond
	ordinaryDeadline = 4 * time.Second
	ordinaryTries    = 2
	retryPause       = 200 * time.Millisecond
	// minTries is the number of requesters that must have tried.
	minTries = 7
)

func main() { os.Exit(run()) }

func run() int {
	r, err := rig.Start(rig.Options{Program: os.Args[1], Record: os.Args[2], Requests: answer})
	if err != nil {
		fmt.Println(err)
		return rig.ExitNoVerdict
	}
	defer r.Stop()
	before := newWatch(r)
	before.send(calmTime)
	hold, length, troubled := holdBody, bodyTime, r.Gateways
	if os.Args[3] == "answers" {
		// What the kernel keeps of their answers takes much memory: one gateway is enough.
		hold, length, troubled = holdAnswers, answersTime, r.Gateways[:1]
	}
	var held atomic.Int64
	var slow sync.WaitGroup
	until := time.Now().Add(settleTime + length + time.Second)
	if rig.Troubled() {
		for _, g := range troubled {
			for range slowCallers {
				slow.Go(func() { connect(r, g, &held, until, hold) })
			}
		}
	}
	time.Sleep(settleTime)
	connections := held.Load()
	r.Say("slow callers have %d connections", connections)
	during := newWatch(r)
	during.send(length)
	broken := during.judge()
	slow.Wait()
	after := newWatch(r)
	after.send(calmTime)
	r.Say("ordinary requests answered: %s before, %s meanwhile, %s afterwards", before, during, after)
	switch {
	case before.answered < before.sent*9/10 || (rig.Troubled() && connections == 0):
		return rig.ExitNoVerdict
	case broken:
		return rig.ExitBroken
	default:
		return rig.ExitHeld
	}
}

// answer answers like a sound replica.
func answer(*rig.Engine) http.Handler {
	names := platform.HeaderNames()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(20 * time.Millisecond)
		w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		w.Header().Set(names.Digest, "3e1b.07.5a2.600.0.c9f2a4d1")
		_, _ = io.WriteString(w, "answer")
	})
}

// connect opens a connection and holds it.
func connect(r *rig.Rig, g *rig.Gateway, held *atomic.Int64, until time.Time, hold func(net.Conn, time.Time) (string, error)) {
	time.Sleep(rand.N(settleTime / 2))
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, socket syscall.RawConn) error {
		return socket.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
		})
	}}
	c, err := dialer.Dial("tcp", g.Address().String())
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(until)
	held.Add(1)
	defer held.Add(-1)
	got, err := hold(c, until)
	r.Note("slow caller of %s: %q, %v", g.Name, got, err)
}

// holdBody sends the header of a request and waits for the end of the connection.
func holdBody(c net.Conn, _ time.Time) (got string, err error) {
	names := platform.HeaderNames()
	head := []string{
		"POST /note/2f HTTP/1.1", "Host: " + rig.Host, names.RequestID + ": " + rig.NextRequestID(), names.APIKey + ": " + rig.Key,
		fmt.Sprint(names.Deadline, ": ", slowDeadline.Milliseconds()), fmt.Sprint("Content-Length: ", bodyBytes), "", "",
	}
	if _, err := io.WriteString(c, strings.Join(head, "\r\n")); err != nil {
		return "", err
	}
	line := make([]byte, 64)
	n, err := c.Read(line)
	got, _, _ = strings.Cut(string(line[:n]), "\r\n")
	return got, err
}

// holdAnswers sends requests, and waits until the given time without reading.
func holdAnswers(c net.Conn, until time.Time) (got string, err error) {
	request := fmt.Sprintf("GET /none HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n\r\n", rig.Host, platform.HeaderNames().RequestID, strings.Repeat("9", idBytes))
	sent := 0
	for ; err == nil && sent < unreadRequests; sent++ {
		_, err = io.WriteString(c, request)
	}
	time.Sleep(time.Until(until))
	return fmt.Sprintf("%d requests sent", sent), err
}

// try is an ordinary requester's attempt on a new connection.
type try struct {
	at, ended time.Time
	answered  bool
}

// watch sends ordinary requests, each on a new connection, and records what became of them.
type watch struct {
	rig            *rig.Rig
	mu             sync.Mutex
	sent, answered int
	tries          map[*rig.Gateway][]try
	// ready holds the status checks of each gateway that were answered with 200, notReady others.
	ready, notReady map[*rig.Gateway]int
}

func newWatch(r *rig.Rig) *watch {
	return &watch{rig: r, tries: make(map[*rig.Gateway][]try), ready: make(map[*rig.Gateway]int), notReady: make(map[*rig.Gateway]int)}
}

func (w *watch) String() string { return fmt.Sprintf("%d of %d", w.answered, w.sent) }

func (w *watch) send(length time.Duration) {
	var senders sync.WaitGroup
	until := time.Now().Add(length)
	for _, g := range w.rig.Gateways {
		senders.Go(func() { w.check(g, until) })
	}
	for time.Now().Before(until) {
		senders.Go(w.request)
		time.Sleep(ordinaryInterval)
	}
	senders.Wait()
}

// check asks a gateway once a second whether it is ready, as the platform does.
func (w *watch) check(g *rig.Gateway, until time.Time) {
	for ; time.Now().Before(until); time.Sleep(time.Second) {
		ready := g.IsReady()
		w.rig.Note("%s says that it is ready: %t", g.Name, ready)
		w.mu.Lock()
		if ready {
			w.ready[g]++
		} else {
			w.notReady[g]++
		}
		w.mu.Unlock()
	}
}

// request sends one request, and after a failure once more to another gateway.
func (w *watch) request() {
	first, until, answered := rand.N(len(w.rig.Gateways)), time.Now().Add(ordinaryDeadline), false
	for n := 0; n < ordinaryTries && !answered; n++ {
		if n > 0 {
			time.Sleep(retryPause)
		}
		g := w.rig.Gateways[(first+n)%len(w.rig.Gateways)]
		result := g.Send(rig.Request{Method: http.MethodGet, Path: "/look/2f", Key: rig.Key, Deadline: time.Until(until), NewConnection: true})
		answered = result.Served()
		w.rig.Note("ordinary request %s at %s, try %d: status %d, error %v", result.ID, g.Name, n+1, result.Status, result.Err)
		w.mu.Lock()
		w.tries[g] = append(w.tries[g], try{result.Sent, result.Returned, result.Status != 0})
		w.mu.Unlock()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent++
	if answered {
		w.answered++
	}
}

// judge reports whether a gateway that says that it is ready took no new connection for
// rig.ContactTime while several requesters tried.
func (w *watch) judge() (broken bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, g := range w.rig.Gateways {
		var longest time.Duration
		most := 0
		for i, from := range w.tries[g] {
			n, to := 0, from.at
			for _, t := range w.tries[g][i:] {
				if t.answered {
					break
				}
				n, to = n+1, t.at
			}
			if span := to.Sub(from.at); span > longest {
				longest, most = span, n
			}
		}
		w.rig.Say("%s: took no new connection for %.1f s, %d requesters tried; status checks: %d ready, %d not ready; processes that ended %v",
			g.Name, longest.Seconds(), most, w.ready[g], w.notReady[g], g.Ended())
		broken = broken || (longest >= rig.ContactTime && most >= minTries && w.notReady[g] == 0)
	}
	return broken
}
