package engine

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/protocol/upstream"
	"comfreyworks/internal/standin/logservice"
)

func testRates() Rates {
	return Rates{PrefillTime: time.Microsecond, StepTime: time.Millisecond, MaxStepTokens: 64, MaxBatch: 2, CacheBlocks: 8}
}

func request(id comfreyworks.RequestID, prompt string, priority int) comfreyworks.GenerateRequest {
	return comfreyworks.GenerateRequest{ID: id, Prompt: prompt, MaxTokens: 2, Priority: priority}
}

// prompt returns a text of the given number of blocks that repeats a name.
func prompt(name string, blocks int) string {
	return strings.Repeat(name, blocks*blockBytes/len(name))
}

// runUntilIdle runs all requests of a scheduler and returns the time they take.
func runUntilIdle(s *scheduler) time.Duration {
	var sum time.Duration
	for !s.idle() {
		duration, apply := s.planStep()
		apply()
		sum += duration
	}
	return sum
}

func TestScheduler(t *testing.T) {
	t.Run("a second prompt finds the blocks of the first", func(t *testing.T) {
		s := newScheduler(testRates())
		first := s.submit(request("r1", prompt("a", 4), 0))
		cold := runUntilIdle(s)
		second := s.submit(request("r2", prompt("a", 4)+"tail", 0))
		warm := runUntilIdle(s)
		assert.Equal(t, first.usage.CachedTokens, 0)
		assert.Equal(t, second.usage.CachedTokens, 4*blockTokens)
		assert.Assert(t, warm < cold)
	})
	t.Run("prompts with different salts share no blocks", func(t *testing.T) {
		s := newScheduler(testRates())
		s.submit(request("r1", prompt("a", 4), 0))
		runUntilIdle(s)
		salted := request("r2", prompt("a", 4), 0)
		salted.CacheSalt = "other"
		second := s.submit(salted)
		runUntilIdle(s)
		assert.Equal(t, second.usage.CachedTokens, 0)
	})
	t.Run("the last blocks of a prompt are evicted first", func(t *testing.T) {
		s := newScheduler(testRates())
		s.submit(request("r1", prompt("a", 6), 0))
		runUntilIdle(s)
		s.submit(request("r2", prompt("b", 4), 0))
		runUntilIdle(s)
		third := s.submit(request("r3", prompt("a", 6), 0))
		runUntilIdle(s)
		assert.Equal(t, third.usage.CachedTokens, 4*blockTokens)
		// Blocks are evicted during the prefill of the second prompt, so their
		// removal is reported before the second prompt is.
		assert.Equal(t, s.events[1].Kind, comfreyworks.BlocksRemoved)
		assert.Equal(t, len(s.events[1].Blocks), 2)
		assert.Equal(t, s.events[2].Kind, comfreyworks.BlocksStored)
	})
	t.Run("a waiting prompt finds the blocks that the one ahead stored", func(t *testing.T) {
		s := newScheduler(testRates())
		s.submit(request("r1", prompt("a", 8), 0))
		second := s.submit(request("r2", prompt("a", 8)+"tail", 0))
		assert.Equal(t, s.queuedTokens(), 8*blockTokens+1)
		runUntilIdle(s)
		assert.Equal(t, second.usage.CachedTokens, 8*blockTokens)
	})
	t.Run("higher priority runs first", func(t *testing.T) {
		s := newScheduler(testRates())
		for range 2 {
			s.submit(request("busy", prompt("x", 1), 0))
		}
		s.planStep()
		low := s.submit(request("low", prompt("a", 1), 1))
		high := s.submit(request("high", prompt("b", 1), 5))
		assert.Assert(t, s.waiting[0] == high && s.waiting[1] == low)
	})
	t.Run("a resumed answer continues after the tokens already received", func(t *testing.T) {
		s := newScheduler(testRates())
		r := request("r1", prompt("a", 1), 0)
		r.ResumeFrom = 1
		j := s.submit(r)
		runUntilIdle(s)
		token := <-j.output
		assert.Equal(t, token, comfreyworks.GeneratedToken{Index: 1, Text: OutputToken("r1", 1)})
	})
}

