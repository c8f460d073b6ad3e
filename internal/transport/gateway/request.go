package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"comfreyworks"
	"comfreyworks/internal/coordination/forward"
	"comfreyworks/internal/state/memory"
	"comfreyworks/internal/state/routing"
)

const (
	// keyExpiryMargin is how long before the revocation bound keys stop being
	// accepted. It covers the time that an accepted request takes to reach its
	// upstream.
	keyExpiryMargin = 300 * time.Millisecond
	// staleRoutingAge is the age of the routing above which a request with an
	// unknown route or key is answered with 503 rather than 404 or 401: a newer
	// routing may contain it.
	staleRoutingAge = 3 * time.Second
	// staleRetryAfter is the Retry-After of responses that are caused by a missing
	// or stale routing.
	staleRetryAfter = 300 * time.Millisecond
	// memoryRetryAfter is the Retry-After of requests whose body there is no memory for.
	memoryRetryAfter = time.Second
	// defaultMaxBodyBytes is the maximum size of a request's body if the routing
	// declares none.
	defaultMaxBodyBytes = 64 << 20
)

// hopByHopHeaders are the headers that apply to a single connection and are not
// copied when a message is forwarded. Content-Length is set anew.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// rejection is an error response that the gateway itself generates.
type rejection struct {
	status int
	reason string
	// retryAfter is sent as Retry-After; zero means that the header is omitted.
	retryAfter time.Duration
}

// keysExpired reports whether the routing was last confirmed too long ago to
// accept its keys: one of them may have been revoked since then, and the bound
// for accepting a revoked key has almost passed.
func (g *Gateway) keysExpired(confirmedAt time.Time) bool {
	bound := g.options.Settings.Bounds.KeyRevocation
	return bound > 0 && g.options.Clock.Since(confirmedAt) > bound-keyExpiryMargin
}

// prepareRequest finds the route and workspace of a request, reads its body and
// returns the request to forward, or the rejection to respond with. hold accounts for the body.
func (g *Gateway) prepareRequest(w http.ResponseWriter, r *http.Request, hold *memory.Hold, received time.Time) (*forward.Request, *rejection) {
	table, confirmedAt := g.catalog.Routing()
	if table == nil {
		return nil, &rejection{http.StatusServiceUnavailable, "no routing yet", staleRetryAfter}
	}
	stale := g.options.Clock.Since(confirmedAt) > staleRoutingAge
	route := table.Route(r.Host, r.URL.EscapedPath())
	if route == nil {
		return nil, missingRejection(stale, http.StatusNotFound, "no such route")
	}
	names := &g.options.Settings.Headers
	id := r.Header.Get(names.RequestID)
	if id == "" {
		return nil, &rejection{status: http.StatusBadRequest, reason: names.RequestID + " is missing"}
	}
	var workspace *comfreyworks.WorkspaceKeys
	if table.RequiresKeys() && !route.Public {
		if g.keysExpired(confirmedAt) {
			return nil, &rejection{http.StatusServiceUnavailable, "keys not proven", staleRetryAfter}
		}
		if workspace = table.Workspace(r.Header.Get(names.APIKey)); workspace == nil {
			return nil, missingRejection(stale, http.StatusUnauthorized, "no such key")
		}
	}
	amount, rejected := g.usage.take(r, names, route, workspace)
	if rejected != nil {
		return nil, rejected
	}
	deadline := requestDeadline(r.Header.Get(names.Deadline), route, received)
	body, rejected := readBody(w, r, hold, g.bodyLimit(table), g.options.Clock.Until(deadline))
	if rejected != nil {
		g.usage.giveBack(workspace, amount)
		return nil, rejected
	}
	request := &forward.Request{
		Message: &comfreyworks.ForwardedRequest{
			ID: comfreyworks.RequestID(id), Method: r.Method, Host: r.Host, Target: r.RequestURI,
			Header: g.forwardableHeader(r.Header), Body: body,
		},
		Route: route, Pool: routing.ChoosePool(route, rand.Float64()), Workspace: workspace,
		Received: received, Deadline: deadline, Usage: amount,
	}
	if route.Affinity {
		request.Prompt = parsePrompt(r.Header, names)
	}
	if route.Kind == comfreyworks.RouteStream {
		if route.Resumable {
			request.LastEventID = r.Header.Get(names.LastEventID)
		}
		request.Resumes = comfreyworks.RequestID(r.Header.Get(names.Resumes))
	}
	return request, nil
}

// missingRejection rejects a request whose route or key is unknown. If the
// routing is stale, the response asks the caller to retry.
func missingRejection(stale bool, status int, reason string) *rejection {
	if stale {
		return &rejection{http.StatusServiceUnavailable, "routing is old: " + reason, staleRetryAfter}
	}
	return &rejection{status: status, reason: reason}
}

