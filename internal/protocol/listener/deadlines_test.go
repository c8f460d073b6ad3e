package listener

import (
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOrderOfDeadlines guards against half a header that stays open without a time limit, or
// a request that inherits that of its header, because another release of http.Server sets its
// read deadlines in another number or order.
func TestOrderOfDeadlines(t *testing.T) {
	const headerTimeout = 50 * time.Millisecond
	for name, order := range map[string]struct{ waiting, header, request []string }{
		"once for each phase":              {[]string{"idle"}, []string{"header"}, []string{"none"}},
		"removed after the wait":           {[]string{"idle"}, []string{"none", "header"}, []string{"none"}},
		"again for the header":             {[]string{"idle"}, []string{"header", "header"}, []string{"none"}},
		"again for the wait":               {[]string{"idle", "idle"}, []string{"header"}, []string{"none"}},
		"removed before the wait":          {[]string{"none", "idle"}, []string{"header"}, []string{"none"}},
		"removed again before the handler": {[]string{"idle"}, []string{"header"}, []string{"none", "none"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := New(listen(t), func() Limits {
				return Limits{HeaderBytes: 1 << 10, HeaderTimeout: headerTimeout, IdleTimeout: time.Minute}
			})
			caller, err := net.Dial("tcp", l.Addr().String())
			assert.NilError(t, err)
			c, err := l.Accept()
			assert.NilError(t, err)
			l.setState(c, http.StateNew)
			server := new(http.Server)
			l.configure(server)
			set := func(deadlines []string) {
				for _, deadline := range deadlines {
					assert.NilError(t, c.SetReadDeadline(map[string]time.Time{
						"idle": time.Now().Add(server.IdleTimeout), "header": time.Now().Add(server.ReadHeaderTimeout), "none": {},
					}[deadline]))
				}
			}
			// read ends after two seconds if no deadline is in force.
			read := func() error {
				timer := time.AfterFunc(2*time.Second, func() { _ = caller.Close() })
				defer timer.Stop()
				_, err := c.Read(make([]byte, 10))
				return err
			}
			set(order.header)
			set(order.request)
			assert.Equal(t, c.(*conn).phase, phaseRequest)
			l.setState(c, http.StateIdle)
			set(order.waiting)
			assert.Equal(t, c.(*conn).phase, phaseWaiting)
			_, err = caller.Write([]byte("GET"))
			assert.NilError(t, err)
			assert.NilError(t, read())
			set(order.header)
			assert.Equal(t, c.(*conn).phase, phaseHeader)
			assert.ErrorIs(t, read(), os.ErrDeadlineExceeded, "half a header has no deadline")
			assert.NilError(t, c.Close())
			assert.NilError(t, l.Close())
		})
	}
}
