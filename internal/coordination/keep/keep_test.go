package keep

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"comfreyworks"
)

// fakeEngine records the calls that it receives. Its cache store has the levels
// in stored, with their lengths in tokens.
type fakeEngine struct {
	stored   map[uint64]int
	err      error
	imported []uint64
	exported []uint64
}

func (e *fakeEngine) Export(_ context.Context, key uint64, _ comfreyworks.RequestID, _ int) error {
	e.exported = append(e.exported, key)
	return e.err
}

func (e *fakeEngine) Import(_ context.Context, key uint64) (int, error) {
	e.imported = append(e.imported, key)
	return e.stored[key], e.err
}

// attempt has a prompt with five levels. The last one is the whole prompt.
var attempt = comfreyworks.GenerateAttempt{Chain: comfreyworks.PrefixChain{
	{Hash: 1, Tokens: 600}, {Hash: 2, Tokens: 4600}, {Hash: 3, Tokens: 9600}, {Hash: 4, Tokens: 10500}, {Hash: 5, Tokens: 10600},
}}

func newOffloader(engine *fakeEngine) (*Offloader, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return New(Options{Engine: engine, Clock: clock, Logger: zap.NewNop()}), clock
}

func TestImport(t *testing.T) {
	tests := []struct {
		name    string
		stored  map[uint64]int
		cached  int
		imports []uint64
		tokens  int
	}{
		{"the deepest level in the cache store is imported", map[uint64]int{3: 9600, 2: 4600}, 600, []uint64{4, 3}, 9600},
		{"the cache store has no level", nil, 600, []uint64{4, 3, 2}, 600},
		{"too few uncached tokens", map[uint64]int{4: 10500}, 9600, nil, 9600},
		{"the whole prompt is cached", nil, 10600, nil, 10600},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			engine := &fakeEngine{stored: test.stored}
			offloader, _ := newOffloader(engine)
			assert.Equal(t, offloader.Import(context.Background(), attempt, test.cached), test.tokens)
			assert.DeepEqual(t, engine.imported, test.imports)
		})
	}
}

func TestExport(t *testing.T) {
	t.Run("shared levels are exported once", func(t *testing.T) {
		engine := new(fakeEngine)
		offloader, _ := newOffloader(engine)
		offloader.Export(context.Background(), attempt, comfreyworks.Usage{CachedTokens: 592})
		offloader.Export(context.Background(), attempt, comfreyworks.Usage{CachedTokens: 592})
		slices.Sort(engine.exported)
		assert.DeepEqual(t, engine.exported, []uint64{2, 3, 4})
	})
	t.Run("levels that were cached are not exported", func(t *testing.T) {
		engine := new(fakeEngine)
		offloader, _ := newOffloader(engine)
		offloader.Export(context.Background(), attempt, comfreyworks.Usage{CachedTokens: 10496})
		assert.Equal(t, len(engine.exported), 0)
	})
}

func TestCacheStoreDown(t *testing.T) {
	engine := &fakeEngine{err: errors.New("the cache store does not answer")}
	offloader, clock := newOffloader(engine)
	for range 3 {
		assert.Equal(t, offloader.Import(context.Background(), attempt, 600), 600)
	}
	assert.Equal(t, len(engine.imported), 1)
	clock.Advance(failureBackoff + time.Millisecond)
	offloader.Import(context.Background(), attempt, 600)
	assert.Equal(t, len(engine.imported), 2)
}
