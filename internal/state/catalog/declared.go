package catalog

import (
	"time"

	"comfreyworks"
	"comfreyworks/internal/state/routing"
)

// SourceState tells how current the data of one source is.
type SourceState struct {
	// ConfirmedAt is the start time of the latest read that confirmed the data; zero
	// means that there was none.
	ConfirmedAt time.Time
	// CompleteAt is the latest time as of which the data is known to have contained
	// everything: ConfirmedAt or, if a read waited in vain, a later time.
	CompleteAt time.Time
	// Position is the position up to which the source was read.
	Position comfreyworks.Position
}

// SourceStates tells how current the declarations and the list of upstreams are.
func (c *Catalog) SourceStates() (declared, listed SourceState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.declared, c.listed
}

// ApplyDeclaration applies the result of a read that started at readAt.
func (c *Catalog) ApplyDeclaration(d comfreyworks.Declaration, readAt time.Time) Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	var change Change
	if d.Next < c.declared.Position {
		return change
	}
	now := c.clock.Now()
	learned := Supersession{NotBefore: c.redeclaration.limit(c.declared, now).CompleteAt, LearnedAt: now}
	c.updateRedeclaration(&d, now)
	c.declared.Position = d.Next
	if readAt.After(c.declared.ConfirmedAt) {
		c.declared.ConfirmedAt = readAt
	}
	waited := max(min(d.WaitedInVain, now.Sub(readAt)), 0)
	c.declared.CompleteAt = comfreyworks.Later(c.declared.CompleteAt, readAt.Add(waited))
	current := c.table.Load()
	if d.Routing != nil && (current == nil || d.Routing.Version > current.Version()) {
		change.Routing = routing.New(*d.Routing)
		stores := declaredStores(d.Routing.Pools)
		c.stores.Store(&stores)
		c.table.Store(change.Routing)
		c.routingChangedAt = d.Next
	}
	for model, revision := range d.Weights {
		known := c.weights[model]
		if revision <= known.Revision {
			continue
		}
		c.weights[model] = known.withRevision(declaredRevision{revision, learned})
		if change.Weights == nil {
			change.Weights = make(map[comfreyworks.Model]comfreyworks.WeightsRevision)
		}
		change.Weights[model] = revision
	}
	return change
}
