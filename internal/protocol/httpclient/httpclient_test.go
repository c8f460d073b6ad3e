package httpclient

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"comfreyworks/internal/standin/rawserver"
)

// get sends a request and reads the answer, with its body.
func get(client *http.Client, server *rawserver.Server) error {
	response, err := client.Get("http://" + server.Address().String())
	if err != nil {
		return err
	}
	if _, err := io.ReadAll(response.Body); err != nil {
		return err
	}
	return response.Body.Close()
}

// TestConnectionOfBrokenResponse guards against sending a request on the connection of a
// broken response, which may go on.
func TestConnectionOfBrokenResponse(t *testing.T) {
	const end = "\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		text string
		// sound means that the response is valid and its connection used again.
		sound bool
	}{
		"sound":  {"HTTP/1.1 200 OK" + end, true},
		"status": {"HTTP/1.1 600 Broken" + end, false},
		"field":  {"HTTP/1.1 200 OK\r\nX Broken: 1" + end, false},

		"informational responses":            {strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", MaxInformational) + "HTTP/1.1 200 OK" + end, true},
		"too many of them":                   {strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", MaxInformational+1) + "HTTP/1.1 200 OK" + end, false},
		"field of an informational response": {"HTTP/1.1 103 Early Hints\r\nX Broken: 1\r\n\r\nHTTP/1.1 200 OK" + end, false},
	} {
		t.Run(name, func(t *testing.T) {
			server, err := rawserver.Start(rawserver.Answer{Text: c.text, KeepOpen: true})
			assert.NilError(t, err)
			client := New(&http.Client{})
			for range 2 {
				assert.Equal(t, get(client, server) == nil, c.sound)
			}
			assert.Equal(t, server.Connections() == 1, c.sound)
			client.CloseIdleConnections()
			assert.NilError(t, server.Close())
		})
	}
}
