// Package caller sends random requests to gateways over persistent connections
// and records the responses.
//
// # Usage
//
//	c := caller.New(caller.Options{Gateways: addresses, Seed: seed, Name: "c1"})
//	c.Run(ctx)
//	records := c.Records()
package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"comfreyworks/cmd/soak/internal/fleet"
	"comfreyworks/platform"
)

// RequestDeadline is the deadline that requests declare.
const RequestDeadline = 4 * time.Second

const (
	// clientTimeout is how long callers actually wait for the whole response.
	clientTimeout = 8 * time.Second
	// maxThinkTime is the maximum pause between two requests of one caller.
	maxThinkTime = 60 * time.Millisecond
	// maxLongThinkTime replaces it for callers of long streams, so that those that a
	// fault made start at the same time do not end at the same time for long.
	maxLongThinkTime = 300 * time.Millisecond
	// maxRetryDelay is the maximum pause after a response with Retry-After.
	maxRetryDelay = 500 * time.Millisecond
	// takeUpTime is how long a caller tries to take up a stream while all gateways are
	// down, and takeUpPause the pause between two tries.
	takeUpTime, takeUpPause = 5 * time.Second, 50 * time.Millisecond
	// promptTokens is the length of a prompt. uniqueTokens is the length of the
	// part of it that no other prompt has.
	promptTokens, uniqueTokens = 900, 200
)

// Kind is a kind of request. It is the first element of the request's path and
// so selects the route of the same name.
type Kind string

// Kinds of requests.
const (
	// NonIdempotent requests may run only once.
	NonIdempotent Kind = "book"
	// Idempotent requests may run more than once.
	Idempotent Kind = "read"
	// Stream requests are answered with a stream that can't be resumed.
	Stream Kind = "note"
	// ResumableStream requests are answered with a stream that another replica
	// may continue.
	ResumableStream Kind = "brief"
)

// AtMostOnce reports whether requests of the kind may run only once.
func (k Kind) AtMostOnce() bool { return k == NonIdempotent || k == Stream }

// Pool returns the pool of the kind's route.
func (k Kind) Pool() string {
	if k == Stream || k == ResumableStream {
		return fleet.EnginePool
	}
	return fleet.AppPool
}

// Record is a request with its response.
type Record struct {
	ID     string
	Kind   Kind
	Key    string
	Method string
	Target string
	Body   string
	// Gateway is the index of the gateway that the request was sent to.
	Gateway int
	// Resumes is the ID of the request that brought the first event of the stream that
	// this request takes up after event LastEvent. Other requests have neither.
	Resumes   string
	LastEvent int
	// Harmful tells what the request does to replicas; nil means no harm.
	Harmful        *fleet.Harmful
	SentAt         time.Time
	EndedAt        time.Time
	Status         int
	ResponseHeader http.Header
	ResponseBody   []byte
	// Complete means that the whole response body was received.
	Complete bool
	// Err tells why the response is missing or incomplete.
	Err error
}

// Options configures a Caller.
type Options struct {
	Name     string
	Gateways []netip.AddrPort
	Seed     uint64
	// Keys are the keys to use. Each request uses a random one.
	Keys []string
	// LongStreams makes all requests long streams that can be resumed, each at a random
	// gateway.
	LongStreams bool
	// Harmful, unless it is nil, returns what to send to random gateways in place of other
	// requests. None are sent while it returns nil.
	Harmful func() *fleet.Harmful
}

// Caller is one caller with one connection to one gateway at a time. It is not
// safe for concurrent use.
type Caller struct {
	options Options
	rng     *rand.Rand
	client  *http.Client
	gateway int
	records []Record
}

// New returns a caller. It sends no request before Run or Send is called.
func New(options Options) *Caller {
	rng := rand.New(rand.NewPCG(options.Seed, uint64(len(options.Name))))
	return &Caller{
		options: options, rng: rng, gateway: rng.IntN(len(options.Gateways)),
		client: &http.Client{Timeout: clientTimeout, Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxConnsPerHost: 1, DisableCompression: true,
		}},
	}
}

// Records returns the requests that were sent so far.
func (c *Caller) Records() []Record { return c.records }

// Run sends one request after the other until ctx ends. It completes the last one
// before it returns. If a stream breaks off that can be resumed, it takes it up at
// once, and once only, at another gateway. After other errors it changes to a random
// gateway.
func (c *Caller) Run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		if c.options.Harmful != nil && c.options.Harmful() == nil {
			time.Sleep(maxThinkTime)
			continue
		}
		record := c.sendAndTakeUp(n)
		pause := time.Duration(c.rng.Int64N(int64(c.thinkTime())))
		if record.Err != nil || c.options.LongStreams || c.options.Harmful != nil {
			c.gateway = c.rng.IntN(len(c.options.Gateways))
		}
		if retryAfter, err := strconv.ParseFloat(record.ResponseHeader.Get("Retry-After"), 64); err == nil {
			pause = min(time.Duration(retryAfter*float64(time.Second)), maxRetryDelay)
		}
		time.Sleep(pause)
	}
	c.client.CloseIdleConnections()
}

// thinkTime returns the maximum pause between two requests.
func (c *Caller) thinkTime() time.Duration {
	if c.options.LongStreams || c.options.Harmful != nil {
		return maxLongThinkTime
	}
	return maxThinkTime
}

// Send sends a random request with the given number, and records and returns it.
func (c *Caller) Send(n int) Record {
	record := c.randomRequest(n)
	c.roundTrip(&record)
	c.records = append(c.records, record)
	return record
}