// startEngine runs an engine behind HTTP until the test ends.
func startEngine(t *testing.T, options Options) (*Engine, *upstream.Engine) {
	t.Helper()
	options.Clock = clockwork.NewRealClock()
	e := New(options)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return e.Run(ctx) })
	server := httptest.NewServer(e.Handler())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		cancel()
		assert.NilError(t, group.Wait())
	})
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	return e, upstream.NewEngine(address, &http.Client{Transport: &http.Transport{}})
}

func generate(client *upstream.Engine, id comfreyworks.RequestID) (string, error) {
	var text strings.Builder
	r := request(id, prompt("a", 4), 0)
	r.MaxTokens = 5
	_, err := client.Generate(context.Background(), r, func(p comfreyworks.GeneratedToken) error {
		text.WriteString(p.Text)
		return nil
	})
	return text.String(), err
}

func TestEngine(t *testing.T) {
	t.Run("serves answers, events, snapshots and load reports", func(t *testing.T) {
		_, client := startEngine(t, Options{Rates: testRates(), Weights: "v1", Seed: 1})
		text, err := generate(client, "r1")
		assert.NilError(t, err)
		var expected string
		for i := range 5 {
			expected += OutputToken("r1", i)
		}
		assert.Equal(t, text, expected)
		events, err := client.Events(context.Background(), 0, time.Second)
		assert.NilError(t, err)
		assert.Equal(t, len(events.Events), 1)
		assert.Equal(t, len(events.Events[0].Blocks), 4)
		snapshot, err := client.Snapshot(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, len(snapshot.Blocks), 4)
		load, err := client.Load(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, load.Weights, comfreyworks.WeightsVersion("v1"))
	})
	t.Run("a crash aborts streams and begins a new incarnation", func(t *testing.T) {
		rates := testRates()
		rates.StepTime = time.Hour
		e, client := startEngine(t, Options{Rates: rates, Seed: 1})
		var group errgroup.Group
		group.Go(func() error {
			_, err := generate(client, "r1")
			return err
		})
		for e.Running() == 0 {
			time.Sleep(time.Millisecond)
		}
		before := e.currentLoad().Incarnation
		e.Crash(0)
		assert.Assert(t, upstream.IsKind(group.Wait(), upstream.KindBroken))
		load, err := client.Load(context.Background())
		assert.NilError(t, err)
		assert.Assert(t, load.Incarnation != before)
	})
	t.Run("a request whose caller cancels is removed", func(t *testing.T) {
		rates := testRates()
		rates.StepTime = time.Hour
		e, client := startEngine(t, Options{Rates: rates, Seed: 1})
		ctx, cancel := context.WithCancel(context.Background())
		var group errgroup.Group
		group.Go(func() error {
			_, err := client.Generate(ctx, request("r1", "x", 0), nil)
			return err
		})
		for e.Running() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
		assert.Assert(t, errors.Is(group.Wait(), context.Canceled))
		for e.Running() > 0 {
			time.Sleep(time.Millisecond)
		}
	})
}

func TestOrders(t *testing.T) {
	order := func(fencing uint64) upstream.WeightsOrder {
		return upstream.WeightsOrder{Fencing: fencing, Model: "m", Weights: "v2"}
	}
	tests := []struct {
		name          string
		checksFencing bool
		refused       bool
	}{
		{"an engine that checks fencing refuses an old token", true, true},
		{"an engine that does not check accepts it", false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := logservice.NewWeightsStore(clockwork.NewRealClock(), time.Millisecond, 1)
			_, client := startEngine(t, Options{Rates: testRates(), Weights: "v1", WeightsStore: store, ChecksFencing: test.checksFencing, Seed: 1})
			assert.NilError(t, client.OrderWeights(context.Background(), order(7)))
			err := client.OrderWeights(context.Background(), order(6))
			assert.Equal(t, upstream.IsKind(err, upstream.KindRefused), test.refused)
			_, err = client.Generate(context.Background(), comfreyworks.GenerateRequest{Weights: "v1", MaxTokens: 1}, nil)
			assert.Assert(t, upstream.IsKind(err, upstream.KindRefused))
		})
	}
}
