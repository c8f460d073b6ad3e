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
	return Rates{PrefillTime: time.Microsecond, StepTime: time.Millisecond, StepTokens: 64, Batch: 2, CacheBlocks: 8}
}

func request(id comfreyworks.RequestID, prompt string, priority int) comfreyworks.GenerateRequest {
	return comfreyworks.GenerateRequest{ID: id, Prompt: prompt, MaxTokens: 2, Priority: priority}
}

// prompt returns a text of some blocks that starts with its name.
func prompt(name string, blocks int) string {
	return strings.Repeat(name, blocks*blockBytes/len(name))
}

// run steps a core until it has nothing to do.
func run(c *core) time.Duration {
	var sum time.Duration
	for !c.idle() {
		duration, finish := c.step()
		finish()
		sum += duration
	}
	return sum
}

func TestCore(t *testing.T) {
	t.Run("a second prompt finds the first one's blocks", func(t *testing.T) {
		c := newCore(testRates())
		first := c.submit(request("r1", prompt("a", 4), 0))
		cold := run(c)
		second := c.submit(request("r2", prompt("a", 4)+"tail", 0))
		warm := run(c)
		assert.Equal(t, first.usage.CachedTokens, 0)
		assert.Equal(t, second.usage.CachedTokens, 4*blockTokens)
		assert.Assert(t, warm < cold)
	})
	t.Run("another salt finds nothing", func(t *testing.T) {
		c := newCore(testRates())
		c.submit(request("r1", prompt("a", 4), 0))
		run(c)
		salted := request("r2", prompt("a", 4), 0)
		salted.CacheSalt = "other"
		second := c.submit(salted)
		run(c)
		assert.Equal(t, second.usage.CachedTokens, 0)
	})
	t.Run("the deepest blocks go first", func(t *testing.T) {
		c := newCore(testRates())
		c.submit(request("r1", prompt("a", 6), 0))
		run(c)
		c.submit(request("r2", prompt("b", 4), 0))
		run(c)
		third := c.submit(request("r3", prompt("a", 6), 0))
		run(c)
		assert.Equal(t, third.usage.CachedTokens, 4*blockTokens)
		// Blocks are evicted while the second prompt is computed, so the removal
		// is told before the second prompt is.
		assert.Equal(t, c.events[1].Kind, comfreyworks.BlocksRemoved)
		assert.Equal(t, len(c.events[1].Blocks), 2)
		assert.Equal(t, c.events[2].Kind, comfreyworks.BlocksStored)
	})
	t.Run("a prompt that waits finds what the one ahead stored", func(t *testing.T) {
		c := newCore(testRates())
		c.submit(request("r1", prompt("a", 8), 0))
		second := c.submit(request("r2", prompt("a", 8)+"tail", 0))
		assert.Equal(t, c.queuedTokens(), 8*blockTokens+1)
		run(c)
		assert.Equal(t, second.usage.CachedTokens, 8*blockTokens)
	})
	t.Run("higher priority runs first", func(t *testing.T) {
		c := newCore(testRates())
		for range 2 {
			c.submit(request("busy", prompt("x", 1), 0))
		}
		c.step()
		low := c.submit(request("low", prompt("a", 1), 1))
		high := c.submit(request("high", prompt("b", 1), 5))
		assert.Assert(t, c.waiting[0] == high && c.waiting[1] == low)
	})
	t.Run("a resumed answer goes on behind its tokens", func(t *testing.T) {
		c := newCore(testRates())
		r := request("r1", prompt("a", 1), 0)
		r.ResumeFrom = 1
		j := c.submit(r)
		run(c)
		piece := <-j.output
		assert.Equal(t, piece, comfreyworks.GeneratedToken{Index: 1, Text: OutputToken("r1", 1)})
	})
}

// serve runs an engine behind HTTP until the test ends.
func serve(t *testing.T, options Options) (*Engine, *upstream.Engine) {
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
	t.Run("answers, events, snapshot and load", func(t *testing.T) {
		_, client := serve(t, Options{Rates: testRates(), Weights: "v1", Seed: 1})
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
	t.Run("a crash breaks streams and empties the cache", func(t *testing.T) {
		rates := testRates()
		rates.StepTime = time.Hour
		e, client := serve(t, Options{Rates: rates, Seed: 1})
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
	t.Run("a caller that leaves frees the work", func(t *testing.T) {
		rates := testRates()
		rates.StepTime = time.Hour
		e, client := serve(t, Options{Rates: rates, Seed: 1})
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
	order := func(fencing uint64) upstream.Order {
		return upstream.Order{Fencing: fencing, Model: "m", Weights: "v2"}
	}
	tests := []struct {
		name    string
		checks  bool
		refused bool
	}{
		{"an engine that checks refuses an old number", true, true},
		{"an engine that does not check takes it", false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := logservice.NewWeights(clockwork.NewRealClock(), time.Millisecond, 1)
			_, client := serve(t, Options{Rates: testRates(), Weights: "v1", Store: store, ChecksFencing: test.checks, Seed: 1})
			assert.NilError(t, client.Order(context.Background(), order(7)))
			err := client.Order(context.Background(), order(6))
			assert.Equal(t, upstream.IsKind(err, upstream.KindRefused), test.refused)
			_, err = client.Generate(context.Background(), comfreyworks.GenerateRequest{Weights: "v1", MaxTokens: 1}, nil)
			assert.Assert(t, upstream.IsKind(err, upstream.KindRefused))
		})
	}
}
