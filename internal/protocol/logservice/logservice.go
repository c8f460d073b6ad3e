// Package logservice is the client of the platform's services over HTTP: the
// append-only log and the list of instances.
//
// # Usage
//
//	client := logservice.NewClient(address, httpClient)
//	offset, err := client.Append(ctx, "claims/dispatch", records)
//	records, err := client.Read(ctx, "claims/dispatch", 0, 100, 0)
//	instances, err := client.Instances(ctx)
//
// Errors have KindUnavailable when the platform did not answer, in which case
// an append may or may not have happened, and KindRefused when it said no, in
// which case it has not.
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
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindUnavailable Kind = "unavailable"
	KindRefused     Kind = "refused"
)

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

// maxAnswerBytes bounds what is read of one answer, in bytes.
const maxAnswerBytes = 64 << 20

// AppendRequest is the body of an append.
type AppendRequest struct {
	Data [][]byte `json:"data"`
}

// AppendAnswer is the answer to an append.
type AppendAnswer struct {
	Offset comfreyworks.Offset `json:"offset"`
}

// Client talks to the platform.
type Client struct {
	base string
	http *http.Client
	mu   sync.Mutex
	// tag and listed are the last list and its tag, for conditional reads.
	tag    string
	listed []comfreyworks.Instance
}

var (
	_ comfreyworks.Log          = (*Client)(nil)
	_ comfreyworks.InstanceList = (*Client)(nil)
)

// NewClient returns a client for the platform at an address.
func NewClient(address netip.AddrPort, client *http.Client) *Client {
	return &Client{base: "http://" + address.String(), http: client}
}

// Append implements comfreyworks.Log.
func (c *Client) Append(ctx context.Context, stream string, data [][]byte) (comfreyworks.Offset, error) {
	body, err := json.Marshal(AppendRequest{Data: data})
	if err != nil {
		return 0, &Error{Op: "append", Kind: KindRefused, Err: err}
	}
	var answer AppendAnswer
	err = c.do(ctx, "append", http.MethodPost, "/log/"+url.PathEscape(stream), body, &answer)
	return answer.Offset, err
}

// Read implements comfreyworks.Log.
func (c *Client) Read(ctx context.Context, stream string, from comfreyworks.Offset, limit int, wait time.Duration) ([]comfreyworks.Record, error) {
	path := fmt.Sprintf("/log/%s?from=%d&limit=%d&wait=%s", url.PathEscape(stream), from, limit, wait)
	var records []comfreyworks.Record
	err := c.do(ctx, "read", http.MethodGet, path, nil, &records)
	return records, err
}

// Instances implements comfreyworks.InstanceList. A list that has not changed
// since the last read is not sent again: at full size it is far too long to be
// read every second.
func (c *Client) Instances(ctx context.Context) ([]comfreyworks.Instance, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	resp, err := c.send(ctx, "instances", http.MethodGet, "/instances", nil, http.Header{"If-None-Match": {c.tag}})
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotModified {
		return c.listed, nil
	}
	var instances []comfreyworks.Instance
	if err := decode("instances", resp, &instances); err != nil {
		return nil, err
	}
	c.tag = resp.Header.Get("ETag")
	c.listed = instances
	return instances, nil
}

func (c *Client) do(ctx context.Context, op, method, path string, body []byte, answer any) error {
	resp, err := c.send(ctx, op, method, path, body, nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return decode(op, resp, answer)
}

func (c *Client) send(ctx context.Context, op, method, path string, body []byte, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Op: op, Kind: KindRefused, Err: err}
	}
	if header != nil {
		req.Header = header
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindUnavailable, Err: err}
	}
	return resp, nil
}

func decode(op string, resp *http.Response, answer any) error {
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return &Error{Op: op, Kind: KindUnavailable, Err: err}
	}
	switch {
	case resp.StatusCode >= http.StatusInternalServerError:
		return &Error{Op: op, Kind: KindUnavailable, Err: fmt.Errorf("status %d", resp.StatusCode)}
	case resp.StatusCode != http.StatusOK:
		return &Error{Op: op, Kind: KindRefused, Err: fmt.Errorf("status %d", resp.StatusCode)}
	}
	if err := json.Unmarshal(text, answer); err != nil {
		return &Error{Op: op, Kind: KindUnavailable, Err: err}
	}
	return nil
}
