// Package caller sends requests of every kind over kept connections and records
// what came back.
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
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"comfreyworks/cmd/soak/internal/fleet"
	"comfreyworks/platform"
)

const (
	// deadline is what callers say that they wait, and patience what they do.
	deadline = 4 * time.Second
	patience = 8 * time.Second
	// thinkTime is the longest pause between two requests of one caller.
	thinkTime = 60 * time.Millisecond
	// longestReturn bounds how long a caller stays away after a refusal.
	longestReturn = 500 * time.Millisecond
	// promptTokens is the length of a prompt, ownTokens of its own part.
	promptTokens, ownTokens = 900, 200
)

// Kind is a kind of request, which is also its path.
type Kind string

// Kinds of requests.
const (
	Book  Kind = "book"
	Read  Kind = "read"
	Note  Kind = "note"
	Brief Kind = "brief"
)

// Once reports whether such a request may run only once.
func (k Kind) Once() bool { return k == Book || k == Note }

// Pool is where such a request may run.
func (k Kind) Pool() string {
	if k == Note || k == Brief {
		return fleet.EnginePool
	}
	return fleet.AppPool
}

// Record is a request with what came back.
type Record struct {
	ID       string
	Kind     Kind
	Key      string
	Method   string
	Target   string
	Body     string
	Gateway  int
	SentAt   time.Time
	EndedAt  time.Time
	Status   int
	Header   http.Header
	Answer   []byte
	Complete bool
	// Err is why there is no whole answer.
	Err error
}

// Options configures a Caller.
type Options struct {
	Name     string
	Gateways []netip.AddrPort
	Seed     uint64
	// Keys are the keys to use, one for each request by chance.
	Keys []string
}

// Caller is one caller with one connection to one gateway at a time. It is used by
// one goroutine after the other.
type Caller struct {
	options Options
	rng     *rand.Rand
	client  *http.Client
	gateway int
	records []Record
}

// New returns a caller that has sent nothing.
func New(options Options) *Caller {
	rng := rand.New(rand.NewPCG(options.Seed, uint64(len(options.Name))))
	return &Caller{
		options: options, rng: rng, gateway: rng.IntN(len(options.Gateways)),
		client: &http.Client{Timeout: patience, Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxConnsPerHost: 1, DisableCompression: true,
		}},
	}
}

// Records returns what has been sent so far.
func (c *Caller) Records() []Record { return c.records }

// Run sends one request after the other until ctx ends. The last one is waited
// for.
func (c *Caller) Run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		record := c.One(n)
		pause := time.Duration(c.rng.Int64N(int64(thinkTime)))
		if record.Err != nil {
			c.gateway = c.rng.IntN(len(c.options.Gateways))
		}
		if after, err := strconv.ParseFloat(record.Header.Get("Retry-After"), 64); err == nil {
			pause = min(time.Duration(after*float64(time.Second)), longestReturn)
		}
		time.Sleep(pause)
	}
	c.client.CloseIdleConnections()
}

// One sends the nth request.
func (c *Caller) One(n int) Record {
	record := c.draw(n)
	c.send(&record)
	c.records = append(c.records, record)
	return record
}

// draw makes a request by chance.
func (c *Caller) draw(n int) Record {
	kind := []Kind{Book, Read, Note, Brief}[c.rng.IntN(4)]
	record := Record{
		ID: fmt.Sprintf("%s-%d", c.options.Name, n), Kind: kind, Gateway: c.gateway,
		Key: c.options.Keys[c.rng.IntN(len(c.options.Keys))], Method: http.MethodPost,
		Target: fmt.Sprintf("/%s/%d?n=%d", kind, c.rng.IntN(100), n), Body: fmt.Sprint("body of ", c.options.Name, " ", n),
	}
	if kind == Read {
		record.Method, record.Body = http.MethodGet, ""
	}
	return record
}

func (c *Caller) send(record *Record) {
	url := "http://" + c.options.Gateways[record.Gateway].String() + record.Target
	r, err := http.NewRequest(record.Method, url, bytes.NewReader([]byte(record.Body)))
	if err != nil {
		record.Err = err
		return
	}
	names := platform.HeaderNames()
	r.Host = fleet.Host
	// Without this the library repeats requests by itself on a lost connection.
	r.GetBody = nil
	r.Header.Set(names.RequestID, record.ID)
	r.Header.Set(names.APIKey, record.Key)
	r.Header.Set(names.Deadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	// Callers must not be able to set what only gateways may.
	r.Header.Set(names.Workspace, "forged")
	r.Header.Set(names.CacheSalt, "forged")
	if record.Kind.Pool() == fleet.EnginePool {
		r.Header.Set(names.Model, fleet.Model)
		r.Header.Set(names.Tokens, strconv.Itoa(promptTokens)+",20")
		r.Header.Set(names.Prefix, fmt.Sprintf("guide:%d,%s:%d", promptTokens-ownTokens, record.ID, ownTokens))
	}
	record.SentAt = time.Now()
	defer func() { record.EndedAt = time.Now() }()
	answer, err := c.client.Do(r)
	if err != nil {
		record.Err = err
		return
	}
	defer func() { _ = answer.Body.Close() }()
	record.Status, record.Header = answer.StatusCode, answer.Header
	record.Answer, record.Err = io.ReadAll(answer.Body)
	record.Complete = record.Err == nil
}
