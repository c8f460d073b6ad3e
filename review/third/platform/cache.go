// Package platform holds what of the third review's stand-ins has to know names of the users'
// platform: the KV cache of an engine, with the reads of its events.
//
// # Usage
//
//	cache := platform.New()
//	cache.Read(salt, model, "5c1e07a2:800,91bd3f06:410")
package platform

import (
	"container/list"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Sizes of a small deployment's engines.
const (
	kvTokens    = 95_939
	blockTokens = 16
	keptEvents  = 4_000
)

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

// Cache is the KV cache of an engine. It serves its events.
type Cache struct {
	mu      sync.Mutex
	parts   map[partKey]*list.Element
	used    *list.List
	tokens  int
	events  []cacheEvent
	number  int
	changed chan struct{}
}

// New returns an empty cache.
func New() *Cache {
	return &Cache{parts: make(map[partKey]*list.Element), used: list.New(), changed: make(chan struct{})}
}

func blocks(tokens int) int { return (tokens + blockTokens - 1) / blockTokens * blockTokens }

// Read records that the parts of a prompt were read, and evicts what was used least recently if
// there is no room.
func (c *Cache) Read(salt, model, prefix string) {
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

func (c *Cache) evict() {
	oldest := c.used.Back()
	part := c.used.Remove(oldest).(cachedPart)
	delete(c.parts, part.key)
	c.tokens -= blocks(part.tokens)
	c.add("-", cachedPart{part.key, 0})
}

// Clear drops all parts.
func (c *Cache) Clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.used.Len() > 0 {
		c.evict()
	}
}

func (c *Cache) add(sign string, part cachedPart) {
	c.number++
	c.events = append(c.events, cacheEvent{c.number, sign, part})
	if len(c.events) > keptEvents {
		c.events = c.events[len(c.events)-keptEvents:]
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// ServeHTTP serves the events since a number; if there are none, it waits for some.
func (c *Cache) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
