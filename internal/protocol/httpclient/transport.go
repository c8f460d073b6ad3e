package httpclient

import (
	"net"
	"net/http"
	"net/http/httptrace"
)

// transport is an http.RoundTripper that checks the responses of another one.
type transport struct{ base http.RoundTripper }

// newTransport returns a transport that checks the responses of base; nil means
// http.DefaultTransport.
func newTransport(base http.RoundTripper) *transport {
	if base == nil {
		base = http.DefaultTransport
	}
	return &transport{base}
}

// RoundTrip implements http.RoundTripper. It closes the connection of a broken response,
// which may be idle again by then.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn net.Conn
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn },
	})
	response, err := t.base.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := Check(response); err != nil {
		_ = response.Body.Close()
		if conn != nil {
			_ = conn.Close()
		}
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the base.
func (t *transport) CloseIdleConnections() {
	if closer, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}
