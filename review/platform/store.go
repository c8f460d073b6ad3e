package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store: topics with one partition, of which those
// with keys keep the newest record of each key. It can be away, and come back from a copy.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	era    int
	away   bool
	// down reports whether a topic is down: calls are answered 503.
	down func(topic string) bool
}

type topic struct {
	records [][]byte
	newest  map[string]entry
	changed chan struct{}
}

type entry struct {
	value  []byte
	offset int
}

// snapshot is a copy of all topics.
type snapshot map[string]*topic

func newStore() *store { return &store{topics: make(map[string]*topic)} }

func (s *store) topic(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{newest: make(map[string]entry), changed: make(chan struct{})}
	}
	return s.topics[name]
}

func (t *topic) append(record []byte) {
	key := string(record[1 : 1+int(record[0])])
	value := record[1+int(record[0]):]
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = entry{value, len(t.records)}
	}
	t.records = append(t.records, record)
	close(t.changed)
	t.changed = make(chan struct{})
}

// put appends a record as the operator or a replica does. A nil value drops the key. It
// returns false if the store is away. With leave set the store goes away at the moment of
// the acknowledgement, before a waiting read is answered.
func (s *store) put(name, key string, value any, leave bool) (time.Time, bool) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return time.Time{}, false
	}
	s.away = leave
	s.topic(name).append(append(append([]byte{byte(len(key))}, key...), data...))
	return time.Now(), true
}

func (s *store) copy() snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return clone(s.topics)
}

func clone(topics map[string]*topic) snapshot {
	c := make(snapshot)
	for name, t := range topics {
		c[name] = &topic{records: slices.Clone(t.records), newest: maps.Clone(t.newest), changed: make(chan struct{})}
	}
	return c
}

// restore brings the store back from a copy.
func (s *store) restore(from snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		close(t.changed)
	}
	s.topics, s.away = clone(from), false
	s.era++
}

func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// ServeHTTP implements http.Handler. While the store is away, channels are closed.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if s.isAway() {
		panic(http.ErrAbortHandler)
	}
	name := r.URL.Query().Get("topic")
	if r.URL.Path == "/v1/log-read" {
		s.wait(r, name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	if s.down != nil && s.down(name) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t := s.topic(name)
	switch r.URL.Path {
	case "/v1/log-read":
		t.serveRead(w, r)
	case "/v1/log-newest":
		t.serveNewest(w, r)
	case "/v1/log-append":
		s.serveAppend(w, r, name, t, body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func number(r *http.Request, name string) int {
	n, _ := strconv.Atoi(r.URL.Query().Get(name))
	return n
}

func (s *store) wait(r *http.Request, name string) {
	timeout := time.After(time.Duration(min(number(r, "wait_ms"), 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(name)
		available, changed := number(r, "from") != len(t.records), t.changed
		s.mu.Unlock()
		if available {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (t *topic) serveRead(w http.ResponseWriter, r *http.Request) {
	from := number(r, "from")
	if from > len(t.records) {
		w.WriteHeader(http.StatusGone)
		_ = json.NewEncoder(w).Encode(map[string]int{"first_offset": 0})
		return
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for _, record := range t.records[from:] {
		body = append(binary.BigEndian.AppendUint32(body, uint32(len(record))), record...)
	}
	_, _ = w.Write(body)
}

func (t *topic) serveNewest(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	items := []map[string]any{}
	more := false
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		if key <= after {
			continue
		}
		if len(items) == 500 {
			more = true
			break
		}
		e := t.newest[key]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(e.value), "offset": e.offset})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": more, "end_offset": len(t.records)})
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, name string, t *topic, body []byte) {
	switch {
	case name == "keyed.op" || name == "keyed.servers":
		w.WriteHeader(http.StatusForbidden)
		return
	}
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(len(t.records)) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]int{"end_offset": len(t.records)})
		return
	}
	offset := len(t.records)
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		t.append(body[4 : 4+n])
		body = body[4+n:]
	}
	if strings.HasPrefix(name, "keyed.") {
		_ = json.NewEncoder(w).Encode(map[string]int{"offset": offset, "end_offset": len(t.records)})
	}
}
