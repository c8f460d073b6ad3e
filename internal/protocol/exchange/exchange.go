// Package exchange sends one request to one upstream over HTTP and sorts what
// comes back into run, not run and unknown.
//
// The library's transport sends some requests again by itself when a kept
// connection breaks. Here no request can be sent twice: bodies cannot be
// rewound, and a request without a body gets an empty one that the transport
// cannot know to be empty.
//
// # Usage
//
//	client := exchange.NewClient(exchange.Options{Clock: clock, Headers: names})
//	reply, err := client.Exchange(ctx, message, instructions)
//
// Errors are *comfreyworks.ExchangeError. The body of a reply fails to read if
// the answer is cut off.
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
	"time"

	"comfreyworks"
)

const (
	// dialTimeout bounds the opening of a connection to an upstream that may
	// be dark; upstreams are a few milliseconds away.
	dialTimeout = 500 * time.Millisecond
	// keptPerUpstream is the most idle connections kept to one upstream.
	keptPerUpstream = 64
	// keptFor is how long an idle connection is kept at most.
	keptFor = 12 * time.Second
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
)

// Options configures a Client.
type Options struct {
	Clock   comfreyworks.Clock
	Headers comfreyworks.HeaderNames
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Opened is called for each new connection; it may be nil.
	Opened func()
}

// Client sends requests to upstreams. It is safe for concurrent use.
type Client struct {
	options   Options
	transport *http.Transport
}

var _ comfreyworks.Exchanger = (*Client)(nil)

// NewClient returns a client that keeps connections.
func NewClient(options Options) *Client {
	if options.Dial == nil {
		options.Dial = (&net.Dialer{Timeout: dialTimeout, Control: abortSilent}).DialContext
	}
	c := &Client{options: options}
	c.transport = &http.Transport{
		DialContext:            c.dial,
		MaxIdleConnsPerHost:    keptPerUpstream,
		IdleConnTimeout:        keptFor,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
	return c
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.options.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if c.options.Opened != nil {
		c.options.Opened()
	}
	return newKeptConn(conn, c.options.Clock), nil
}

// Close closes all idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Exchange implements comfreyworks.Exchanger.
func (c *Client) Exchange(ctx context.Context, message *comfreyworks.ForwardedRequest, instructions comfreyworks.AttemptOptions) (*comfreyworks.UpstreamResponse, error) {
	for {
		var used *keptConn
		traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
			GotConn: func(info httptrace.GotConnInfo) { used, _ = info.Conn.(*keptConn) },
		})
		response, err := c.transport.RoundTrip(c.request(traced, message, instructions))
		if errors.Is(err, errExpired) {
			continue
		}
		if err != nil {
			kind := comfreyworks.ExchangeLost
			if used == nil {
				kind = comfreyworks.ExchangeNotSent
			}
			return nil, &comfreyworks.ExchangeError{Kind: kind, Err: err}
		}
		if used != nil {
			used.allow(keepAlive(response.Header))
		}
		return c.reply(message, response)
	}
}

func (c *Client) request(ctx context.Context, message *comfreyworks.ForwardedRequest, instructions comfreyworks.AttemptOptions) *http.Request {
	target := &url.URL{Scheme: "http", Host: instructions.Upstream.Address.String()}
	if strings.HasPrefix(message.Target, "//") {
		// An opaque target that begins with two slashes would be sent in the
		// absolute form.
		path, query, _ := strings.Cut(message.Target, "?")
		target.Path, target.RawPath, target.RawQuery = path, path, query
		if decoded, err := url.PathUnescape(path); err == nil {
			target.Path = decoded
		}
	} else {
		target.Opaque = message.Target
	}
	r := &http.Request{
		Method: message.Method, URL: target, Host: message.Host,
		Header: c.header(message, instructions),
		Body:   io.NopCloser(&onceReader{left: message.Body}), ContentLength: int64(len(message.Body)),
	}
	if len(message.Body) == 0 && usuallyHasBody(message.Method) {
		r.Body = http.NoBody
		hideRepeatability(r.Header)
	}
	return r.WithContext(ctx)
}

