package forward

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/state/memory"
	"comfreyworks/internal/state/meter"
)

// newMemory returns an account whose answers may take bytes.
func newMemory(bytes int64) *memory.Budget {
	return memory.New(memory.Options{Limit: 4 * bytes, Clock: clockwork.NewFakeClock(), Meter: meter.New()})
}

// TestEventMemory guards against events that together take more memory than there is, and
// against ordinary events that are refused beside them.
func TestEventMemory(t *testing.T) {
	budget := newMemory(64 << 10)
	newReader := func(text string) *eventReader {
		r := &eventReader{Reader: strings.NewReader(text), ctx: t.Context()}
		r.hold = budget.Hold(memory.Answer, func() { r.hold.Release() })
		return r
	}
	endless := newReader(strings.Repeat("x", 128<<10))
	_, err := endless.Read(make([]byte, 40<<10))
	assert.NilError(t, err)
	events := newReader(strings.Repeat("data: x\n\n", 32<<10))
	for err == nil {
		_, err = events.Read(make([]byte, 4<<10))
		events.passed()
	}
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, events.held, int64(0))
	long := newReader(strings.Repeat("x", 32<<10))
	_, err = long.Read(make([]byte, 32<<10))
	assert.NilError(t, err, "the largest one gives way")
	_, err = endless.Read(make([]byte, 1))
	assert.ErrorIs(t, err, comfreyworks.ErrCutOff)
	assert.ErrorIs(t, err, memory.ErrFull)
}

// TestUnbufferedAnswers guards against answers that fail, or are buffered all the same,
// because there is no memory for them.
func TestUnbufferedAnswers(t *testing.T) {
	body := strings.Repeat("x", maxBufferedBytes)
	for name, test := range map[string]struct {
		memory   *memory.Budget
		buffered int
	}{
		"no limit":   {nil, maxBufferedBytes},
		"enough":     {newMemory(2 * maxBufferedBytes), maxBufferedBytes},
		"not enough": {newMemory(maxBufferedBytes), unheldBytes},
	} {
		t.Run(name, func(t *testing.T) {
			var buffer bytes.Buffer
			hold := test.memory.Hold(memory.Answer, nil)
			hold.Complete()
			assert.NilError(t, bufferAnswer(&buffer, strings.NewReader(body+body), hold))
			assert.Equal(t, buffer.Len(), test.buffered)
		})
	}
}
