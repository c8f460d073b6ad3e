package forward

import (
	"bufio"
	"bytes"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// FuzzEvents guards against a stream whose events depend on how it is cut into reads,
// that is changed or held back without end, or whose IDs have no sound order.
func FuzzEvents(f *testing.F) {
	for _, seed := range []string{wholeStream, "", "\n\n", "\r\n\r\n", "id: 1\r\ndata: a\r\n\r\n", "id:\n\n:c\n\nid: 18446744073709551616\ndata\n\n", "id: -1\n\nid: x\n\ndata: cut", "\n\r\n\n\r"} {
		f.Add([]byte(seed), "3")
	}
	f.Fuzz(func(t *testing.T, stream []byte, lastEventID string) {
		whole, wholeErr := splitEvents(bufio.NewScanner(bytes.NewReader(stream)))
		pieces, piecesErr := splitEvents(bufio.NewScanner(iotest.OneByteReader(bytes.NewReader(stream))))
		assert.DeepEqual(t, whole, pieces)
		assert.Equal(t, wholeErr, piecesErr)
		joined := strings.Join(whole, "")
		assert.Assert(t, strings.HasPrefix(string(stream), joined))
		assert.Assert(t, wholeErr != nil || strings.TrimSpace(string(stream[len(joined):])) == "")
		a := &attempt{activeRequest: &activeRequest{headerWritten: true, lastEventID: lastEventID}}
		var progress streamProgress
		for _, event := range whole {
			id := eventID([]byte(event))
			isNew, err := progress.add([]byte(event), id)
			assert.Assert(t, err != nil || !isNew || progress.newestID == id)
			assert.Assert(t, !isNewer(id, id) && !(isNewer(id, lastEventID) && a.alreadyDelivered(id)))
			if progress.hold([]byte(event)) != nil {
				assert.Assert(t, len(progress.held) <= maxHeldBytes)
			}
		}
	})
}

// splitEvents returns all events of a stream and how it ended.
func splitEvents(events *bufio.Scanner) (split []string, err error) {
	events.Buffer(nil, maxEventBytes)
	events.Split(new(eventSplitter).split)
	for events.Scan() {
		split = append(split, events.Text())
	}
	return split, events.Err()
}
