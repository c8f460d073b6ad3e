package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"comfreyworks/internal/standin/replica"
)

// scriptedReplicas give the answers of a script to the requests that reach any of them, and
// the last one to all further requests.
type scriptedReplicas struct {
	mu     sync.Mutex
	script []string
	// resumesAfter are the events after which the requests ask for the rest.
	resumesAfter []string
}

func (s *scriptedReplicas) serve(conn net.Conn, _ int) error {
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	answer := s.script[min(len(s.resumesAfter), len(s.script)-1)]
	s.resumesAfter = append(s.resumesAfter, r.Header.Get("Last-Event-Id"))
	s.mu.Unlock()
	answer = strings.Replace(answer, "\r\n", "\r\nComfrey-Request-Id: "+r.Header.Get("Comfrey-Request-Id")+"\r\nComfrey-Weights: 1\r\n", 1)
	_, _ = io.WriteString(conn, answer)
	return nil
}

const (
	proven     = "HTTP/1.1 200 OK\r\nComfrey-Digest: d\r\n"
	eventsType = "Content-Type: text/event-stream\r\n"
	jsonType   = "Content-Type: application/json\r\n"
	jsonError  = "{\"error\": {\n\n\"data\": 5\n\n}}\n\n"
	errorHead  = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n"
)

// whole frames a body as a complete answer, and cutOff as one that breaks off.
func whole(head, body string) string {
	if body == "" {
		return head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	}
	return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
}

func cutOff(head, body string) string { return strings.TrimSuffix(whole(head, body), "0\r\n\r\n") }

// empty is a complete answer without a body.
func empty(head string) string { return head + "Content-Length: 0\r\n\r\n" }

// TestContinuedStream guards against a stream that broke off and in which the answer of
// the next upstream leaves a gap, a repetition or the text of an error, or that then ends as
// if it were complete.
func TestContinuedStream(t *testing.T) {
	events := func(from, to int) string {
		return strings.TrimPrefix(replica.Stream(to), replica.Stream(from-1))
	}
	ok := proven + eventsType
	rest, half := events(4, eventsPerStream), events(1, 3)
	cases := map[string]struct {
		next []string
		// delivered is the last event that the caller gets. The stream is complete if that
		// is the last one of all, or if the answer may mean that it was.
		delivered int
		mayEnd    bool
	}{
		"the rest":                            {[]string{whole(ok, rest)}, 6, false},
		"all events":                          {[]string{whole(ok, fullStream())}, 6, false},
		"older events":                        {[]string{whole(ok, events(2, 6))}, 6, false},
		"500":                                 {[]string{whole("HTTP/1.1 500 Failed\r\n"+jsonType, jsonError)}, 3, false},
		"500 with a digest":                   {[]string{whole("HTTP/1.1 500 Failed\r\nComfrey-Digest: d\r\n"+jsonType, jsonError)}, 3, false},
		"500 with a digest and events":        {[]string{whole("HTTP/1.1 500 Failed\r\nComfrey-Digest: d\r\n"+eventsType, rest)}, 3, false},
		"503":                                 {[]string{whole("HTTP/1.1 503 Busy\r\n"+jsonType, jsonError)}, 3, false},
		"503 that did not run, then the rest": {[]string{empty("HTTP/1.1 503 Busy\r\nComfrey-Not-Run: 1\r\n"), whole(ok, rest)}, 6, false},
		"400 with a digest":                   {[]string{whole("HTTP/1.1 400 Invalid\r\nComfrey-Digest: d\r\n", jsonError)}, 3, false},
		"404":                                 {[]string{whole("HTTP/1.1 404 Not Found\r\n", "no such thing\n\n")}, 3, false},
		"429":                                 {[]string{empty("HTTP/1.1 429 Many\r\n")}, 3, false},
		"an event that is an error":           {[]string{whole(ok, "event: error\ndata: {}\n\n")}, 3, false},
		"one with the next ID":                {[]string{whole(ok, "event: error\nid: 4\ndata: {}\n\n")}, 3, false},
		"one without a space and with the next ID": {[]string{whole(ok, "id: 4\r\nevent:error\r\ndata: {}\r\n\r\n")}, 3, false},
		"JSON":                                      {[]string{whole(proven+jsonType, jsonError)}, 3, false},
		"JSON that is called events":                {[]string{whole(ok, jsonError)}, 3, false},
		"HTML that is called events":                {[]string{whole(ok, "<html>\n\n</html>\n\n")}, 3, false},
		"an HTTP head in the body":                  {[]string{whole(ok, errorHead)}, 3, false},
		"an HTTP head before the rest":              {[]string{whole(ok, errorHead+rest)}, 3, false},
		"an HTTP head at the first event":           {[]string{whole(ok, "HTTP/1.1 500 Failed\n"+rest)}, 3, false},
		"an HTTP head behind an event":              {[]string{whole(ok, events(4, 4)+errorHead)}, 4, false},
		"events of another type":                    {[]string{whole(proven+jsonType, rest)}, 3, false},
		"no digest":                                 {[]string{whole("HTTP/1.1 200 OK\r\n"+eventsType, rest)}, 3, false},
		"a gap":                                     {[]string{whole(ok, events(5, 6))}, 3, false},
		"a gap, then the rest":                      {[]string{whole(ok, events(5, 6)), whole(ok, rest)}, 6, false},
		"only events that were delivered":           {[]string{whole(ok, half)}, 3, true},
		"a part of those":                           {[]string{whole(ok, events(1, 2))}, 3, false},
		"events without an ID":                      {[]string{whole(ok, "data: token 4\n\n"+events(5, 6))}, 3, false},
		"events without an ID, then the rest of it": {[]string{whole(ok, "data: token 4\n\n"+rest)}, 3, false},
		"IDs that are no numbers":                   {[]string{whole(ok, "id: four\ndata: token 4\n\n")}, 3, false},
		"nothing":                                   {[]string{whole(ok, "")}, 3, true},
		"nothing at all":                            {[]string{empty(ok)}, 3, true},
		"a comment":                                 {[]string{whole(ok, ": sorry\n\n")}, 3, true},
		"a time until a retry":                      {[]string{whole(ok, "retry: 100\n\n")}, 3, true},
		"a part of an event":                        {[]string{whole(ok, "id: 4\ndata: tok")}, 3, false},
		"an event and a part of one":                {[]string{whole(ok, events(4, 4)+"id: 5\nda")}, 4, false},
		"an event, and cut off":                     {[]string{cutOff(ok, events(4, 4)+"id: 5\nda")}, 4, false},
		"an event and a part, then the rest":        {[]string{whole(ok, events(4, 4)+"id: 5\nda"), whole(ok, events(5, 6))}, 6, false},
		"an event and a part, then an error":        {[]string{whole(ok, events(4, 4)+"id: 5\nda"), whole(ok, errorHead)}, 4, false},
		"two errors":                                {[]string{whole("HTTP/1.1 500 Failed\r\nComfrey-Digest: d\r\n", jsonError), whole(ok, jsonError)}, 3, false},
		"an error, then the rest":                   {[]string{whole("HTTP/1.1 500 Failed\r\nComfrey-Digest: d\r\n", jsonError), whole(ok, rest)}, 6, false},
		"bytes that are no answer":                  {[]string{"sorry\r\n\r\n"}, 3, false},
	}
	for name, c := range cases {
		for first, text := range map[string]string{"between events": cutOff(ok, half), "within an event": cutOff(ok, half+"id: 4\ndata: tok"), "as if complete": whole(ok, half+"id: 4\ndata: tok")} {
			for _, caller := range []string{"HTTP/1.0", "HTTP/1.1"} {
				t.Run(fmt.Sprintf("%s, cut off %s, to %s", name, first, caller), func(t *testing.T) {
					f := newFixture(t)
					f.source.change(func(s *memorySource) { s.routing.Routes[1].MaxAttempts = 4 })
					s := &scriptedReplicas{script: append([]string{text}, c.next...)}
					f.serveRaw(t, s.serve)
					resp := f.callRaw(t, caller, "/note/1")
					assert.Equal(t, resp.StatusCode, http.StatusOK)
					if c.mayEnd && first == "between events" {
						assert.Assert(t, !resp.cut && strings.HasPrefix(resp.body, replica.Stream(c.delivered)))
						return
					}
					assert.Equal(t, resp.body, replica.Stream(c.delivered))
					assert.Equal(t, resp.cut, c.delivered < eventsPerStream, "the stream looks complete: %t", !resp.cut)
					s.mu.Lock()
					defer s.mu.Unlock()
					assert.Equal(t, s.resumesAfter[1], "3")
				})
			}
		}
	}
}

