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

// fakeEngine records the calls that it receives. Its store holds the levels in
// held, with their lengths in tokens.
type fakeEngine struct {
	held     map[uint64]int
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
	return e.held[key], e.err
}

// attempt has a prompt with five levels. The last one is the whole prompt.
var attempt = comfreyworks.GenerateAttempt{Chain: comfreyworks.PrefixChain{
	{Hash: 1, Tokens: 600}, {Hash: 2, Tokens: 4600}, {Hash: 3, Tokens: 9600}, {Hash: 4, Tokens: 10500}, {Hash: 5, Tokens: 10600},
}}

func newKeeper(engine *fakeEngine) (*Offloader, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return New(Options{Engine: engine, Clock: clock, Logger: zap.NewNop()}), clock
}

func TestBefore(t *testing.T) {
	tests := []struct {
		name    string
		held    map[uint64]int
		cached  int
		imports []uint64
		tokens  int
	}{
		{"the deepest level in the store is imported", map[uint64]int{3: 9600, 2: 4600}, 600, []uint64{4, 3}, 9600},
		{"the store has no level", nil, 600, []uint64{4, 3, 2}, 600},
		{"too few uncached tokens", map[uint64]int{4: 10500}, 9600, nil, 9600},
		{"the engine holds the whole prompt", nil, 10600, nil, 10600},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			engine := &fakeEngine{held: test.held}
			keeper, _ := newKeeper(engine)
			assert.Equal(t, keeper.Import(context.Background(), attempt, test.cached), test.tokens)
			assert.DeepEqual(t, engine.imported, test.imports)
		})
	}
}

func TestAfter(t *testing.T) {
	t.Run("shared levels are exported once", func(t *testing.T) {
		engine := new(fakeEngine)
		keeper, _ := newKeeper(engine)
		keeper.Export(context.Background(), attempt, comfreyworks.Usage{CachedTokens: 592})
		keeper.Export(context.Background(), attempt, comfreyworks.Usage{CachedTokens: 592})
		slices.Sort(engine.exported)
		assert.DeepEqual(t, engine.exported, []uint64{2, 3, 4})
	})
	t.Run("levels that were cached are not exported", func(t *testing.T) {
		engine := new(fakeEngine)
		keeper, _ := newKeeper(engine)
		keeper.Export(context.Background(), attempt, comfreyworks.Usage{CachedTokens: 10496})
		assert.Equal(t, len(engine.exported), 0)
	})
}

func TestStoreDown(t *testing.T) {
	engine := &fakeEngine{err: errors.New("the store does not answer")}
	keeper, clock := newKeeper(engine)
	for range 3 {
		assert.Equal(t, keeper.Import(context.Background(), attempt, 600), 600)
	}
	assert.Equal(t, len(engine.imported), 1)
	clock.Advance(failureBackoff + time.Millisecond)
	keeper.Import(context.Background(), attempt, 600)
	assert.Equal(t, len(engine.imported), 2)
}
