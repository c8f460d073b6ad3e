package crashes

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"comfreyworks"
)

// TestJudge guards against blaming a request for the end of an upstream that had ended
// when the request arrived, and against excusing one that was alive there.
func TestJudge(t *testing.T) {
	reset := Evidence{Took: 20 * time.Millisecond, Reset: true, Reused: true}
	change := func(do func(*Evidence)) Evidence {
		e := reset
		do(&e)
		return e
	}
	for name, c := range map[string]struct {
		evidence Evidence
		known    bool
		want     Verdict
	}{
		"nothing is known":         {want: EndedUnder},
		"known to have ended":      {evidence: Evidence{Reused: true}, known: true, want: EndedBefore},
		"back after its end":       {known: true, want: EndedUnder},
		"reset soon":               {evidence: reset, want: Unread},
		"reset late":               {evidence: change(func(e *Evidence) { e.Took = unreadTime + 1 }), want: EndedUnder},
		"reset on a fresh one":     {evidence: change(func(e *Evidence) { e.Reused = false }), want: EndedUnder},
		"closed soon":              {evidence: change(func(e *Evidence) { e.Reset = false }), want: EndedUnder},
		"reset within the answer":  {evidence: change(func(e *Evidence) { e.Began = true }), want: EndedUnder},
		"an answer proves it":      {evidence: Evidence{Began: true}, known: true, want: EndedUnder},
		"an answer that goes on":   {evidence: Evidence{Began: true, Answering: SoundAnswerTime}, want: Answering},
		"just before that":         {evidence: Evidence{Began: true, Answering: SoundAnswerTime - 1}, want: EndedUnder},
		"one that went on, silent": {evidence: Evidence{Began: true, Answering: time.Hour}, known: true, want: Answering},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, judge(c.evidence, c.known), c.want) })
	}
}

func TestDoubt(t *testing.T) {
	for others, want := range map[int]int{0: 0, fewOtherEnds - 1: 0, fewOtherEnds: 1, 2 * fewOtherEnds: 2, 1000: maxDoubt} {
		assert.Equal(t, doubt(others, 0), want)
		assert.Equal(t, doubt(others, 1), min(want+1, maxDoubt))
	}
}

// start returns the start time of an incarnation.
func start(incarnation int) time.Time { return time.UnixMilli(int64(incarnation)) }

// TestOneEndCountsOnce guards against suspecting what one upstream or several have ended
// under, because several requests or gateways report these ends: late, in any order or
// repeatedly.
func TestOneEndCountsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		gateways := make([]*Log, 3)
		for i := range gateways {
			gateways[i] = New(Options{Clock: clock})
		}
		var inFlight []*Request
		ended := make(map[int]bool)
		draw := func(name string, n int) int { return rapid.IntRange(0, n-1).Draw(t, name) }
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch gateway := gateways[draw("gateway", len(gateways))]; {
			case draw("send", 2) == 0:
				upstream := draw("upstream", 5)
				inFlight = append(inFlight, gateway.Begin([]uint32{sound, RequestKey(nil, "request")}).On(comfreyworks.InstanceID(fmt.Sprint(upstream)), start(1)))
				ended[upstream] = true
			case len(inFlight) > 0 && draw("break", 2) == 0:
				inFlight[draw("request", len(inFlight))].Broke(Evidence{})
			default:
				suspicions, _ := gateway.After(0, Remote)
				gateways[draw("to", len(gateways))].Merge(suspicions, Remote)
			}
			clock.Advance(time.Duration(draw("pause", 1000)) * time.Millisecond)
		}
		for _, gateway := range gateways {
			assert.Assert(t, crashesOf(gateway, sound) <= len(ended), "%d crashes, %d ends", crashesOf(gateway, sound), len(ended))
		}
	})
}

