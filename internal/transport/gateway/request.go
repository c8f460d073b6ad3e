package gateway

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"comfreyworks"
	"comfreyworks/internal/coordination/forward"
	"comfreyworks/internal/state/routing"
)

const (
	// keyMargin is how much earlier than the bound keys stop being used: the
	// way of the request to the upstream.
	keyMargin = 300 * time.Millisecond
	// routingAge is the age from which on this process does not say that a
	// route or key does not exist.
	routingAge = 3 * time.Second
	// retryAfterUnknown is when to come back to a process that has no current
	// routing.
	retryAfterUnknown = 300 * time.Millisecond
)

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// rejection is a final answer of the gateway itself.
type rejection struct {
	status     int
	reason     string
	retryAfter time.Duration
}

func (g *Gateway) keysExpired(provenAt time.Time) bool {
	bound := g.options.Settings.Bounds.KeyRevocation
	return bound > 0 && g.options.Clock.Since(provenAt) > bound-keyMargin
}

// admit finds the route and workspace of a request and reads its body.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request, received time.Time) (*forward.Request, *rejection) {
	table, provenAt := g.catalog.Routing()
	if table == nil {
		return nil, &rejection{http.StatusServiceUnavailable, "no routing yet", retryAfterUnknown}
	}
	old := g.options.Clock.Since(provenAt) > routingAge
	route := table.Route(r.Host, r.URL.EscapedPath())
	if route == nil {
		return nil, unknown(old, http.StatusNotFound, "no such route")
	}
	names := &g.options.Settings.Headers
	id := r.Header.Get(names.RequestID)
	if id == "" {
		return nil, &rejection{status: http.StatusBadRequest, reason: names.RequestID + " is missing"}
	}
	var workspace *comfreyworks.WorkspaceKeys
	if table.NeedsKeys() && !route.Public {
		if g.keysExpired(provenAt) {
			return nil, &rejection{http.StatusServiceUnavailable, "keys not proven", retryAfterUnknown}
		}
		if workspace = table.Workspace(r.Header.Get(names.APIKey)); workspace == nil {
			return nil, unknown(old, http.StatusUnauthorized, "no such key")
		}
	}
	body, rejected := readBody(w, r, table.Limits().BodyBytes)
	if rejected != nil {
		return nil, rejected
	}
	request := &forward.Request{
		Message: &comfreyworks.ForwardedRequest{
			ID: comfreyworks.RequestID(id), Method: r.Method, Host: r.Host, Target: r.RequestURI,
			Header: g.passedOn(r.Header), Body: body,
		},
		Route: route, Pool: routing.Choose(route, rand.Float64()), Workspace: workspace,
		Received: received, Deadline: deadline(r.Header.Get(names.Deadline), route, received),
	}
	if route.Affinity {
		request.Prompt = prompt(r.Header, names)
	}
	if route.Kind == comfreyworks.RouteStream {
		request.LastEventID = r.Header.Get(names.LastEventID)
	}
	return request, nil
}

// unknown says that something does not exist only if that was proven lately.
func unknown(old bool, status int, reason string) *rejection {
	if old {
		return &rejection{http.StatusServiceUnavailable, "routing is old: " + reason, retryAfterUnknown}
	}
	return &rejection{status: status, reason: reason}
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *rejection) {
	reader := r.Body
	if limit > 0 {
		reader = http.MaxBytesReader(w, r.Body, limit)
	}
	body, err := io.ReadAll(reader)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &rejection{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	case err != nil:
		return nil, &rejection{status: http.StatusBadRequest, reason: "body cut off"}
	}
	return body, nil
}

// passedOn returns the headers without those of one connection, the key, and
// those that only the gateway may set.
func (g *Gateway) passedOn(header http.Header) http.Header {
	names := &g.options.Settings.Headers
	passed := header.Clone()
	for list := range strings.SplitSeq(strings.Join(header.Values("Connection"), ","), ",") {
		if name := strings.TrimSpace(list); name != "" && !g.essential(name) {
			passed.Del(name)
		}
	}
	for _, name := range hopHeaders {
		passed.Del(name)
	}
	for _, name := range []string{
		names.APIKey, names.Workspace, names.Target, names.ExpectedWeights, names.CacheSalt,
		names.ImportFrom, names.SaveTo, names.Priority, names.Deadline, names.NotRun, names.Instance, names.Weights, names.Digest,
	} {
		passed.Del(name)
	}
	for _, name := range names.Reserved {
		passed.Del(name)
	}
	return passed
}

// essential headers are passed on even if a caller calls them hop-by-hop.
func (g *Gateway) essential(name string) bool {
	names := &g.options.Settings.Headers
	for _, kept := range []string{names.RequestID, names.Model, names.Tokens, names.Prefix, names.LastEventID} {
		if strings.EqualFold(name, kept) {
			return true
		}
	}
	return false
}

// deadline is the caller's or the route's, whichever comes first.
func deadline(text string, route *comfreyworks.Route, received time.Time) time.Time {
	limit := route.Timeout
	if ms, err := strconv.ParseFloat(strings.TrimSpace(text), 64); err == nil && ms > 0 {
		if left := time.Duration(ms * float64(time.Millisecond)); limit == 0 || left < limit {
			limit = left
		}
	}
	return received.Add(limit)
}

// prompt decodes what a caller declares of a prompt. Parts that cannot be read
// end the list: prefixes behind them cannot be shared.
func prompt(header http.Header, names *comfreyworks.HeaderNames) forward.Prompt {
	p := forward.Prompt{Model: comfreyworks.Model(header.Get(names.Model))}
	tokens, _, _ := strings.Cut(header.Get(names.Tokens), ",")
	p.Tokens, _ = strconv.Atoi(strings.TrimSpace(tokens))
	for entry := range strings.SplitSeq(header.Get(names.Prefix), ",") {
		id, length, ok := strings.Cut(strings.TrimSpace(entry), ":")
		tokens, err := strconv.Atoi(length)
		if !ok || err != nil {
			break
		}
		p.Parts = append(p.Parts, comfreyworks.PromptPart{ID: id, Tokens: tokens})
	}
	return p
}
