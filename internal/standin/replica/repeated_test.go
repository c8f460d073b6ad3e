package replica

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// TestRepeatedRefusal guards against a fault that nobody would see: a rejection that is not
// repeated, or whose repetition does not come before the response to a request that ran.
func TestRepeatedRefusal(t *testing.T) {
	rep := New(Options{Headers: comfreyworks.DefaultHeaderNames()})
	rep.InjectFault(FaultRepeatedRefusal, 1)
	rep.InjectFault("", 2)
	server := httptest.NewUnstartedServer(rep)
	server.Config.ConnContext = ConnContext
	server.Start()
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for _, c := range []struct {
		request  string
		statuses []int
	}{{"a", []int{503}}, {"b", []int{503, 200}}, {"c", []int{200}}} {
		_, err := io.WriteString(conn, "GET /"+c.request+" HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		for _, status := range c.statuses {
			response, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, status)
			_, err = io.Copy(io.Discard, response.Body)
			assert.NilError(t, err)
		}
	}
	assert.Equal(t, len(rep.Runs()), 2)
}
