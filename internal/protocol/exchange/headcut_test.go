package exchange

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"comfreyworks"
)

// TestHeadCutOff guards against an answer that counts as whole although its upstream stopped
// in the middle of the header and closed the connection: fields that come later, or the end of
// the last one, say how long the body is and whether it is the whole answer.
func TestHeadCutOff(t *testing.T) {
	const begin = "HTTP/1.1 200 OK\r\nComfrey-Request-Id: r1\r\nComfrey-Digest: d\r\n"
	for name, head := range map[string]string{
		"with a length":           begin + "Content-Length: 12\r\n\r\n",
		"in chunks":               begin + "Transfer-Encoding: chunked\r\n\r\n",
		"without a length":        begin + "Connection: close\r\n\r\n",
		"of a stream":             begin + "Content-Type: text/event-stream\r\n\r\n",
		"with bare line feeds":    "HTTP/1.1 200 OK\nComfrey-Request-Id: r1\nComfrey-Digest: d\nContent-Length: 12\n\n",
		"of an earlier version":   "HTTP/1.0 200 OK\r\nComfrey-Request-Id: r1\r\nComfrey-Digest: d\r\n\r\n",
		"after an interim answer": "HTTP/1.1 103 Early Hints\r\nComfrey-Digest: d\r\n\r\n" + begin + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for sent := range len(head) {
				t.Run(fmt.Sprintf("after %d bytes", sent), func(t *testing.T) {
					f := newFixture(t)
					u := serve(t, func(conn net.Conn, r *http.Request, _ int64) bool {
						_, _ = io.Copy(io.Discard, r.Body)
						_, _ = io.WriteString(conn, head[:sent])
						return false
					})
					_, err := f.exchange(u, newForwardedRequest(http.MethodPost, "text"))
					expectKind(t, err, comfreyworks.ExchangeLost)
				})
			}
		})
	}
}
