// Package logservice contains the HTTP client of two services of the platform: the
// append-only log and the list of instances.
//
// # Usage
//
//	client := logservice.NewClient(address, httpClient)
//	offset, err := client.Append(ctx, "claims/dispatch", records)
//	records, err := client.Read(ctx, "claims/dispatch", 0, 100, 0)
//	instances, err := client.Instances(ctx)
//
// After an error of KindUnavailable, an append may or may not have happened,
// because no valid response arrived or the platform failed. After an error of
// KindRefused, it has not happened, because the platform rejected the request.
package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"comfreyworks"
	"comfreyworks/internal/protocol/httpclient"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindUnavailable means that no valid response arrived or that the platform
	// reported a failure of its own.
	KindUnavailable Kind = "unavailable"
	// KindRefused means that the platform rejected the request.
	KindRefused Kind = "refused"
)

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

// maxResponseBytes limits how much of a response body is read.
const maxResponseBytes = 64 << 20

// AppendRequest is the body of a request to append records.
type AppendRequest struct {
	Data [][]byte `json:"data"`
}

// AppendResponse is the body of the response to an AppendRequest.
type AppendResponse struct {
	Offset comfreyworks.Offset `json:"offset"`
}

// Client is a client of the platform. It is safe for concurrent use.
type Client struct {
	baseURL    string
	httpClient *http.Client
	mu         sync.Mutex
	// etag and instances are the entity tag and the content of the last list
	// received, for conditional requests. Both are guarded by mu.
	etag      string
	instances []comfreyworks.Instance
}

var (
	_ comfreyworks.Log          = (*Client)(nil)
	_ comfreyworks.InstanceList = (*Client)(nil)
)

// NewClient returns a client for the platform at an address.
func NewClient(address netip.AddrPort, client *http.Client) *Client {
	return &Client{baseURL: "http://" + address.String(), httpClient: httpclient.New(client)}
}

// Append implements comfreyworks.Log.
func (c *Client) Append(ctx context.Context, stream string, data [][]byte) (comfreyworks.Offset, error) {
	body, err := json.Marshal(AppendRequest{Data: data})
	if err != nil {
		return 0, &Error{Op: "append", Kind: KindRefused, Err: err}
	}
	var response AppendResponse
	err = c.doJSON(ctx, "append", http.MethodPost, "/log/"+url.PathEscape(stream), body, &response)
	return response.Offset, err
}

// Read implements comfreyworks.Log.
func (c *Client) Read(ctx context.Context, stream string, from comfreyworks.Offset, limit int, wait time.Duration) ([]comfreyworks.Record, error) {
	path := fmt.Sprintf("/log/%s?from=%d&limit=%d&wait=%s", url.PathEscape(stream), from, limit, wait)
	var records []comfreyworks.Record
	err := c.doJSON(ctx, "read", http.MethodGet, path, nil, &records)
	return records, err
}

// Instances implements comfreyworks.InstanceList. The platform sends the list only
// if it has changed since the last call, because the list of a large deployment is
// too long to be transferred every second.
func (c *Client) Instances(ctx context.Context) ([]comfreyworks.Instance, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	resp, err := c.send(ctx, "instances", http.MethodGet, "/instances", nil, http.Header{"If-None-Match": {c.etag}})
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotModified {
		return c.instances, nil
	}
	var instances []comfreyworks.Instance
	if err := decodeResponse("instances", resp, &instances); err != nil {
		return nil, err
	}
	c.etag = resp.Header.Get("ETag")
	c.instances = instances
	return instances, nil
}

// doJSON sends a request and decodes the JSON response into response.
func (c *Client) doJSON(ctx context.Context, op, method, path string, body []byte, response any) error {
	resp, err := c.send(ctx, op, method, path, body, nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return decodeResponse(op, resp, response)
}

func (c *Client) send(ctx context.Context, op, method, path string, body []byte, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Op: op, Kind: KindRefused, Err: err}
	}
	if header != nil {
		req.Header = header
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindUnavailable, Err: err}
	}
	return resp, nil
}

// decodeResponse decodes a JSON response, or returns the error for its status.
func decodeResponse(op string, resp *http.Response, response any) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return &Error{Op: op, Kind: KindUnavailable, Err: err}
	}
	switch {
	case resp.StatusCode >= http.StatusInternalServerError:
		return &Error{Op: op, Kind: KindUnavailable, Err: fmt.Errorf("status %d", resp.StatusCode)}
	case resp.StatusCode != http.StatusOK:
		return &Error{Op: op, Kind: KindRefused, Err: fmt.Errorf("status %d", resp.StatusCode)}
	}
	if err := json.Unmarshal(body, response); err != nil {
		return &Error{Op: op, Kind: KindUnavailable, Err: err}
	}
	return nil
}
