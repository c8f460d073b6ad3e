package rig

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"comfreyworks/platform"
	"comfreyworks/platform/standin"
	kvcache "comfreyworks/review/third/platform"
)

// Engine is a replica: an engine, or a plain service if it has no model.
type Engine struct {
	ID      string
	Address netip.AddrPort
	Engine  *standin.Engine

	rig     *Rig
	handler http.Handler
	cache   *kvcache.Cache

	mu     sync.Mutex
	entry  standin.Entry
	server *http.Server
	// gone means that the replica has crashed and is not back yet.
	gone bool
}

func (r *Rig) startEngine(i int) error {
	e := &Engine{rig: r, ID: nextReplicaID(), cache: kvcache.New()}
	e.entry = standin.Entry{Service: EnginePool, Zone: zone(i), Started: time.Now(), Model: Model, Version: 1, Release: "v1"}
	var handler http.Handler = r.options.Requests(e)
	if i >= engines {
		e.entry.Service, e.entry.Model, e.entry.Version = AppPool, "", 0
	} else {
		e.Engine = &standin.Engine{Requests: handler, Model: Model, OnLoad: func(uint64) { e.cache.Clear() }, CacheEvents: e.cache}
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
	e.cache.Read(r.Header.Get(names.CacheSalt), r.Header.Get(names.Model), r.Header.Get(names.Prefix))
}