// bodyLimit returns the maximum size of a request's body: the declared one or the default,
// but no more than there is memory for.
func (g *Gateway) bodyLimit(table *routing.Table) int64 {
	limit := table.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if g.options.Memory != nil {
		limit = min(limit, g.options.Memory.Largest()-1)
	}
	return limit
}

// readBody reads the body of a request until its deadline or the end of the process.
func readBody(w http.ResponseWriter, r *http.Request, hold *memory.Hold, limit int64, remaining time.Duration) ([]byte, *rejection) {
	if r.ContentLength > limit {
		return nil, &rejection{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(remaining))
	ended := make(chan struct{})
	stop := context.AfterFunc(r.Context(), func() {
		defer close(ended)
		_ = controller.SetReadDeadline(time.Now())
	})
	defer func() {
		if !stop() {
			// Its deadline would apply to whatever follows on the connection.
			<-ended
		}
	}()
	expected := r.ContentLength
	if expected < 0 {
		expected = limit
	}
	body, err := hold.ReadAll(r.Context(), http.MaxBytesReader(w, r.Body, limit), expected)
	hold.Complete()
	var tooLarge *http.MaxBytesError
	switch {
	case err != nil && errors.Is(context.Cause(r.Context()), forward.ErrStopping):
		return nil, &rejection{http.StatusServiceUnavailable, "stopping before the body was complete", staleRetryAfter}
	case hold.Evicted() || errors.Is(err, memory.ErrFull):
		return nil, &rejection{http.StatusServiceUnavailable, "no memory for the body", memoryRetryAfter}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &rejection{status: http.StatusRequestTimeout, reason: "body incomplete at the deadline"}
	case errors.As(err, &tooLarge):
		return nil, &rejection{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	case err != nil:
		return nil, &rejection{status: http.StatusBadRequest, reason: "body cut off"}
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

// forwardableHeader returns a copy of the headers without hop-by-hop headers,
// the key and headers that only a gateway or an upstream may set.
func (g *Gateway) forwardableHeader(header http.Header) http.Header {
	names := &g.options.Settings.Headers
	forwardable := header.Clone()
	for option := range strings.SplitSeq(strings.Join(header.Values("Connection"), ","), ",") {
		if name := strings.TrimSpace(option); name != "" && !g.isEndToEnd(name) {
			forwardable.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		forwardable.Del(name)
	}
	for _, name := range []string{
		names.APIKey, names.Workspace, names.Target, names.ExpectedWeights, names.CacheSalt,
		names.ImportFrom, names.SaveTo, names.Priority, names.Deadline, names.NotRun, names.Instance, names.Weights, names.Digest,
	} {
		forwardable.Del(name)
	}
	for _, name := range names.Reserved {
		forwardable.Del(name)
	}
	return forwardable
}

// isEndToEnd reports whether a header is forwarded even if the caller's
// Connection header lists it as hop-by-hop.
func (g *Gateway) isEndToEnd(name string) bool {
	names := &g.options.Settings.Headers
	for _, endToEnd := range []string{names.RequestID, names.Model, names.Tokens, names.Prefix, names.LastEventID, names.Resumes} {
		if strings.EqualFold(name, endToEnd) {
			return true
		}
	}
	return false
}

// requestDeadline returns the caller's or the route's deadline, whichever is
// earlier.
func requestDeadline(text string, route *comfreyworks.Route, received time.Time) time.Time {
	limit := route.Timeout
	if ms, err := strconv.ParseFloat(strings.TrimSpace(text), 64); err == nil && ms > 0 {
		if remaining := comfreyworks.Duration(ms, time.Millisecond); limit == 0 || remaining < limit {
			limit = remaining
		}
	}
	return received.Add(limit)
}

// parsePrompt parses the headers that describe a prompt. The list of parts ends
// at the first malformed entry: later parts can be shared only together with it.
func parsePrompt(header http.Header, names *comfreyworks.HeaderNames) forward.Prompt {
	p := forward.Prompt{Model: comfreyworks.Model(header.Get(names.Model))}
	tokens, output, _ := strings.Cut(header.Get(names.Tokens), ",")
	p.Tokens, _ = parseTokens(strings.TrimSpace(tokens))
	p.OutputTokens, _ = parseTokens(strings.TrimSpace(output))
	for entry := range strings.SplitSeq(header.Get(names.Prefix), ",") {
		id, length, ok := strings.Cut(strings.TrimSpace(entry), ":")
		tokens, valid := parseTokens(length)
		if !ok || !valid {
			break
		}
		p.Parts = append(p.Parts, comfreyworks.PromptPart{ID: id, Tokens: tokens})
	}
	return p
}

// parseTokens parses a number of tokens. It returns false, and zero, if it is malformed
// or makes no sense.
func parseTokens(text string) (int, bool) {
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > comfreyworks.MaxPromptTokens {
		return 0, false
	}
	return n, true
}
