package watch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/state/holdings"
)

// silentTarget answers each poll when its wait is over, except while it is silent.
type silentTarget struct {
	from, until time.Time
	polls       int
}

// CacheChanges implements comfreyworks.CacheSource.
func (s *silentTarget) CacheChanges(ctx context.Context, _ comfreyworks.CacheHolder, after uint64, wait time.Duration) (comfreyworks.CacheChanges, error) {
	s.polls++
	if answerAt := time.Now().Add(wait); !answerAt.Before(s.from) && answerAt.Before(s.until) {
		wait = time.Until(s.until)
	}
	if !comfreyworks.Sleep(ctx, clockwork.NewRealClock(), wait) {
		return comfreyworks.CacheChanges{}, ctx.Err()
	}
	changes := comfreyworks.CacheChanges{Incarnation: 1, Next: 1}
	if after == 0 {
		changes.Changes = cacheChange("a", 100)
	}
	return changes, nil
}

// TestSilentTarget guards against forgetting what a sound engine has cached because it
// was silent for a while, and against remembering it for long if the engine is dead.
func TestSilentTarget(t *testing.T) {
	for readers, forgottenAfter := range map[int]time.Duration{1: 3500 * time.Millisecond, 24: 2200 * time.Millisecond} {
		// The silence begins at different times in the course of a poll.
		for offset := time.Duration(0); offset < time.Second; offset += 30 * time.Millisecond {
			for _, silentFor := range []time.Duration{time.Second, 1500 * time.Millisecond, time.Hour} {
				t.Run(fmt.Sprint(readers, " readers, from ", offset, ", for ", silentFor), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						from := time.Now().Add(3*time.Second + offset)
						target := &silentTarget{from: from, until: from.Add(silentFor)}
						forgotten := forgetsAfter(t, target, readers)
						if silentFor == time.Hour {
							assert.Assert(t, forgotten > 0 && forgotten <= forgottenAfter, "%s", forgotten)
						} else {
							assert.Assert(t, forgotten == 0, "forgotten after %s", forgotten)
						}
						assert.Assert(t, target.polls <= 50, "%d polls", target.polls)
					})
				})
			}
		}
	}
}

// forgetsAfter polls a target until 5 s after its silence began. It returns how long
// after that the target's part is no longer known; zero means that it stays known.
func forgetsAfter(t *testing.T, target *silentTarget, readers int) time.Duration {
	index := holdings.New()
	w := New(Options{Source: target, Index: index, ReaderCount: oneReader, Clock: clockwork.NewRealClock(), Logger: zap.NewNop()})
	w.readers.Store(int64(readers))
	ctx, stop := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error {
		w.poll(ctx, Target{ID: "e", MaxReaders: 12})
		return nil
	})
	var forgotten time.Duration
	for time.Since(target.from) < 5*time.Second && forgotten == 0 {
		time.Sleep(10 * time.Millisecond)
		held := index.PrefixTokens("s", "oak", []comfreyworks.PromptPart{{ID: "a", Tokens: 100}})["e"]
		if time.Since(target.from) > 0 && held == 0 {
			forgotten = time.Since(target.from)
		}
	}
	stop()
	assert.NilError(t, group.Wait())
	return forgotten
}
