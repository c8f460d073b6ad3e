// Package replica provides a test double of an upstream that a gateway reaches
// directly: a model engine that serves one version of weights, or a plain
// service. It records the requests that it ran, so that tests can detect
// requests that ran twice or that were modified in transit.
//
// # Usage
//
//	r := replica.New(replica.Options{ID: "u1", Headers: names})
//	server := httptest.NewServer(r)
//	r.InjectFault(replica.FaultReset, 1) // aborts the connection of the next request
//	runs := r.Runs()
package replica

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"comfreyworks"
)

// Fault is a failure injected into the handling of one request.
type Fault string

// Injected faults. All but FaultBusy and FaultRepeatedRefusal run the request.
const (
	// FaultBusy rejects the request with status 503, marked as not run.
	FaultBusy Fault = "busy"
	// FaultUnavailable runs the request and responds with status 503.
	FaultUnavailable Fault = "unavailable"
	// FaultError responds with status 500.
	FaultError Fault = "error"
	// FaultReset aborts the connection before the header of the response.
	FaultReset Fault = "reset"
	// FaultTruncatedResponse cuts the response off: that of a plain service is
	// shorter than its Content-Length, a stream is aborted after half of its
	// events.
	FaultTruncatedResponse Fault = "cut"
	// FaultTruncatedEvent ends a stream normally, but in the middle of an event.
	// It does not affect plain services.
	FaultTruncatedEvent Fault = "torn"
	// FaultNoDigest responds without a digest.
	FaultNoDigest Fault = "unproven"
	// FaultHang sends no response until the caller cancels the request.
	FaultHang Fault = "hang"
)

// Options configures a Replica.
type Options struct {
	ID      comfreyworks.InstanceID
	Headers comfreyworks.HeaderNames
	// Events is the number of events in each stream; zero means that the replica
	// is a plain service.
	Events int
	// EventPause returns the time between two events of a stream, given the path and
	// query of its request. Nil means no pause.
	EventPause func(target string) time.Duration
	// Release is the version of the replica's software. Unless it is empty, the events
	// of streams contain it.
	Release string
	// Delay is the time from the arrival of a request until the replica runs or refuses it.
	Delay time.Duration
}

// Run is a request that a replica ran.
type Run struct {
	ID     comfreyworks.RequestID
	Method string
	// Target is the path and query as received.
	Target string
	Header http.Header
	Body   string
	// At is the time at which the replica began to run the request.
	At time.Time
	// Cancelled means that the caller cancelled the request or disconnected
	// before the end of the response.
	Cancelled bool
	// Endless means that the body of the response consists of EndlessBody again and
	// again, without end. It is set for plain services only.
	Endless bool
	// Crashed means that the replica crashed when it began to run the request.
	Crashed bool
}

// Arrival is a request that a replica received, whether it ran or not.
type Arrival struct {
	ID comfreyworks.RequestID
	At time.Time
}

// Replica is the HTTP handler of one upstream. It is safe for concurrent use.
type Replica struct {
	options Options
	mu      sync.Mutex
	id      comfreyworks.InstanceID
	// weights is the version that an engine serves.
	weights uint64
	// leaving is sent in all answers.
	leaving bool
	// retryAfter is sent in answers with status 503 unless it is empty.
	retryAfter string
	faults     []Fault
	faultFunc  func() Fault
	runs       []*Run
	arrivals   []Arrival
	// closedUntil is the time until which the replica turns requests away.
	closedUntil time.Time
	turnedAway  []TurnedAway
	harm        func(run *Run) Fault
	crash       func()
}

// New returns a replica that serves version 1 of the weights.
func New(options Options) *Replica { return &Replica{options: options, id: options.ID, weights: 1} }

// SetWeights sets the version of the weights that the replica serves.
func (rep *Replica) SetWeights(version uint64) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	rep.weights = version
}

// InjectFault injects a fault into each of the next n requests.
func (rep *Replica) InjectFault(fault Fault, n int) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	for range n {
		rep.faults = append(rep.faults, fault)
	}
}

// Runs returns the requests that the replica has run, in order.
func (rep *Replica) Runs() []Run {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	runs := make([]Run, len(rep.runs))
	for i, run := range rep.runs {
		runs[i] = *run
	}
	return runs
}

// Arrivals returns the requests that the replica has received, in order.
func (rep *Replica) Arrivals() []Arrival {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return append([]Arrival(nil), rep.arrivals...)
}

func (rep *Replica) recordArrival(id string) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	rep.arrivals = append(rep.arrivals, Arrival{comfreyworks.RequestID(id), time.Now()})
}

// SetFaultFunc makes next choose the fault of each further request; an empty Fault
// means none. While next is set, faults injected by InjectFault are not used. A
// nil next removes the function.
func (rep *Replica) SetFaultFunc(next func() Fault) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	rep.faultFunc = next
}

func (rep *Replica) nextFault() Fault {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	if rep.faultFunc != nil {
		return rep.faultFunc()
	}
	if len(rep.faults) == 0 {
		return ""
	}
	fault := rep.faults[0]
	rep.faults = rep.faults[1:]
	return fault
}

