package main

import (
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

// keep is the store of kept KV cache. Gateways read its cache events only.
type keep struct {
	address netip.AddrPort
	server  *http.Server

	mu sync.Mutex
	// endless, if set, answers reads of the cache events.
	endless http.HandlerFunc
}

func startKeep() (*keep, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &keep{address: listener.Addr().(*net.TCPAddr).AddrPort()}
	k.server = &http.Server{ReadHeaderTimeout: time.Minute, Handler: k}
	go func() { _ = k.server.Serve(listener) }()
	return k, nil
}

// ServeHTTP implements http.Handler.
func (k *keep) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	k.mu.Lock()
	endless := k.endless
	k.mu.Unlock()
	switch {
	case q.URL.Path != "/v1/kv-events":
		w.WriteHeader(http.StatusNotFound)
	case endless != nil:
		endless(w, q)
	default:
		writeNoEvents(w, q)
	}
}

// writeNoEvents answers a read of cache events after the time that it waits for some.
func writeNoEvents(w http.ResponseWriter, q *http.Request) {
	ms, _ := strconv.Atoi(q.Header.Get("Wait-Ms"))
	if wait(q.Context(), time.Duration(ms)*time.Millisecond) {
		writeJSON(w, map[string]any{"boot_epoch": 1, "next_page_token": 1, "lost": false, "events": []any{}})
	}
}
