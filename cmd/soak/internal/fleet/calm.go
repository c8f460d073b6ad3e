package fleet

import (
	"context"
	"time"

	"comfreyworks/platform/standin"
)

// Change is a change of the configuration that operators declare in normal operation.
type Change string

// Changes lists the changes. Each of them is undone when it is declared once more.
var Changes = []Change{"nothing", "routes", "weights of pools", "timeouts", "keys", "isolation", "limits"}

const (
	// announceTime is how long a replica says that it leaves before it is listed so.
	announceTime = time.Second
	// maxRetireTime is how long a replica that leaves waits for the requests that it runs.
	maxRetireTime = 15 * time.Second
	// longTimeout and longIdleTimeout are the values that the timeouts of routes and of
	// idle connections change to. The latter is longer than connections of callers are idle: a
	// request that crosses the close of an idle connection is not answered.
	longTimeout, longIdleTimeout = 2 * routeTimeout, 30 * time.Second
)

// Change declares a change of the configuration as a new version. All requests are allowed
// before and after it.
func (f *Fleet) Change(change Change) {
	f.mu.Lock()
	d := &f.deployment
	isolated := d.Tenants[0].Isolated
	switch change {
	case "routes":
		if n := len(d.Routes); d.Routes[n-1].Name == "spare" {
			d.Routes = d.Routes[:n-1]
		} else {
			spare := d.Routes[0]
			spare.Name, spare.Prefix = "spare", "/spare/"
			d.Routes = append(d.Routes, spare)
		}
	case "weights of pools":
		for i := range d.Routes {
			d.Routes[i].Weight = (d.Routes[i].Weight + 1) % 3
		}
	case "timeouts":
		for i := range d.Routes {
			d.Routes[i].Timeout = routeTimeout + longTimeout - d.Routes[i].Timeout
		}
	case "keys":
		for i := range d.Tenants {
			d.Tenants[i] = toggleKey(d.Tenants[i])
		}
	case "limits":
		d.IdleTimeout = longIdleTimeout - d.IdleTimeout
	}
	f.mu.Unlock()
	if change == "isolation" {
		f.SetIsolated(!isolated)
		return
	}
	f.RewriteConfig()
}

// toggleKey adds a second key to a workspace or removes it.
func toggleKey(t standin.Tenant) standin.Tenant {
	if len(t.Keys) > 1 {
		t.Keys = t.Keys[:1]
	} else {
		t.Keys = append(t.Keys, t.Keys[0]+"-spare")
	}
	return t
}

// Retire lets a replica leave and stops it once it is idle and all that it has sent has been
// read. says means that it says so before it is listed as draining.
func (f *Fleet) Retire(r *Replica, says bool) {
	r.Disturb()
	if says {
		r.SetLeaving(true)
		time.Sleep(announceTime)
	}
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	f.putEntry(r)
	time.Sleep(drainTime)
	r.Pausing.Lock()
	defer r.Pausing.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), maxRetireTime)
	defer cancel()
	_ = r.server.Shutdown(ctx)
	r.Link.AwaitIdle(ctx)
	f.remove(r)
	r.stop()
}
