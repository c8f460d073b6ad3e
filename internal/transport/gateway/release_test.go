package gateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/standin/releasestore"
	"comfreyworks/internal/standin/replica"
)

// releaseTestPause is long enough for new releases to be used for streams.
const releaseTestPause = 5 * time.Second

// releaseFixture is a gateway in front of two engines of release v1 and two of v2.
type releaseFixture struct{ *fixture }

func newReleaseFixture(t *testing.T) releaseFixture {
	t.Helper()
	f := newFixture(t)
	for i := 2; i < 4; i++ {
		f.engines = append(f.engines, f.addReplica(t, "lm", i, eventsPerStream))
	}
	f.source.change(func(s *memorySource) {
		release := "v1"
		for i := range s.upstreams {
			if s.upstreams[i].ID == "lm-2" {
				release = "v2"
			}
			s.upstreams[i].Release = release
		}
	})
	f.refresh(t)
	f.clock.Advance(releaseTestPause)
	f.refresh(t)
	return releaseFixture{f}
}

// ranAt returns the releases of the engines that ran a request.
func (f releaseFixture) ranAt(id string) string {
	var releases []string
	for i, engine := range f.engines {
		for _, run := range engine.Runs() {
			if string(run.ID) == id {
				releases = append(releases, fmt.Sprint("v", 1+i/2))
			}
		}
	}
	return strings.Join(releases, " ")
}

// takeUp takes up a stream after its third event.
func (f releaseFixture) takeUp(t *testing.T, id, resumes string) response {
	t.Helper()
	r := f.request(t, http.MethodPost, "/note/1", "text")
	r.Header.Set(f.names.RequestID, id)
	r.Header.Set(f.names.LastEventID, "3")
	r.Header.Set(f.names.Resumes, resumes)
	return f.do(t, r)
}

// advanceContinuously advances the clock whenever something waits for it, until stop is
// called.
func (f releaseFixture) advanceContinuously(t *testing.T) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		for f.clock.BlockUntilContext(ctx, 1) == nil {
			f.clock.Advance(50 * time.Millisecond)
		}
		return nil
	})
	return func() {
		cancel()
		assert.NilError(t, group.Wait())
	}
}

// begin begins a stream that breaks off.
func (f releaseFixture) begin(t *testing.T, id string) {
	t.Helper()
	f.failFirst(f.engines, replica.FaultTruncatedResponse, 2)
	r := f.request(t, http.MethodPost, "/note/1", "text")
	r.Header.Set(f.names.RequestID, id)
	assert.Assert(t, f.do(t, r).cut)
}

// TestStreamsOfOneRelease guards against streams that begin at one release of the
// upstreams' software and continue at another: their texts do not fit together.
func TestStreamsOfOneRelease(t *testing.T) {
	t.Run("a stream that breaks off is continued by the same release", func(t *testing.T) {
		f := newReleaseFixture(t)
		for i := range 20 {
			f.failFirst(f.engines, replica.FaultTruncatedResponse, 1)
			id := fmt.Sprint("r", i)
			r := f.request(t, http.MethodPost, "/note/1", "text")
			r.Header.Set(f.names.RequestID, id)
			r.Header.Set(f.names.Prefix, fmt.Sprintf("5c1e:800,91b%d:410,e440:250", i))
			assert.Equal(t, f.do(t, r).body, fullStream())
			ran := f.ranAt(id)
			assert.Assert(t, ran == "v1 v1" || ran == "v2 v2", ran)
		}
	})
	t.Run("it ends if no other upstream of the release is left", func(t *testing.T) {
		f := newReleaseFixture(t)
		f.source.change(func(s *memorySource) {
			for i := range s.upstreams {
				s.upstreams[i].Release = string(s.upstreams[i].ID)
			}
		})
		f.refresh(t)
		f.clock.Advance(releaseTestPause)
		f.refresh(t)
		f.failFirst(f.engines, replica.FaultTruncatedResponse, 9)
		assert.Assert(t, f.call(t, "/note/1").cut)
		used := 0
		for _, engine := range f.engines {
			if len(engine.Runs()) > 0 {
				used++
			}
		}
		assert.Equal(t, used, 1)
	})
	t.Run("a stream that the caller takes up is continued by the release that began it", func(t *testing.T) {
		f := newReleaseFixture(t)
		for i := range 20 {
			id := fmt.Sprint("r", i)
			f.begin(t, id)
			began, _, _ := strings.Cut(f.ranAt(id), " ")
			again := fmt.Sprint("again-", i)
			assert.Equal(t, f.takeUp(t, again, id).StatusCode, http.StatusOK)
			assert.Equal(t, f.ranAt(again), began)
		}
	})
	t.Run("one whose beginning nobody knows is refused", func(t *testing.T) {
		f := newReleaseFixture(t)
		// Ends the wait for news of the stream's origin.
		stop := f.advanceContinuously(t)
		defer stop()
		resp := f.takeUp(t, "again", "elsewhere")
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, resp.Header.Get("Retry-After") != "")
		assert.Equal(t, f.ranAt("again"), "")
	})
	t.Run("while there is one release, any stream is continued", func(t *testing.T) {
		f := newFixture(t)
		assert.Equal(t, releaseFixture{f}.takeUp(t, "again", "elsewhere").StatusCode, http.StatusOK)
	})
}

// TestAllGatewaysEnded guards against streams that a gateway joins from two releases
// because no gateway is left that knows which one began them, and against a deployment of
// one release that loses streams because of that.
func TestAllGatewaysEnded(t *testing.T) {
	leave := func(f releaseFixture, release string) {
		f.source.change(func(s *memorySource) {
			s.upstreams = slices.DeleteFunc(slices.Clone(s.upstreams), func(u comfreyworks.Upstream) bool {
				return u.Pool == "lm" && u.Release == release
			})
		})
	}
	for name, test := range map[string]struct {
		// before happens while the first gateway runs, after when none does.
		before, after func(releaseFixture)
	}{
		"two releases in service":    {},
		"one of them has left":       {before: func(f releaseFixture) { leave(f, "v1") }},
		"one of them left meanwhile": {after: func(f releaseFixture) { leave(f, "v1") }},
		"it left meanwhile, and the store is down": {after: func(f releaseFixture) {
			leave(f, "v1")
			f.releases.SetFault(releasestore.Down)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newReleaseFixture(t)
			f.begin(t, "r0")
			if test.before != nil {
				test.before(f)
				f.refresh(t)
			}
			if test.after != nil {
				test.after(f)
			}
			f.start(t)
			stop := f.advanceContinuously(t)
			defer stop()
			assert.Equal(t, f.takeUp(t, "again", "r0").StatusCode, http.StatusServiceUnavailable)
			assert.Equal(t, f.ranAt("again"), "")
		})
	}
	t.Run("one release goes on as soon as the record was read", func(t *testing.T) {
		f := newFixture(t)
		reads, appends := f.releases.Calls()
		f.start(t)
		assert.Equal(t, releaseFixture{f}.takeUp(t, "again", "elsewhere").StatusCode, http.StatusOK)
		readsAfter, appendsAfter := f.releases.Calls()
		assert.Equal(t, readsAfter, reads+1)
		assert.Equal(t, appendsAfter, appends)
	})
}
