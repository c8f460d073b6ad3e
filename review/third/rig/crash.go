package rig

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"comfreyworks/platform/standin"
)

const (
	// downTime is how long a replica that has crashed is away, and expiryTime how long its
	// entry stays in the list: three heartbeat intervals.
	downTime   = 3 * time.Second
	expiryTime = 3 * heartbeat
)

// replicaIDs numbers the IDs of replicas.
var replicaIDs atomic.Uint32

func nextReplicaID() string { return fmt.Sprintf("i-%08x", 0x7f3a91c2+replicaIDs.Add(1)) }

// Crash ends the connections of a replica and stops listening, as the end of a process does.
// The replica is back later, at the same address, under another ID. It returns false if it
// has crashed already.
func (e *Engine) Crash() bool {
	e.mu.Lock()
	if e.gone {
		e.mu.Unlock()
		return false
	}
	e.gone = true
	id, server := e.ID, e.server
	e.mu.Unlock()
	_ = server.Close()
	e.rig.group.Go(func() {
		if !e.rig.sleep(downTime) {
			return
		}
		e.restart(nextReplicaID())
		if e.rig.sleep(expiryTime - downTime) {
			e.rig.Store.Put(standin.UpstreamTopic, id, "")
		}
	})
	return true
}

func (e *Engine) restart(id string) {
	e.cache.Clear()
	listener, err := net.Listen("tcp", e.Address.String())
	if err != nil {
		e.rig.Note("replica cannot listen again: %v", err)
		return
	}
	server := e.rig.serveOn(listener, e.handler)
	e.mu.Lock()
	e.server, e.gone, e.ID = server, false, id
	e.entry.Started, e.entry.Sequence = time.Now(), 0
	e.mu.Unlock()
	e.Renew()
}

// CurrentID returns the ID of the replica's current start.
func (e *Engine) CurrentID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ID
}

// sleep waits, and returns false if the rig is stopped meanwhile.
func (r *Rig) sleep(d time.Duration) bool {
	select {
	case <-r.stopping:
		return false
	case <-time.After(d):
		return true
	}
}

func (r *Rig) addServer(server *http.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.stopping:
		_ = server.Close()
	default:
		r.servers = append(r.servers, server)
	}
}

// Restart ends the replica, and starts it again under the same ID and with a software version
// after a time.
func (e *Engine) Restart(release string, down time.Duration) {
	e.mu.Lock()
	server := e.server
	e.gone = true
	e.mu.Unlock()
	_ = server.Close()
	e.rig.group.Go(func() {
		if !e.rig.sleep(down) {
			return
		}
		e.mu.Lock()
		e.entry.Release = release
		e.mu.Unlock()
		e.restart(e.CurrentID())
	})
}

// Release returns the software version of the replica.
func (e *Engine) Release() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.entry.Release
}