// sendAndTakeUp is Send, followed by the request that takes up the stream if it breaks
// off. It returns the last request.
func (c *Caller) sendAndTakeUp(n int) Record {
	record := c.Send(n)
	if len(c.options.Gateways) > 1 && record.canBeTakenUp() {
		return c.takeUp(&record)
	}
	return record
}

// canBeTakenUp reports whether the connection of a stream broke between two of its
// events, so that its caller may send a request for the rest.
func (r *Record) canBeTakenUp() bool {
	if r.Kind != ResumableStream || r.Status != http.StatusOK || r.Err == nil || os.IsTimeout(r.Err) {
		return false
	}
	return r.Events() > 0 && r.Events() < fleet.StreamEvents
}

// Events returns the number of complete events that the response contains.
func (r *Record) Events() int { return bytes.Count(r.ResponseBody, []byte("\n\n")) }

// takeUp sends a request for the rest of a stream to another gateway, and records and
// returns it. The caller stays with that gateway. While no gateway accepts connections, it
// tries one after the other.
func (c *Caller) takeUp(broken *Record) Record {
	n := len(c.options.Gateways)
	c.gateway = (broken.Gateway + 1 + c.rng.IntN(n-1)) % n
	record := Record{
		ID: broken.ID + "-rest", Kind: broken.Kind, Gateway: c.gateway, Key: broken.Key, Method: broken.Method,
		Target: broken.Target, Body: broken.Body, Resumes: broken.ID, LastEvent: broken.Events(),
	}
	c.roundTrip(&record)
	for end := time.Now().Add(takeUpTime); isRefused(record.Err) && time.Now().Before(end); {
		time.Sleep(takeUpPause)
		c.gateway = (c.gateway + 1) % n
		record.Gateway, record.Err = c.gateway, nil
		c.roundTrip(&record)
	}
	c.records = append(c.records, record)
	return record
}

// isRefused reports whether a request was not sent because there was no connection.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// randomRequest returns a random request that has not been sent.
func (c *Caller) randomRequest(n int) Record {
	kind := []Kind{NonIdempotent, Idempotent, Stream, ResumableStream}[c.rng.IntN(4)]
	record := Record{
		ID: fmt.Sprintf("%s-%d", c.options.Name, n), Kind: kind, Gateway: c.gateway,
		Key: c.options.Keys[c.rng.IntN(len(c.options.Keys))], Method: http.MethodPost,
		Target: fmt.Sprintf("/%s/%d?n=%d", kind, c.rng.IntN(100), n), Body: fmt.Sprint("body of ", c.options.Name, " ", n),
	}
	if c.options.LongStreams {
		record.Kind, record.Target = ResumableStream, fmt.Sprintf("%s%d?n=%d", fleet.LongStreamPath, c.rng.IntN(100), n)
	}
	if record.Kind == Idempotent {
		record.Method, record.Body = http.MethodGet, ""
	}
	if c.options.Harmful != nil {
		if h := c.options.Harmful(); h != nil {
			record.harm(h, n)
		}
	}
	return record
}

// harm makes the record a request that harms replicas.
func (r *Record) harm(h *fleet.Harmful, n int) {
	r.Harmful, r.Method, r.Body = h, h.Method, h.Expand(h.Body, r.ID)
	r.Target = h.Expand(h.Targets[n%len(h.Targets)], r.ID)
	r.Kind = Kind(strings.Split(r.Target, "/")[1])
}

// roundTrip sends a request and adds the response to the record.
func (c *Caller) roundTrip(record *Record) {
	url := "http://" + c.options.Gateways[record.Gateway].String() + record.Target
	r, err := http.NewRequest(record.Method, url, bytes.NewReader([]byte(record.Body)))
	if err != nil {
		record.Err = err
		return
	}
	names := platform.HeaderNames()
	r.Host = fleet.Host
	// With GetBody, net/http may resend a request after a lost connection.
	r.GetBody = nil
	r.Header.Set(names.RequestID, record.ID)
	r.Header.Set(names.APIKey, record.Key)
	r.Header.Set(names.Deadline, strconv.FormatInt(RequestDeadline.Milliseconds(), 10))
	// Callers must not be able to set headers that only gateways may set.
	r.Header.Set(names.Workspace, "forged")
	r.Header.Set(names.CacheSalt, "forged")
	if record.Kind.Pool() == fleet.EnginePool {
		r.Header.Set(names.Model, fleet.Model)
		r.Header.Set(names.Tokens, strconv.Itoa(promptTokens)+",20")
		if record.Resumes != "" {
			r.Header.Set(names.Resumes, record.Resumes)
			r.Header.Set(names.LastEventID, strconv.Itoa(record.LastEvent))
		}
		parts := fmt.Sprintf("guide:%d,%s:%d", promptTokens-uniqueTokens, record.ID, uniqueTokens)
		if record.Harmful != nil {
			parts = record.Harmful.Expand(record.Harmful.Prompt, record.ID)
		}
		r.Header.Set(names.Prefix, parts)
	}
	record.SentAt = time.Now()
	defer func() { record.EndedAt = time.Now() }()
	response, err := c.client.Do(r)
	if err != nil {
		record.Err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	record.Status, record.ResponseHeader = response.StatusCode, response.Header
	record.ResponseBody, record.Err = io.ReadAll(response.Body)
	record.Complete = record.Err == nil
}
