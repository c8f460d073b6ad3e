package logservice

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
	"comfreyworks/internal/protocol/logservice"
)

var bg = context.Background()

func expectRecords(t *testing.T, log comfreyworks.Log, from comfreyworks.Offset, expected ...string) {
	t.Helper()
	records, err := log.Read(bg, "s", from, 10, 0)
	assert.NilError(t, err)
	var got []string
	for _, record := range records {
		got = append(got, string(record.Data))
	}
	assert.DeepEqual(t, got, expected)
}

func TestLog(t *testing.T) {
	newLog := func(options LogOptions) (*Log, *clockwork.FakeClock) {
		clock := clockwork.NewFakeClock()
		options.Clock = clock
		return NewLog(options), clock
	}
	t.Run("reads start at the given offset", func(t *testing.T) {
		log, _ := newLog(LogOptions{})
		offset, err := log.Append(bg, "s", [][]byte{[]byte("a"), []byte("b")})
		assert.NilError(t, err)
		assert.Equal(t, offset, comfreyworks.Offset(0))
		expectRecords(t, log, 1, "b")
		expectRecords(t, log, 9)
	})
	t.Run("records are dropped after the retention time", func(t *testing.T) {
		log, clock := newLog(LogOptions{Retention: time.Minute})
		_, _ = log.Append(bg, "s", [][]byte{[]byte("a")})
		clock.Advance(2 * time.Minute)
		_, _ = log.Append(bg, "s", [][]byte{[]byte("b")})
		expectRecords(t, log, 0, "b")
	})
	t.Run("an append whose answer is lost has taken effect", func(t *testing.T) {
		log, _ := newLog(LogOptions{})
		log.LoseAnswers(1)
		_, err := log.Append(bg, "s", [][]byte{[]byte("a")})
		assert.Assert(t, errors.Is(err, ErrLostAnswer))
		expectRecords(t, log, 0, "a")
	})
	t.Run("appends over the rate limit and calls during an outage fail", func(t *testing.T) {
		log, _ := newLog(LogOptions{AppendsPerSecond: 1})
		_, err := log.Append(bg, "s", nil)
		assert.NilError(t, err)
		_, err = log.Append(bg, "s", nil)
		assert.Assert(t, errors.Is(err, ErrRateLimited))
		log.SetOutage(true)
		_, err = log.Read(bg, "s", 0, 1, 0)
		assert.Assert(t, errors.Is(err, ErrOutage))
	})
}

func TestHTTP(t *testing.T) {
	clock := clockwork.NewRealClock()
	log := NewLog(LogOptions{Clock: clock, AppendsPerSecond: 2})
	list := NewList(clock, 0)
	server := httptest.NewServer(Handler(log, list))
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	client := logservice.NewClient(address, &http.Client{Transport: &http.Transport{}})
	expectKind := func(t *testing.T, err error, kind logservice.Kind) {
		t.Helper()
		var e *logservice.Error
		assert.Assert(t, errors.As(err, &e), "got %v", err)
		assert.Equal(t, e.Kind, kind)
	}
	t.Run("an unchanged list is not sent again", func(t *testing.T) {
		list.Set([]comfreyworks.Instance{{ID: "lm/0", Address: netip.MustParseAddrPort("127.0.0.1:1")}})
		for n := 1; n <= 2; n++ {
			first, err := client.Instances(bg)
			assert.NilError(t, err)
			assert.Equal(t, len(first), n)
			second, err := client.Instances(bg)
			assert.NilError(t, err)
			assert.Assert(t, &first[0] == &second[0])
			list.Set(append(first, comfreyworks.Instance{ID: "lm/1", Address: netip.MustParseAddrPort("127.0.0.1:2")}))
		}
	})
	t.Run("append and read", func(t *testing.T) {
		_, err := client.Append(bg, "claims/dispatch", [][]byte{[]byte("a")})
		assert.NilError(t, err)
		records, err := client.Read(bg, "claims/dispatch", 0, 10, time.Second)
		assert.NilError(t, err)
		assert.Equal(t, string(records[0].Data), "a")
	})
	t.Run("an append whose answer is lost is unavailable to the client but takes effect", func(t *testing.T) {
		log.LoseAnswers(1)
		_, err := client.Append(bg, "s", [][]byte{[]byte("a")})
		expectKind(t, err, logservice.KindUnavailable)
		expectRecords(t, client, 0, "a")
	})
	t.Run("an append over the rate limit is refused and has no effect", func(t *testing.T) {
		_, err := client.Append(bg, "s", [][]byte{[]byte("b")})
		expectKind(t, err, logservice.KindRefused)
		expectRecords(t, client, 0, "a")
	})
}

func TestList(t *testing.T) {
	clock := clockwork.NewFakeClock()
	list := NewList(clock, time.Minute)
	expect := func(n int) {
		t.Helper()
		instances, err := list.Instances(bg)
		assert.NilError(t, err)
		assert.Equal(t, len(instances), n)
	}
	list.Set(make([]comfreyworks.Instance, 1))
	expect(1)
	clock.Advance(time.Second)
	list.Set(make([]comfreyworks.Instance, 2))
	expect(1)
	clock.Advance(time.Minute)
	expect(2)
}

func TestWeightsStore(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := NewWeightsStore(clock, time.Second, 1)
	var group errgroup.Group
	for range 2 {
		group.Go(func() error { return store.Fetch(bg, "m", "v") })
	}
	// The second load begins when the first has ended.
	for range 2 {
		assert.NilError(t, clock.BlockUntilContext(bg, 1))
		clock.Advance(time.Second)
	}
	assert.NilError(t, group.Wait())
	ctx, cancel := context.WithCancel(bg)
	cancel()
	assert.Assert(t, errors.Is(store.Fetch(ctx, "m", "v"), context.Canceled))
}
