// Program parts sends requests whose prompts have long part IDs to one gateway, and watches
// the memory of its process.
//
// # Usage
//
//	parts GATEWAY RECORD
package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"comfreyworks/platform"
	"comfreyworks/review/third/rig"
)

const (
	// callers each keep one connection, and send a request every interval: 200 a second in all.
	callers  = 24
	interval = 120 * time.Millisecond
	sendTime = 60 * time.Second
	// longID is the length of a part's ID, in hexadecimal digits, so that the header stays below
	// max_header_bytes (16,384).
	longID, shortID = 15_000, 8
	events          = 4
	// promptTokens is the size of each prompt, all in one part.
	promptTokens = 16
	// minAnswered is the number of answers without which the case says nothing.
	minAnswered = 5_000
	// enough times the limit ends the case early.
	enough = 1.3
)

func main() { os.Exit(run()) }

func run() int {
	names := platform.HeaderNames()
	r, err := rig.Start(rig.Options{Program: os.Args[1], Record: os.Args[2], Requests: func(e *rig.Engine) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			e.Cache(r)
			w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
			w.Header().Set(names.Digest, "3e1b.07.5a2.600.0.c9f2a4d1")
			w.Header().Set("Content-Type", "text/event-stream")
			for n := 1; n <= events; n++ {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: word\n\n", n)
			}
		})
	}})
	if err != nil {
		fmt.Println(err)
		return rig.ExitNoVerdict
	}
	defer r.Stop()
	length := shortID
	if rig.Troubled() {
		length = longID
	}
	g := r.Gateways[0]
	var sent, answered, number atomic.Int64
	var senders sync.WaitGroup
	stop := make(chan struct{})
	for range callers {
		senders.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				send(g, length, stop, &number, &sent, &answered)
			}
		})
	}
	peak := 0.0
	for until := time.Now().Add(sendTime); time.Now().Before(until) && len(g.Ended()) == 0; time.Sleep(time.Second) {
		now, most := g.MemoryMB()
		r.Note("%d requests sent, %d answered with 200, memory %.1f MB, peak %.1f MB", sent.Load(), answered.Load(), now, most)
		if peak = max(peak, most); peak > enough*rig.MemoryMB {
			break
		}
	}
	close(stop)
	senders.Wait()
	r.Say("IDs of %d digits: %d requests sent, %d answered with 200, peak of the gateway's memory %.1f MB, limit %d MB, processes that ended %v",
		length, sent.Load(), answered.Load(), peak, rig.MemoryMB, g.Ended())
	switch {
	case peak > rig.MemoryMB || len(g.Ended()) > 0:
		return rig.ExitBroken
	case answered.Load() < minAnswered:
		return rig.ExitNoVerdict
	default:
		return rig.ExitHeld
	}
}

// send sends requests on one connection until it ends, at most a thousand.
func send(g *rig.Gateway, length int, stop <-chan struct{}, number, sent, answered *atomic.Int64) {
	names := platform.HeaderNames()
	c, err := net.DialTimeout("tcp", g.Address().String(), time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for range 1_000 {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		id := make([]byte, length/2)
		_, _ = rand.Read(id)
		head := []string{
			"POST /note/2f HTTP/1.1", "Host: " + rig.Host, fmt.Sprintf("%s: %016x", names.RequestID, number.Add(1)),
			names.Model + ": " + rig.Model, fmt.Sprintf("%s: %d,%d", names.Tokens, promptTokens, events), fmt.Sprintf("%s: %s:%d", names.Prefix, hex.EncodeToString(id), promptTokens),
			names.Deadline + ": 12000", names.APIKey + ": " + rig.Key, "Content-Length: 0", "", "",
		}
		_ = c.SetDeadline(time.Now().Add(12 * time.Second))
		if _, err := io.WriteString(c, strings.Join(head, "\r\n")); err != nil {
			return
		}
		sent.Add(1)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err != nil {
			return
		}
		if response.StatusCode == http.StatusOK {
			answered.Add(1)
		}
	}
}
