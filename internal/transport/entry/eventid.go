package entry

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"comfreyworks"
	"comfreyworks/internal/coordination/dispatch"
)

// HeaderLastEventID is the request header with the ID of the last event that the
// caller received.
const HeaderLastEventID = "Last-Event-ID"

const (
	// requestIDPrefix is the start of every request ID.
	requestIDPrefix = "cmpl-"
	// macBytes is the length of the MAC in a request ID, before hex encoding.
	macBytes = 8
	// eventIDFields is the number of fields in an event ID.
	eventIDFields = 5
	// eventIDSeparator separates the fields. No instance ID contains it.
	eventIDSeparator = "."
)

var errEventID = errors.New("not an identifier of one of your events")

// newRequestID returns an ID for a request that only the given workspace can
// resume. The ID ends with a MAC that every entry can verify, so that an entry
// can resume streams of other entries without shared state.
func newRequestID(secret string, workspace comfreyworks.Workspace) comfreyworks.RequestID {
	id := requestIDPrefix + uuid.NewString()
	return comfreyworks.RequestID(id + "-" + requestMAC(secret, workspace, id))
}

// requestMAC returns the MAC that binds a request ID to its workspace.
func requestMAC(secret string, workspace comfreyworks.Workspace, id string) string {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write([]byte("resume\x00" + string(workspace) + "\x00" + id))
	return hex.EncodeToString(mac.Sum(nil)[:macBytes])
}

// eventID returns an ID for a position in an answer. It consists of the request
// ID, the stream that the last tokens came from and the number of tokens sent.
func eventID(id comfreyworks.RequestID, origin dispatch.StreamOrigin, tokens int) string {
	return strings.Join([]string{
		string(id), strconv.Itoa(origin.Attempt), strconv.Itoa(origin.Start),
		string(origin.Instance), strconv.Itoa(tokens),
	}, eventIDSeparator)
}

// parseEventID parses an event ID and verifies that its request belongs to the
// workspace.
func parseEventID(secret string, workspace comfreyworks.Workspace, text string) (comfreyworks.RequestID, *dispatch.Resume, error) {
	fields := strings.Split(text, eventIDSeparator)
	if len(fields) != eventIDFields {
		return "", nil, errEventID
	}
	id, mac, ok := cutLast(fields[0], "-")
	if !ok || !hmac.Equal([]byte(mac), []byte(requestMAC(secret, workspace, id))) {
		return "", nil, errEventID
	}
	resume := &dispatch.Resume{Origin: dispatch.StreamOrigin{Instance: comfreyworks.InstanceID(fields[3])}}
	numbers := []struct {
		text string
		to   *int
	}{{fields[1], &resume.Origin.Attempt}, {fields[2], &resume.Origin.Start}, {fields[4], &resume.Delivered}}
	for _, number := range numbers {
		n, err := strconv.Atoi(number.text)
		if err != nil || n < 0 {
			return "", nil, fmt.Errorf("%w: %q", errEventID, number.text)
		}
		*number.to = n
	}
	if resume.Delivered < resume.Origin.Start {
		return "", nil, errEventID
	}
	return comfreyworks.RequestID(fields[0]), resume, nil
}

// cutLast is like strings.Cut, but cuts at the last separator.
func cutLast(s, separator string) (before, after string, found bool) {
	i := strings.LastIndex(s, separator)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(separator):], true
}