// ServeHTTP implements http.Handler.
func (rep *Replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	names := &rep.options.Headers
	rep.recordArrival(r.Header.Get(names.RequestID))
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !rep.delay(r.Context()) {
		return
	}
	w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
	rep.SetAdviceHeader(w.Header())
	if rep.turnsAway(w, r) {
		return
	}
	if status := rep.checkAddressing(w, r); status != 0 {
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(status)
		return
	}
	fault := rep.nextFault()
	if fault == FaultRepeatedRefusal {
		rep.rejectRepeatedly(r)
	}
	if fault == FaultBusy || fault == FaultRepeatedRefusal {
		rep.setRetryAfter(w.Header())
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run := rep.recordRun(r, string(body))
	rep.repeatRejection(r)
	fault = rep.harmFault(run, fault)
	if fault != FaultNoDigest {
		w.Header().Set(names.Digest, "digest-"+string(rep.currentID()))
	}
	switch fault {
	case FaultUnavailable:
		rep.setRetryAfter(w.Header())
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
	case FaultError:
		http.Error(w, "failed", http.StatusInternalServerError)
	case FaultReset:
		panic(http.ErrAbortHandler)
	case FaultCrash, FaultEarlyCrash:
		rep.crashUnder(w, run, fault)
	case FaultHang:
		<-r.Context().Done()
		rep.markCancelled(run)
	case FaultEndlessHead, FaultEndlessBody:
		rep.respondEndlessly(w, run, fault)
	case FaultUnframed, FaultUnframedReset:
		rep.respondUnframed(w, run, fault)
	case FaultLowStatus, FaultHighStatus, FaultFieldName:
		rep.respondWithBrokenHead(w, run, fault)
	default:
		rep.respond(w, run, fault)
	}
}

// delay waits as the options say, and returns false if the request is withdrawn meanwhile.
func (rep *Replica) delay(ctx context.Context) bool {
	if rep.options.Delay == 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(rep.options.Delay):
		return true
	}
}

// checkAddressing returns the status with which to reject a request that names
// another upstream or other weights, or zero if the request may run.
func (rep *Replica) checkAddressing(w http.ResponseWriter, r *http.Request) int {
	names := &rep.options.Headers
	if target := r.Header.Get(names.Target); target != "" && target != string(rep.currentID()) {
		w.Header().Set(names.Instance, string(rep.currentID()))
		return http.StatusMisdirectedRequest
	}
	if rep.options.Events == 0 {
		return 0
	}
	rep.mu.Lock()
	weights := strconv.FormatUint(rep.weights, 10)
	rep.mu.Unlock()
	w.Header().Set(names.Weights, weights)
	if expected := r.Header.Get(names.ExpectedWeights); expected != "" && expected != weights {
		return http.StatusMisdirectedRequest
	}
	return 0
}

func (rep *Replica) recordRun(r *http.Request, body string) *Run {
	run := &Run{
		ID: comfreyworks.RequestID(r.Header.Get(rep.options.Headers.RequestID)), Method: r.Method,
		Target: r.RequestURI, Header: r.Header.Clone(), Body: body, At: time.Now(),
	}
	rep.mu.Lock()
	defer rep.mu.Unlock()
	rep.runs = append(rep.runs, run)
	return run
}

func (rep *Replica) markCancelled(run *Run) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	run.Cancelled = true
}

func (rep *Replica) respond(w http.ResponseWriter, run *Run, fault Fault) {
	if rep.options.Events == 0 {
		if fault == FaultTruncatedResponse {
			w.Header().Set("Content-Length", "100")
		}
		_, _ = io.WriteString(w, answerTo(run))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	pause := rep.eventPause(run)
	flusher := http.NewResponseController(w)
	for i := rep.lastEvent(run) + 1; i <= rep.options.Events; i++ {
		if i > rep.options.Events/2 && fault == FaultTruncatedResponse {
			panic(http.ErrAbortHandler)
		}
		if i > rep.options.Events/2 && fault == FaultTruncatedEvent {
			_, _ = fmt.Fprintf(w, "id: %d\nda", i)
			return
		}
		_, _ = io.WriteString(w, ReleaseEvent(i, rep.options.Release))
		if err := flusher.Flush(); err != nil {
			rep.markCancelled(run)
			return
		}
		if pause > 0 {
			time.Sleep(pause)
		}
	}
}

// answerTo returns the body of a plain service's response.
func answerTo(run *Run) string { return "answer to " + string(run.ID) }

// lastEvent returns the number of the event after which a stream is to begin.
func (rep *Replica) lastEvent(run *Run) int {
	n, err := strconv.Atoi(run.Header.Get(rep.options.Headers.LastEventID))
	if err != nil {
		return 0
	}
	return n
}

func (rep *Replica) eventPause(run *Run) time.Duration {
	if rep.options.EventPause == nil {
		return 0
	}
	return rep.options.EventPause(run.Target)
}

// Stream returns the text of a complete stream of n events.
func Stream(n int) string {
	var all strings.Builder
	for i := range n {
		all.WriteString(Event(i + 1))
	}
	return all.String()
}

// Event returns the text of event n of a stream of a replica without a release. Events
// are counted from one.
func Event(n int) string { return ReleaseEvent(n, "") }

// ReleaseEvent returns the text of event n of a stream of a replica that runs the given
// release.
func ReleaseEvent(n int, release string) string {
	if release != "" {
		release = " of " + release
	}
	return fmt.Sprintf("id: %d\ndata: token %d%s\n\n", n, n, release)
}
