package rig

import (
	"bytes"
	"container/list"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"comfreyworks/platform"
	"comfreyworks/platform/standin"
)

// Sizes of a small deployment's engines.
const (
	kvTokens    = 95_939
	blockTokens = 16
	keptEvents  = 4_000
)

// Engine is a replica: an engine, or a plain service if it has no model.
type Engine struct {
	ID      string
	Address netip.AddrPort
	Engine  *standin.Engine

	rig     *Rig
	handler http.Handler
	cache   cache

	mu     sync.Mutex
	entry  standin.Entry
	server *http.Server
	// gone means that the replica has crashed and is not back yet.
	gone bool
}

func (r *Rig) startEngine(i int) error {
	e := &Engine{rig: r, ID: nextReplicaID(), cache: cache{changed: make(chan struct{})}}
	e.cache.parts, e.cache.used = make(map[partKey]*list.Element), list.New()
	e.entry = standin.Entry{Service: EnginePool, Zone: zone(i), Started: time.Now(), Model: Model, Version: 1, Release: "v1"}
	var handler http.Handler = r.options.Requests(e)
	if i >= engines {
		e.entry.Service, e.entry.Model, e.entry.Version = AppPool, "", 0
	} else {
		e.Engine = &standin.Engine{Requests: handler, Model: Model, OnLoad: func(uint64) { e.cache.clear() }, CacheEvents: &e.cache}
		handler = e.Engine
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.handler = handler
	e.server = r.serveOn(listener, handler)
	e.Address = listener.Addr().(*net.TCPAddr).AddrPort()
	e.entry.Address = e.Address
	r.Engines = append(r.Engines, e)
	e.Renew()
	return nil
}

// Renew writes the entry of the replica.
func (e *Engine) Renew() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gone {
		return
	}
	e.entry.Sequence++
	if e.Engine != nil {
		e.entry.Version = max(e.Engine.Version(), 1)
	}
	e.rig.Store.Put(standin.UpstreamTopic, e.ID, e.entry.Record())
}

// Cache records that the engine has read the prompt of a request, and evicts what was used least
// recently if there is no room.
func (e *Engine) Cache(r *http.Request) {
	names := platform.HeaderNames()
	e.cache.read(r.Header.Get(names.CacheSalt), r.Header.Get(names.Model), r.Header.Get(names.Prefix))
}

type partKey struct{ salt, id, model string }

type cachedPart struct {
	key    partKey
	tokens int
}

type cacheEvent struct {
	number int
	sign   string
	part   cachedPart
}

// cache is the KV cache of an engine. It serves its events.
type cache struct {
	mu      sync.Mutex
	parts   map[partKey]*list.Element
	used    *list.List
	tokens  int
	events  []cacheEvent
	number  int
	changed chan struct{}
}

func blocks(tokens int) int { return (tokens + blockTokens - 1) / blockTokens * blockTokens }

func (c *cache) read(salt, model, prefix string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for entry := range strings.SplitSeq(prefix, ",") {
		id, length, _ := strings.Cut(entry, ":")
		tokens, err := strconv.Atoi(length)
		if err != nil || tokens <= 0 {
			continue
		}
		key := partKey{salt, id, model}
		if known := c.parts[key]; known != nil {
			c.used.MoveToFront(known)
			continue
		}
		c.parts[key] = c.used.PushFront(cachedPart{key, tokens})
		c.tokens += blocks(tokens)
		c.add("+", cachedPart{key, tokens})
		for c.tokens > kvTokens {
			c.evict()
		}
	}
}

func (c *cache) evict() {
	oldest := c.used.Back()
	part := c.used.Remove(oldest).(cachedPart)
	delete(c.parts, part.key)
	c.tokens -= blocks(part.tokens)
	c.add("-", cachedPart{part.key, 0})
}

func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.used.Len() > 0 {
		c.evict()
	}
}

func (c *cache) add(sign string, part cachedPart) {
	c.number++
	c.events = append(c.events, cacheEvent{c.number, sign, part})
	if len(c.events) > keptEvents {
		c.events = c.events[len(c.events)-keptEvents:]
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// ServeHTTP serves the events since a number; if there are none, it waits for some.
func (c *cache) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	ms, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	c.mu.Lock()
	number, changed := c.number, c.changed
	c.mu.Unlock()
	if number <= since {
		select {
		case <-changed:
		case <-time.After(time.Duration(ms) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	events := [][]any{}
	for _, e := range c.events {
		if e.number > since {
			events = append(events, []any{e.number, e.sign, e.part.key.salt, e.part.key.id, e.part.tokens, e.part.key.model})
		}
	}
	lost := since > 0 && since < c.number-len(c.events)
	_ = json.NewEncoder(w).Encode(map[string]any{"boot_epoch": 77120, "next_page_token": c.number, "lost": lost, "events": events})
}

func megabytes(status []byte, field string) float64 {
	_, rest, _ := bytes.Cut(status, []byte(field))
	fields := bytes.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.Atoi(string(fields[0]))
	return float64(kb) / 1024
}
