// Package replica is a stand-in for an upstream that a gateway reaches directly:
// a model engine with versions of weights, or a plain service. It records what
// it ran, so that tests can tell what ran twice or changed on the way.
//
// # Usage
//
//	r := replica.New(replica.Options{ID: "u1", Headers: names})
//	server := httptest.NewServer(r)
//	r.Fail(replica.FaultReset, 1) // breaks the next request
//	runs := r.Runs()
package replica

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"comfreyworks"
)

// Fault is what goes wrong with a request.
type Fault string

// Faults.
const (
	// FaultBusy refuses a request without running it.
	FaultBusy Fault = "busy"
	// FaultError runs it and answers with a failure.
	FaultError Fault = "error"
	// FaultReset runs it and breaks the connection without an answer.
	FaultReset Fault = "reset"
	// FaultCut runs it and breaks off in the middle of the answer.
	FaultCut Fault = "cut"
	// FaultTorn runs it and ends a stream within an event.
	FaultTorn Fault = "torn"
	// FaultUnproven runs it and answers without a digest.
	FaultUnproven Fault = "unproven"
	// FaultHang runs it and answers nothing until the caller leaves.
	FaultHang Fault = "hang"
)

// Options configures a Replica.
type Options struct {
	ID      comfreyworks.InstanceID
	Headers comfreyworks.HeaderNames
	// Events is the number of events of a stream; zero means that the replica
	// is a plain service.
	Events int
	// EventPause is the pause before each event.
	EventPause time.Duration
}

// Run is a request that a replica ran.
type Run struct {
	ID     comfreyworks.RequestID
	Method string
	Target string
	Header http.Header
	Body   string
	// At is when it began.
	At time.Time
	// Cancelled means that the caller left before the end.
	Cancelled bool
}

// Arrival is a request that reached a replica, whether it ran or not.
type Arrival struct {
	ID comfreyworks.RequestID
	At time.Time
}

// Replica is safe for concurrent use.
type Replica struct {
	options Options
	mu      sync.Mutex
	weights uint64
	faults  []Fault
	failIf  func() Fault
	runs    []*Run
	arrived []Arrival
}

// New returns a replica that serves weights 1.
func New(options Options) *Replica { return &Replica{options: options, weights: 1} }

// SetWeights makes the replica serve other weights.
func (p *Replica) SetWeights(revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.weights = revision
}

// Fail breaks the next n requests.
func (p *Replica) Fail(fault Fault, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range n {
		p.faults = append(p.faults, fault)
	}
}

// Runs returns what the replica has run.
func (p *Replica) Runs() []Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	runs := make([]Run, len(p.runs))
	for i, run := range p.runs {
		runs[i] = *run
	}
	return runs
}

// Arrivals returns what has reached the replica.
func (p *Replica) Arrivals() []Arrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Arrival(nil), p.arrived...)
}

func (p *Replica) arrive(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrived = append(p.arrived, Arrival{comfreyworks.RequestID(id), time.Now()})
}

// FailIf asks a function for the fault of each further request; no fault means
// that it goes well.
func (p *Replica) FailIf(next func() Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failIf = next
}

func (p *Replica) nextFault() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failIf != nil {
		return p.failIf()
	}
	if len(p.faults) == 0 {
		return ""
	}
	fault := p.faults[0]
	p.faults = p.faults[1:]
	return fault
}

// ServeHTTP implements http.Handler.
func (p *Replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	names := &p.options.Headers
	p.arrive(r.Header.Get(names.RequestID))
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
	if status := p.misdirected(w, r); status != 0 {
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(status)
		return
	}
	fault := p.nextFault()
	if fault == FaultBusy {
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run := p.begin(r, string(body))
	if fault != FaultUnproven {
		w.Header().Set(names.Digest, "digest-"+string(p.options.ID))
	}
	switch fault {
	case FaultError:
		http.Error(w, "failed", http.StatusInternalServerError)
	case FaultReset:
		panic(http.ErrAbortHandler)
	case FaultHang:
		<-r.Context().Done()
		p.cancelled(run)
	default:
		p.answer(w, r, run, fault)
	}
}

// misdirected returns the status for a request that is not for this replica or
// for its weights.
func (p *Replica) misdirected(w http.ResponseWriter, r *http.Request) int {
	names := &p.options.Headers
	if target := r.Header.Get(names.Target); target != "" && target != string(p.options.ID) {
		w.Header().Set(names.Instance, string(p.options.ID))
		return http.StatusMisdirectedRequest
	}
	if p.options.Events == 0 {
		return 0
	}
	p.mu.Lock()
	weights := strconv.FormatUint(p.weights, 10)
	p.mu.Unlock()
	w.Header().Set(names.Weights, weights)
	if expected := r.Header.Get(names.ExpectedWeights); expected != "" && expected != weights {
		return http.StatusMisdirectedRequest
	}
	return 0
}

func (p *Replica) begin(r *http.Request, body string) *Run {
	run := &Run{
		ID: comfreyworks.RequestID(r.Header.Get(p.options.Headers.RequestID)), Method: r.Method,
		Target: r.RequestURI, Header: r.Header.Clone(), Body: body, At: time.Now(),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs = append(p.runs, run)
	return run
}

func (p *Replica) cancelled(run *Run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	run.Cancelled = true
}

func (p *Replica) answer(w http.ResponseWriter, r *http.Request, run *Run, fault Fault) {
	if p.options.Events == 0 {
		if fault == FaultCut {
			w.Header().Set("Content-Length", "100")
		}
		_, _ = fmt.Fprintf(w, "answer to %s", run.ID)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	from, err := strconv.Atoi(r.Header.Get(p.options.Headers.LastEventID))
	if err != nil {
		from = 0
	}
	flusher := http.NewResponseController(w)
	for i := from + 1; i <= p.options.Events; i++ {
		if i > p.options.Events/2 && fault == FaultCut {
			panic(http.ErrAbortHandler)
		}
		if i > p.options.Events/2 && fault == FaultTorn {
			_, _ = fmt.Fprintf(w, "id: %d\nda", i)
			return
		}
		_, _ = io.WriteString(w, Event(i))
		if err := flusher.Flush(); err != nil {
			p.cancelled(run)
			return
		}
		if p.options.EventPause > 0 {
			time.Sleep(p.options.EventPause)
		}
	}
}

// Stream returns a whole stream of n events.
func Stream(n int) string {
	var all strings.Builder
	for i := range n {
		all.WriteString(Event(i + 1))
	}
	return all.String()
}

// Event returns one event of a stream.
func Event(n int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n) }
