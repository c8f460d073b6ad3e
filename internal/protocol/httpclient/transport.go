package httpclient

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"

	"comfreyworks"
)

// transport is an http.RoundTripper that checks the responses of another one.
type transport struct{ base http.RoundTripper }

// newTransport returns a transport that checks the responses of base; nil means
// http.DefaultTransport. An *http.Transport is copied, because it has to open connections
// in another way.
func newTransport(base http.RoundTripper) *transport {
	if base == nil {
		base = http.DefaultTransport
	}
	if tcp, ok := base.(*http.Transport); ok {
		tcp = tcp.Clone()
		tcp.DialContext = dialWith(tcp.DialContext)
		base = tcp
	}
	return &transport{base}
}

// RoundTrip implements http.RoundTripper. It closes the connection of a broken response. If
// the response had no body, another request may have begun on it, and fails as one that may
// have run.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn net.Conn
	informational := &informationalResponses{}
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { conn = info.Conn },
		Got1xxResponse: informational.read,
	})
	response, err := t.base.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err = informational.err(); err == nil {
		err = Check(response)
	}
	if err != nil {
		_ = response.Body.Close()
		if conn != nil {
			_ = conn.Close()
		}
		return nil, err
	}
	return response, nil
}

// informationalResponses checks the informational responses to one request.
type informationalResponses struct {
	mu     sync.Mutex
	n      int
	broken error
}

// read implements httptrace.ClientTrace.Got1xxResponse. With a hook, net/http does not limit
// the number of informational responses.
func (i *informationalResponses) read(_ int, header textproto.MIMEHeader) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.n++
	switch {
	case i.broken != nil:
	case i.n > MaxInformational:
		i.broken = &Error{Op: "read response", Kind: KindInformational, Err: comfreyworks.ErrCutOff}
	default:
		i.broken = CheckFields(header)
	}
	return i.broken
}

// err returns what was wrong with the informational responses. If the request is traced by
// another hook too, net/http ignores the errors of this one.
func (i *informationalResponses) err() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.broken
}

// CloseIdleConnections closes the idle connections of the base.
func (t *transport) CloseIdleConnections() {
	if closer, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}
