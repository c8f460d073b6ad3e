// Package exchange sends a request to an upstream over HTTP at most once and
// reports whether it has run, has not run, or may have run.
//
// http.Transport by itself retries some requests when an idle connection turns
// out to be broken. This package prevents that: request bodies cannot be rewound,
// and a request without a body gets an empty one that the transport cannot
// recognize as empty. For POST, PUT and PATCH the transport would send such a
// body in chunks, so the headers that permit a retry are hidden from it instead.
//
// # Usage
//
//	client := exchange.NewClient(exchange.Options{Clock: clock, Headers: names})
//	response, err := client.Exchange(ctx, request, options)
//
// Errors are of type *comfreyworks.ExchangeError. Reading the body of a response
// that is cut off returns an error.
package exchange

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"comfreyworks"
	"comfreyworks/internal/protocol/httpclient"
	"comfreyworks/internal/state/memory"
)

const (
	// dialTimeout is the maximum time to open a connection. Upstreams are a few
	// milliseconds away, and one that is down may not respond at all.
	dialTimeout = 250 * time.Millisecond
	// maxIdlePerUpstream is the maximum number of idle connections to one
	// upstream.
	maxIdlePerUpstream = 64
	// maxConnections is the maximum number of connections on which a request is tried
	// as long as nothing was written to any of them. An upstream that closed its idle
	// connections has closed all of them.
	maxConnections = maxIdlePerUpstream + 1
	// maxIdleTime is the maximum time that an idle connection is kept open.
	maxIdleTime = 12 * time.Second
	// maxIdleSeconds is the longest idle timeout of an upstream that is believed. It only
	// needs to exceed maxIdleTime.
	maxIdleSeconds = 3600
	// maxHeaderBytes is the maximum size of a response header. If the response says
	// that the request did not run, it is also the most that is read of the body.
	maxHeaderBytes = 64 << 10
)

// Options configures a Client.
type Options struct {
	Clock   comfreyworks.Clock
	Headers comfreyworks.HeaderNames
	// Receive bounds what upstreams have sent and was not read.
	Receive memory.ReceiveBuffers
	// Dial opens connections; nil means TCP with a dial timeout and a TCP user
	// timeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnConnect is called for each new connection; it may be nil.
	OnConnect func()
}

// Client sends requests to upstreams. It is safe for concurrent use.
type Client struct {
	options   Options
	transport *http.Transport
	// open is the number of connections.
	open atomic.Int64
}

var _ comfreyworks.Exchanger = (*Client)(nil)

// NewClient returns a client that reuses connections.
func NewClient(options Options) *Client {
	if options.Dial == nil {
		// With a TCP user timeout, the kernel breaks a connection because of one lost probe.
		options.Dial = (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: func(_, _ string, socket syscall.RawConn) error {
			return errors.Join(setTCPUserTimeout(socket), options.Receive.Limit(socket))
		}}).DialContext
	}
	c := &Client{options: options}
	c.transport = &http.Transport{
		DialContext:            c.dial,
		MaxIdleConnsPerHost:    maxIdlePerUpstream,
		IdleConnTimeout:        maxIdleTime,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         readBufferBytes,
		DisableCompression:     true,
	}
	return c
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.options.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if c.options.OnConnect != nil {
		c.options.OnConnect()
	}
	open := int(c.open.Add(1)) - 1
	if tcp, ok := conn.(*net.TCPConn); ok {
		c.options.Receive.Grow(tcp, open)
	}
	return newKeepAliveConn(httpclient.NewConn(conn), c.options.Clock, func() { c.open.Add(-1) }), nil
}