// usuallyHasBody reports whether the transport would send an empty body of
// unknown length in chunks.
func usuallyHasBody(method string) bool {
	switch method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return true
	default:
		return false
	}
}

// hideRepeatability keeps the transport from finding the headers that make it
// send a request without a body again. Names have no case on the wire.
func hideRepeatability(header http.Header) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, ok := header[name]; ok {
			delete(header, name)
			header[strings.ToLower(name)] = values
		}
	}
}

func (c *Client) header(message *comfreyworks.ForwardedRequest, instructions comfreyworks.AttemptOptions) http.Header {
	names := &c.options.Headers
	header := message.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""}
	}
	header.Set(names.RequestID, string(message.ID))
	header.Set(names.Deadline, strconv.FormatInt(max(instructions.Remaining.Milliseconds(), 1), 10))
	header.Set(names.Target, string(instructions.Upstream.ID))
	if instructions.Workspace != "" {
		header.Set(names.Workspace, string(instructions.Workspace))
	}
	if instructions.ExpectedWeights != 0 {
		header.Set(names.ExpectedWeights, strconv.FormatUint(uint64(instructions.ExpectedWeights), 10))
	}
	if instructions.CacheSalt != "" {
		header.Set(names.CacheSalt, instructions.CacheSalt)
	}
	if instructions.ImportFrom.IsValid() {
		header.Set(names.ImportFrom, instructions.ImportFrom.String())
	}
	if instructions.SaveTo.IsValid() {
		header.Set(names.SaveTo, instructions.SaveTo.String())
	}
	if instructions.Priority >= 0 {
		header.Set(names.Priority, strconv.Itoa(min(instructions.Priority, comfreyworks.NumPriorities-1)))
	}
	if instructions.LastEventID != "" {
		header.Set(names.LastEventID, instructions.LastEventID)
	}
	return header
}

// reply sorts an answer. An answer that belongs to another request was late on
// a kept connection; closing its body drops the connection.
func (c *Client) reply(message *comfreyworks.ForwardedRequest, response *http.Response) (*comfreyworks.UpstreamResponse, error) {
	names := &c.options.Headers
	weights := parseWeights(response.Header.Get(names.Weights))
	if id := response.Header.Get(names.RequestID); id != "" && id != string(message.ID) {
		_ = response.Body.Close()
		return nil, &comfreyworks.ExchangeError{
			Kind: comfreyworks.ExchangeLost, Err: errors.New("answer to another request"),
		}
	}
	if response.Header.Get(names.NotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest {
		reason := notRunReason(response, names, weights)
		_, _ = io.CopyN(io.Discard, response.Body, maxHeaderBytes)
		_ = response.Body.Close()
		return nil, &comfreyworks.ExchangeError{Kind: comfreyworks.ExchangeNotRun, Reason: reason, Weights: weights}
	}
	return &comfreyworks.UpstreamResponse{
		Status: response.StatusCode, Header: response.Header,
		HasDigest: response.Header.Get(names.Digest) != "" && response.Header.Get("Content-Encoding") == "",
		Weights:   weights, ContentLength: response.ContentLength, Body: response.Body,
	}, nil
}

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

func parseWeights(text string) comfreyworks.WeightsRevision {
	n, err := strconv.ParseUint(strings.TrimSpace(text), 10, 64)
	if err != nil {
		return 0
	}
	return comfreyworks.WeightsRevision(n)
}

// keepAlive returns how long an upstream keeps an idle connection; zero means
// that it does not say.
func keepAlive(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// onceReader reads a body that cannot be rewound.
type onceReader struct{ left []byte }

// Read implements io.Reader.
func (r *onceReader) Read(p []byte) (int, error) {
	if len(r.left) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.left)
	r.left = r.left[n:]
	return n, nil
}
