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

// HeaderLastEventID carries the identifier of the last event that a caller got.
const HeaderLastEventID = "Last-Event-ID"

const (
	// requestPrefix starts every request identifier.
	requestPrefix = "cmpl-"
	// seal is the length of a request identifier's proof, in bytes.
	sealBytes = 8
	// eventFields is the number of fields in an event identifier.
	eventFields = 5
	// eventSeparator stands between the fields; no name contains it.
	eventSeparator = "."
)

var errEventID = errors.New("not an identifier of one of your events")

// newRequestID returns an identifier that only its workspace can resume: it
// ends with a proof that every entry can check, so that an entry needs no
// memory of the streams of others.
func newRequestID(secret string, workspace comfreyworks.Workspace) comfreyworks.RequestID {
	id := requestPrefix + uuid.NewString()
	return comfreyworks.RequestID(id + "-" + sealOf(secret, workspace, id))
}

func sealOf(secret string, workspace comfreyworks.Workspace, id string) string {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write([]byte("resume\x00" + string(workspace) + "\x00" + id))
	return hex.EncodeToString(mac.Sum(nil)[:sealBytes])
}

// eventID names a place in an answer: the request, the stream that the tokens
// came from and the number of tokens sent.
func eventID(id comfreyworks.RequestID, place dispatch.Place, tokens int) string {
	return strings.Join([]string{
		string(id), strconv.Itoa(place.Attempt), strconv.Itoa(place.Start),
		string(place.Instance), strconv.Itoa(tokens),
	}, eventSeparator)
}

// parseEventID reads an event identifier and checks that it belongs to the
// workspace.
func parseEventID(secret string, workspace comfreyworks.Workspace, text string) (comfreyworks.RequestID, *dispatch.Resume, error) {
	fields := strings.Split(text, eventSeparator)
	if len(fields) != eventFields {
		return "", nil, errEventID
	}
	id, seal, ok := cutLast(fields[0], "-")
	if !ok || !hmac.Equal([]byte(seal), []byte(sealOf(secret, workspace, id))) {
		return "", nil, errEventID
	}
	resume := &dispatch.Resume{Place: dispatch.Place{Instance: comfreyworks.InstanceID(fields[3])}}
	numbers := []struct {
		text string
		to   *int
	}{{fields[1], &resume.Place.Attempt}, {fields[2], &resume.Place.Start}, {fields[4], &resume.Delivered}}
	for _, number := range numbers {
		n, err := strconv.Atoi(number.text)
		if err != nil || n < 0 {
			return "", nil, fmt.Errorf("%w: %q", errEventID, number.text)
		}
		*number.to = n
	}
	if resume.Delivered < resume.Place.Start {
		return "", nil, errEventID
	}
	return comfreyworks.RequestID(fields[0]), resume, nil
}

func cutLast(s, separator string) (before, after string, found bool) {
	i := strings.LastIndex(s, separator)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(separator):], true
}