// Close closes all idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Exchange implements comfreyworks.Exchanger.
func (c *Client) Exchange(ctx context.Context, request *comfreyworks.ForwardedRequest, options comfreyworks.AttemptOptions) (*comfreyworks.UpstreamResponse, error) {
	for attempt := 1; ; attempt++ {
		var conn *keepAliveConn
		var writes int
		var reused bool
		requestCtx, cancel := context.WithCancelCause(ctx)
		limit := &headLimit{clock: c.options.Clock, cancel: cancel}
		traced := httptrace.WithClientTrace(requestCtx, &httptrace.ClientTrace{
			GotConn: func(info httptrace.GotConnInfo) {
				reused = info.Reused
				if conn, _ = info.Conn.(*keepAliveConn); conn != nil {
					writes = conn.beginRequest(request.ID, limit)
				}
			},
			Got1xxResponse: limit.informationalRead,
			PutIdleConn:    func(error) { conn.endResponse() },
		})
		response, err := c.transport.RoundTrip(c.newRequest(traced, request, options))
		limit.stop()
		unsent := conn == nil || conn.sealUnsent(writes)
		if err == nil {
			if err = checkResponse(response, unsent); err != nil {
				_ = conn.Close()
				_ = response.Body.Close()
			}
		}
		if err != nil {
			cancel(nil)
			switch {
			case !unsent:
				return nil, &comfreyworks.ExchangeError{Kind: comfreyworks.ExchangeLost, Reused: reused, Err: limit.wrap(err)}
			case conn == nil || ctx.Err() != nil || attempt == maxConnections || (writes == 0 && conn.hasUnasked()):
				// An upstream that writes unasked on a new connection would do so on the next.
				return nil, &comfreyworks.ExchangeError{Kind: comfreyworks.ExchangeNotSent, Err: err}
			}
			continue
		}
		conn.setIdleTimeout(keepAliveTimeout(response.Header))
		comfreyworks.ReportAdvice(ctx, c.options.Headers.Advice(response.StatusCode, response.Header))
		response.Body = &cancelBody{ReadCloser: response.Body, cancel: cancel}
		return c.classify(request, response, conn, writes > 0)
	}
}

// checkResponse returns an error if a response was there before its request or is broken.
func checkResponse(response *http.Response, unsent bool) error {
	if unsent {
		return errUnasked
	}
	return httpclient.Check(response)
}

// newRequest returns the HTTP request to send, in a form that the transport does
// not send twice.
func (c *Client) newRequest(ctx context.Context, request *comfreyworks.ForwardedRequest, options comfreyworks.AttemptOptions) *http.Request {
	target := &url.URL{Scheme: "http", Host: options.Upstream.Address.String()}
	if strings.HasPrefix(request.Target, "//") {
		// net/http would send an opaque target that begins with two slashes in
		// absolute form, as a URL with scheme and host.
		path, query, _ := strings.Cut(request.Target, "?")
		target.Path, target.RawPath, target.RawQuery = path, path, query
		if decoded, err := url.PathUnescape(path); err == nil {
			target.Path = decoded
		}
	} else {
		target.Opaque = request.Target
	}
	r := &http.Request{
		Method: request.Method, URL: target, Host: request.Host,
		Header: c.requestHeader(request, options),
		Body:   io.NopCloser(&singleUseReader{remaining: request.Body}), ContentLength: int64(len(request.Body)),
	}
	if len(request.Body) == 0 && usuallyHasBody(request.Method) {
		r.Body = http.NoBody
		hideIdempotencyKeys(r.Header)
	}
	return r.WithContext(ctx)
}

// usuallyHasBody reports whether the transport would use chunked encoding for an
// empty body of unknown length.
func usuallyHasBody(method string) bool {
	switch method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return true
	default:
		return false
	}
}

// hideIdempotencyKeys renames the headers that make the transport treat a request
// without a body as safe to retry. The transport looks for the canonical name,
// while header names on the wire are case-insensitive.
func hideIdempotencyKeys(header http.Header) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, ok := header[name]; ok {
			delete(header, name)
			header[strings.ToLower(name)] = values
		}
	}
}