// TestTakenUpStream guards against answers to a caller that takes up its stream that do not
// go on after its last event, and against hiding the error of the first upstream.
func TestTakenUpStream(t *testing.T) {
	ok := proven + eventsType
	rest := strings.TrimPrefix(fullStream(), replica.Stream(3))
	cases := map[string]struct {
		script []string
		status int
		body   string
	}{
		"the rest":                  {[]string{whole(ok, rest)}, 200, rest},
		"all events":                {[]string{whole(ok, fullStream())}, 200, rest},
		"500 with a digest":         {[]string{whole("HTTP/1.1 500 Failed\r\nComfrey-Digest: d\r\n", "failed")}, 500, "failed"},
		"404 with a digest":         {[]string{whole("HTTP/1.1 404 Not Found\r\nComfrey-Digest: d\r\n", "gone")}, 404, "gone"},
		"500, then the rest":        {[]string{whole("HTTP/1.1 500 Failed\r\nComfrey-Digest: d\r\n", "failed"), whole(ok, rest)}, 200, rest},
		"a gap, then the rest":      {[]string{whole(ok, "id: 5\ndata: token 5\n\n"), whole(ok, rest)}, 200, rest},
		"an error event":            {[]string{whole(ok, "event: error\ndata: {}\n\n")}, 502, ""},
		"an HTTP head, then a rest": {[]string{whole(ok, errorHead+rest), whole(ok, rest)}, 200, rest},
		"nothing":                   {[]string{whole(ok, "")}, 502, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			s := &scriptedReplicas{script: c.script}
			f.serveRaw(t, s.serve)
			r := f.request(t, http.MethodPost, "/note/1", "text")
			r.Header.Set("Last-Event-Id", "3")
			resp := f.do(t, r)
			assert.Equal(t, resp.StatusCode, c.status)
			assert.Assert(t, !resp.cut)
			if c.body != "" {
				assert.Equal(t, resp.body, c.body)
			}
		})
	}
}
