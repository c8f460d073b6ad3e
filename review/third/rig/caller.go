package rig

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"comfreyworks/platform"
)

// Request is a request of a caller.
type Request struct {
	// ID is drawn if it is empty.
	ID, Method, Path, Key, Body string
	// Prefix and Usage describe the prompt; empty means that there is none.
	Prefix, Usage string
	Deadline      time.Duration
	// DeadlineText replaces Deadline in the header of the request unless it is empty.
	DeadlineText string
	// NewConnection sends the request on a connection of its own.
	NewConnection bool
}

// Result tells what a caller got.
type Result struct {
	ID string
	// Status is zero if there was no answer.
	Status int
	Header http.Header
	Body   []byte
	// Err means that the answer was cut off, or that there was none.
	Err            error
	Sent, Returned time.Time
}

// Served reports whether the caller got a complete success.
func (r *Result) Served() bool { return r.Err == nil && r.Status == http.StatusOK }

var requestIDs atomic.Uint64

// NextRequestID returns an ID that no request had.
func NextRequestID() string { return fmt.Sprintf("%016x", 0x9c41d07be2000000+requestIDs.Add(1)) }

var callers = &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 256}}

// Send sends a request to a gateway and reads the answer.
func (g *Gateway) Send(request Request) (result Result) {
	names := platform.HeaderNames()
	result.ID = request.ID
	if result.ID == "" {
		result.ID = NextRequestID()
	}
	ctx, cancel := context.WithTimeout(context.Background(), request.Deadline+500*time.Millisecond)
	defer cancel()
	result.Sent = time.Now()
	defer func() { result.Returned = time.Now() }()
	r, err := http.NewRequestWithContext(ctx, request.Method, "http://"+g.Address().String()+request.Path, bytes.NewReader([]byte(request.Body)))
	if err != nil {
		result.Err = err
		return result
	}
	r.GetBody = nil
	r.Host = Host
	for name, value := range map[string]string{
		names.RequestID: result.ID, names.APIKey: request.Key, names.Deadline: fmt.Sprint(request.Deadline.Milliseconds()),
		names.Prefix: request.Prefix, names.Tokens: request.Usage,
	} {
		if value != "" {
			r.Header.Set(name, value)
		}
	}
	if request.DeadlineText != "" {
		r.Header.Set(names.Deadline, request.DeadlineText)
	}
	if request.Prefix != "" {
		r.Header.Set(names.Model, Model)
	}
	r.Close = request.NewConnection
	response, err := callers.Do(r)
	if err != nil {
		result.Err = err
		return result
	}
	defer func() { _ = response.Body.Close() }()
	result.Status, result.Header = response.StatusCode, response.Header
	result.Body, result.Err = io.ReadAll(response.Body)
	return result
}