// requestHeader returns the caller's headers with those that the gateway adds.
func (c *Client) requestHeader(request *comfreyworks.ForwardedRequest, options comfreyworks.AttemptOptions) http.Header {
	names := &c.options.Headers
	header := request.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""}
	}
	header.Set(names.RequestID, string(request.ID))
	header.Set(names.Deadline, strconv.FormatInt(max(options.Remaining.Milliseconds(), 1), 10))
	header.Set(names.Target, string(options.Upstream.ID))
	if options.Workspace != "" {
		header.Set(names.Workspace, string(options.Workspace))
	}
	if options.ExpectedWeights != 0 {
		header.Set(names.ExpectedWeights, strconv.FormatUint(uint64(options.ExpectedWeights), 10))
	}
	if options.CacheSalt != "" {
		header.Set(names.CacheSalt, options.CacheSalt)
	}
	if options.ImportFrom.IsValid() {
		header.Set(names.ImportFrom, options.ImportFrom.String())
	}
	if options.SaveTo.IsValid() {
		header.Set(names.SaveTo, options.SaveTo.String())
	}
	if options.Priority >= 0 {
		header.Set(names.Priority, strconv.Itoa(min(options.Priority, comfreyworks.NumPriorities-1)))
	}
	if options.LastEventID != "" {
		header.Set(names.LastEventID, options.LastEventID)
	}
	return header
}

// classify returns a response, or an error if it belongs to another request or
// reports that the request has not run. An upstream repeats the ID of the request in its
// response. Without it, on a connection that was used before, the response may be an
// earlier one that arrived late or once more.
func (c *Client) classify(request *comfreyworks.ForwardedRequest, response *http.Response, conn *keepAliveConn, reused bool) (*comfreyworks.UpstreamResponse, error) {
	names := &c.options.Headers
	classified := &comfreyworks.UpstreamResponse{
		Status: response.StatusCode, Header: response.Header,
		HasDigest: response.Header.Get(names.Digest) != "" && response.Header.Get("Content-Encoding") == "",
		Weights:   parseWeights(response.Header.Get(names.Weights)), ContentLength: response.ContentLength, Body: response.Body,
	}
	notRun := response.Header.Get(names.NotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest
	err := c.checkBelongs(request, response, reused)
	conn.judge(request.ID, err == nil, notRun || !classified.HasDigest || response.StatusCode >= http.StatusInternalServerError)
	switch {
	case err != nil:
		_ = response.Body.Close()
		return nil, &comfreyworks.ExchangeError{Kind: comfreyworks.ExchangeLost, Err: err}
	case notRun:
		c.drain(response.Body)
		return nil, &comfreyworks.ExchangeError{
			Kind: comfreyworks.ExchangeNotRun, Reason: notRunReason(response, names, classified.Weights), Weights: classified.Weights,
		}
	default:
		return classified, nil
	}
}

// checkBelongs returns an error if a response does not belong to the request.
func (c *Client) checkBelongs(request *comfreyworks.ForwardedRequest, response *http.Response, reused bool) error {
	switch id := response.Header.Get(c.options.Headers.RequestID); {
	case id == string(request.ID):
		return nil
	case id != "":
		return errors.New("answer to another request")
	case reused:
		return errors.New("answer without a request ID on a connection that was used before")
	default:
		return nil
	}
}

// notRunReason returns why an upstream did not run a request.
func notRunReason(response *http.Response, names *comfreyworks.HeaderNames, weights comfreyworks.WeightsRevision) comfreyworks.NotRunReason {
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest && weights != 0:
		return comfreyworks.NotRunOtherWeights
	case response.StatusCode == http.StatusMisdirectedRequest:
		return comfreyworks.NotRunOtherInstance
	case response.StatusCode == http.StatusBadRequest:
		return comfreyworks.NotRunRejected
	default:
		return comfreyworks.NotRunBusy
	}
}

// parseWeights returns the revision in a header, or zero if it is missing or
// malformed.
func parseWeights(text string) comfreyworks.WeightsRevision {
	n, err := strconv.ParseUint(strings.TrimSpace(text), 10, 64)
	if err != nil {
		return 0
	}
	return comfreyworks.WeightsRevision(n)
}

// keepAliveTimeout returns the idle timeout from a Keep-Alive header, or zero if
// there is none.
func keepAliveTimeout(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.ParseUint(strings.TrimSpace(value), 10, 64); err == nil {
			return time.Duration(min(seconds, maxIdleSeconds)) * time.Second
		}
	}
	return 0
}

// singleUseReader reads a request body. It has no method to rewind it.
type singleUseReader struct{ remaining []byte }

// Read implements io.Reader.
func (r *singleUseReader) Read(p []byte) (int, error) {
	if len(r.remaining) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.remaining)
	r.remaining = r.remaining[n:]
	return n, nil
}