// TestKnownEnds checks when a request was sent to an upstream that had ended.
func TestKnownEnds(t *testing.T) {
	send := func(l *Log, incarnation int, key uint32) *Request {
		return l.Begin([]uint32{key}).On("engine", start(incarnation))
	}
	t.Run("seen here", func(t *testing.T) {
		l, clock := newLog()
		assert.Equal(t, send(l, 1, sound).Broke(Evidence{}).Verdict, EndedUnder)
		clock.Advance(endKept)
		assert.Equal(t, send(l, 1, other).Broke(Evidence{Reused: true}).Verdict, EndedBefore)
		clock.Advance(1)
		assert.Equal(t, send(l, 1, other).Broke(Evidence{}).Verdict, EndedUnder)
	})
	t.Run("while an answer went on", func(t *testing.T) {
		l, _ := newLog()
		assert.Equal(t, send(l, 1, sound).Broke(Evidence{Began: true, Answering: time.Minute}).Verdict, Answering)
		assert.Equal(t, send(l, 1, sound).Broke(Evidence{Reused: true}).Verdict, EndedBefore)
		assert.Equal(t, crashesOf(l, sound), 0)
	})
	t.Run("seen by another gateway", func(t *testing.T) {
		l, _ := newLog()
		there, _ := newLog()
		send(there, 1, sound).Broke(Evidence{})
		before := send(l, 1, other)
		exchange(there, l)
		assert.Equal(t, before.Broke(Evidence{}).Verdict, EndedUnder)
		assert.Equal(t, send(l, 1, other).Broke(Evidence{Reused: true}).Verdict, EndedBefore)
	})
	t.Run("replaced", func(t *testing.T) {
		l, _ := newLog()
		send(l, 1, sound)
		send(l, 2, sound)
		assert.Equal(t, send(l, 1, other).Broke(Evidence{Reused: true}).Verdict, EndedBefore)
		assert.Equal(t, send(l, 2, other).Broke(Evidence{}).Verdict, EndedUnder)
	})
	t.Run("heard of since", func(t *testing.T) {
		l, _ := newLog()
		there, _ := newLog()
		send(there, 1, sound).Broke(Evidence{})
		exchange(there, l)
		sent := send(l, 1, other)
		send(l, 1, sound).Heard()
		exchange(there, l)
		assert.Equal(t, sent.Broke(Evidence{}).Verdict, EndedUnder)
	})
	t.Run("unknown start", func(t *testing.T) {
		l, clock := newLog()
		for _, want := range []Verdict{EndedUnder, EndedBefore} {
			assert.Equal(t, send(l, 0, sound).On("engine", time.Time{}).Broke(Evidence{Reused: true}).Verdict, want)
		}
		clock.Advance(unknownStartKept + 1)
		assert.Equal(t, send(l, 0, sound).On("engine", time.Time{}).Broke(Evidence{}).Verdict, EndedUnder)
	})
	t.Run("reset too often without an answer", func(t *testing.T) {
		l, _ := newLog()
		reset := Evidence{Reset: true, Reused: true}
		for i := range maxExcuses {
			assert.Equal(t, send(l, i, sound).Broke(reset).Verdict, Unread)
		}
		assert.Equal(t, send(l, maxExcuses, sound).Broke(reset).Verdict, EndedUnder)
		answer(l, sound)
		assert.Equal(t, send(l, maxExcuses+1, sound).Broke(reset).Verdict, Unread)
	})
	t.Run("their number is limited", func(t *testing.T) {
		var k knownEnds
		for i := range incarnation(2 * maxUpstreams) {
			k.replace(i<<16|1, start(1), start(0))
			k.replace(i<<16|3, start(2), start(0))
		}
		assert.Assert(t, len(k.ends) <= maxEnds && len(k.last) <= maxUpstreams, "%d %d", len(k.ends), len(k.last))
	})
}

// TestOtherEnds checks that it takes more ends to suspect something while upstreams end
// without it, and that it is suspected all the same.
func TestOtherEnds(t *testing.T) {
	count := func(engines int) int {
		l, clock := newLog()
		for i := range engines {
			l.Begin([]uint32{100 + uint32(i)}).On(comfreyworks.InstanceID(fmt.Sprint("other", i)), start(1)).Broke(Evidence{})
			clock.Advance(togetherWindow + 1)
		}
		clock.Advance(reportTime)
		for n := 1; ; n++ {
			if l.Begin([]uint32{crasher}).On(comfreyworks.InstanceID(fmt.Sprint("engine", n)), start(1)).Broke(Evidence{}).Suspected {
				return n
			}
		}
	}
	assert.Equal(t, count(0), blameAfter)
	assert.Equal(t, count(fewOtherEnds), blameAfter+1)
	assert.Equal(t, count(100), blameAfter+maxDoubt)
}

// TestRequestThatEndsServicesAtOnce guards against a request that ends each service as
// soon as it is read, which looks like a service that was gone.
func TestRequestThatEndsServicesAtOnce(t *testing.T) {
	request := RequestKey(nil, "request")
	for name, c := range map[string]struct {
		suspects []uint32
		crashes  int
	}{
		"service": {[]uint32{request}, maxExcuses},
		"engine":  {[]uint32{request, sound}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l, _ := newLog()
			for upstream := range maxExcuses {
				sent := l.Begin(c.suspects).On(comfreyworks.InstanceID(fmt.Sprint(upstream)), start(1))
				finding := sent.Broke(Evidence{Reset: true, Reused: true})
				assert.Equal(t, finding.Verdict, Unread)
				assert.Assert(t, !finding.Suspected)
			}
			assert.Equal(t, crashesOf(l, request), c.crashes)
			_, blamed := l.Blamed(c.suspects)
			assert.Equal(t, blamed, c.crashes > 0)
		})
	}
}
