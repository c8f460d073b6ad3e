package crashes

import (
	"fmt"
	"time"

	"comfreyworks"
	"comfreyworks/internal/state/sharedlog"
)

// policy decides at one gateway of the model what becomes of a request.
type policy interface {
	begin(engine, incarnation int, keys []uint32) run
	// verdict tells whether the request is refused, or sent to no engine but the
	// first one.
	verdict(keys []uint32) (refused, alone bool)
	// sendTo passes on what is new after a version, and returns the version reached.
	sendTo(to policy, version uint64, passedOn, as Origin) uint64
}

// run is a request at an engine.
type run interface {
	broke(evidence Evidence) (suspected bool)
	Answered()
}

// logPolicy refuses requests with parts that the log blames. If aloneAfter is not
// zero, parts with that many crashes are first tried alone on one engine.
type logPolicy struct {
	*Log
	aloneAfter uint16
}

func (p logPolicy) begin(engine, incarnation int, keys []uint32) run {
	return p.Begin(keys).On(comfreyworks.InstanceID(fmt.Sprint("engine/", engine)), time.UnixMilli(int64(incarnation)))
}

func (p logPolicy) verdict(keys []uint32) (refused, alone bool) {
	_, refused = p.Admit(keys)
	for _, key := range keys {
		known, _ := p.log.Lookup(key)
		alone = alone || p.aloneAfter > 0 && known.crashes >= p.aloneAfter
	}
	return refused, alone
}

func (p logPolicy) sendTo(to policy, version uint64, passedOn, as Origin) uint64 {
	suspicions, current := p.After(version, passedOn)
	to.(logPolicy).Merge(suspicions, as)
	return current
}

func (r *Request) broke(evidence Evidence) bool { return r.Broke(evidence).Suspected }

// countPolicy refuses requests with parts under which a number of different engines
// ended. Answers do not matter.
type countPolicy struct {
	limit   int
	crashes []engineCrash
	engines map[uint32]map[int]bool
}

type engineCrash struct {
	key    uint32
	engine int
	origin Origin
}

func (p *countPolicy) add(c engineCrash) {
	if p.engines[c.key][c.engine] {
		return
	}
	if p.engines[c.key] == nil {
		p.engines[c.key] = make(map[int]bool)
	}
	p.engines[c.key][c.engine] = true
	p.crashes = append(p.crashes, c)
}

func (p *countPolicy) begin(engine, _ int, keys []uint32) run { return countedRun{p, engine, keys} }

func (p *countPolicy) verdict(keys []uint32) (refused, alone bool) {
	for _, key := range keys {
		refused = refused || len(p.engines[key]) >= p.limit
	}
	return refused, false
}

func (p *countPolicy) sendTo(to policy, version uint64, passedOn, as Origin) uint64 {
	for _, c := range p.crashes[version:] {
		if c.origin <= passedOn {
			to.(*countPolicy).add(engineCrash{c.key, c.engine, as})
		}
	}
	return uint64(len(p.crashes))
}

type countedRun struct {
	policy *countPolicy
	engine int
	keys   []uint32
}

func (r countedRun) broke(Evidence) (suspected bool) {
	for _, key := range r.keys {
		r.policy.add(engineCrash{key, r.engine, sharedlog.Local})
		suspected = suspected || len(r.policy.engines[key]) >= blameAfter
	}
	return suspected
}

func (r countedRun) Answered() {}
