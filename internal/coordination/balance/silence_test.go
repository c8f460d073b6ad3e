package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"comfreyworks"
)

const (
	silenceStep = 50 * time.Millisecond
	// silentAfter is how long a request waits for its answer until another upstream
	// takes it over, dialTimeout how long it waits for a connection.
	silentAfter = 600 * time.Millisecond
	dialTimeout = time.Second
	// maxReturn is how soon every gateway must use a silent upstream again after it
	// has gone on.
	maxReturn = time.Second
	// maxSent is how many requests a gateway may send in 8 s to a silent upstream.
	maxSent = 12
)

// silencePlay has gateways that send requests to a pool, one of whose upstreams falls
// silent.
type silencePlay struct {
	query Query
	// load is how many requests each gateway sends in each step.
	load int
	// refuses means that the silent upstream accepts no connections, mayRepeat that
	// another upstream takes over the requests that it does not answer.
	refuses, mayRepeat bool
	silentFor          time.Duration
}

// sentRequest is a request that the silent upstream has not answered.
type sentRequest struct {
	pick *Pick
	at   time.Time
}

// play returns when the first gateway avoided the silent upstream, how long after the
// silence each gateway used it again, at most, and the largest number of requests that a
// gateway sent there meanwhile.
func (p silencePlay) play(t *testing.T) (avoided, returned time.Duration, sent int) {
	const gatewayCount, length = 3, 8 * time.Second
	var gateways [gatewayCount]*fixture
	var waiting [gatewayCount][]sentRequest
	var sentBy [gatewayCount]int
	var returnedAfter [gatewayCount]time.Duration
	for i := range gateways {
		gateways[i], returnedAfter[i] = newFixture(3), length
	}
	silent := gateways[0].catalog.Upstreams(p.query.Pool)[0].ID
	avoided = length
	for elapsed := -time.Second; elapsed < length; elapsed += silenceStep {
		isSilent := elapsed >= 0 && elapsed < p.silentFor
		for i, f := range gateways {
			now := f.clock.Now()
			waiting[i] = slices.DeleteFunc(waiting[i], func(r sentRequest) bool { return p.end(r, now, isSilent) })
			var answered []sentRequest
			for range p.load {
				p.query.AffinityKey = xxhash.Sum64String(fmt.Sprint(p.query.AffinityKey))
				pick := f.Pick(p.query)
				assert.Assert(t, pick != nil)
				switch {
				case pick.Upstream.ID == silent && isSilent:
					waiting[i] = append(waiting[i], sentRequest{pick, now})
					sentBy[i]++
					continue
				case pick.Upstream.ID == silent && elapsed >= p.silentFor:
					returnedAfter[i] = min(returnedAfter[i], elapsed-p.silentFor)
				}
				answered = append(answered, sentRequest{pick, now.Add(-10 * time.Millisecond)})
			}
			for _, r := range answered {
				p.end(r, now, false)
			}
			f.mu.Lock()
			if now.Before(f.endpoints[silent].avoidUntil) {
				avoided = min(avoided, elapsed)
			}
			f.mu.Unlock()
			for j, peer := range gateways {
				if i != j {
					peer.SetPeerLoads(comfreyworks.InstanceID(fmt.Sprint("g", i)), f.LocalLoads(), now.Add(300*time.Millisecond))
				}
			}
			f.clock.Advance(silenceStep)
		}
	}
	return avoided, slices.Max(returnedAfter[:]), slices.Max(sentBy[:])
}

// end ends a request whose upstream has gone on or has been silent for too long.
func (p silencePlay) end(r sentRequest, now time.Time, isSilent bool) bool {
	took := now.Sub(r.at)
	switch {
	case !isSilent:
		r.pick.AnswerStarted()
		r.pick.Done(Result{Outcome: Answered, Elapsed: took})
	case p.refuses && took >= dialTimeout:
		r.pick.Done(Result{Outcome: Unreachable})
	case !p.refuses && p.mayRepeat && took >= silentAfter:
		r.pick.Silent()
		r.pick.Done(Result{Outcome: Failed})
	default:
		return false
	}
	return true
}

// TestSilentUpstreamReturns guards against gateways that avoid an upstream for seconds
// because many requests met it while it was silent.
func TestSilentUpstreamReturns(t *testing.T) {
	for poolName, query := range map[string]Query{"engine": {Pool: engines, Model: model, Tokens: 1000}, "service": {Pool: services}} {
		for name, play := range map[string]silencePlay{
			"taken over": {mayRepeat: true}, "no connection": {refuses: true, mayRepeat: true}, "runs once": {},
		} {
			play.query = query
			for _, play.load = range []int{3, 12} {
				for _, play.silentFor = range []time.Duration{time.Second, 1500 * time.Millisecond} {
					t.Run(fmt.Sprint(poolName, ", ", name, ", load ", play.load, ", ", play.silentFor), func(t *testing.T) {
						_, returned, sent := play.play(t)
						assert.Assert(t, sent <= maxSent, "%d requests", sent)
						assert.Assert(t, returned <= maxReturn, "used again after %s", returned)
					})
				}
				if !play.mayRepeat || play.load < 2*minFailuresToAvoid {
					continue
				}
				t.Run(fmt.Sprint(poolName, ", ", name, ", load ", play.load, ", for good"), func(t *testing.T) {
					play.silentFor = time.Hour
					avoided, _, sent := play.play(t)
					assert.Assert(t, sent <= maxSent, "%d requests", sent)
					limit := silentAfter
					if play.refuses {
						limit = dialTimeout
					}
					assert.Assert(t, avoided <= limit+silenceStep, "avoided after %s", avoided)
				})
			}
		}
	}
}

// TestProbes guards against services that get no more requests because they were slow
// once, and against many requests for those that stay slow.
func TestProbes(t *testing.T) {
	const step, fast = 50 * time.Millisecond, 10 * time.Millisecond
	for name, c := range map[string]struct {
		slow   time.Duration
		probes [2]int
	}{"it stays slow": {15 * fast, [2]int{4, 8}}, "it is fast again": {fast, [2]int{600, 3600}}} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(0)
			slow := f.catalog.Upstreams(services)[0].ID
			f.serveAll(slow, time.Second)
			served := 0
			for elapsed := time.Duration(0); elapsed < 30*time.Second; elapsed += step {
				served += f.serveAll(slow, c.slow)
				f.clock.Advance(step)
			}
			assert.Assert(t, served >= c.probes[0] && served <= c.probes[1], "%d of 3600 requests", served)
		})
	}
}

// serveAll sends six requests to services at once. It returns how many of them were sent
// to the upstream that answers after the given time.
func (f *fixture) serveAll(id comfreyworks.InstanceID, elapsed time.Duration) int {
	picks, served := make([]*Pick, 6), 0
	for i := range picks {
		picks[i] = f.Pick(Query{Pool: services})
	}
	for _, pick := range picks {
		result := Result{Outcome: Answered, Elapsed: 10 * time.Millisecond}
		if pick.Upstream.ID == id {
			result.Elapsed, served = elapsed, served+1
		}
		pick.Done(result)
	}
	return served
}
