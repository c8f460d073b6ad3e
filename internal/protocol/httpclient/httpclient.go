// Package httpclient rejects HTTP responses that are broken although net/http returns
// them, so that nothing of them is taken for an answer. All clients of upstreams and of the
// platform use it.
//
// # Usage
//
//	client := httpclient.New(&http.Client{Transport: transport})
//	response, err := client.Do(request)
//
// A client that traces its requests and opens its connections itself calls Check instead,
// CheckFields for informational responses, and NewConn. Errors have the kinds
// listed at Kind. None of them says that the request has not run.
package httpclient

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"

	"comfreyworks"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindStatus means that the status is not one of a final response.
	KindStatus Kind = "invalid status"
	// KindField means that the name of a field is not a token.
	KindField Kind = "invalid field name"
	// KindInformational means that there were more than MaxInformational informational
	// responses.
	KindInformational Kind = "too many informational responses"
	// KindReset means that the connection was reset, or timed out, before the end of a
	// response that ends with it.
	KindReset Kind = "connection reset"
)

// MaxInformational is the maximum number of informational responses to a request.
const MaxInformational = 5

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

// Check returns an error of type *Error if a response is broken. The caller must then close
// the connection, because where the response ends is not known.
func Check(response *http.Response) error {
	if !IsFinalStatus(response.StatusCode) {
		return &Error{Op: "read response", Kind: KindStatus, Err: fmt.Errorf("status %q", response.Status)}
	}
	return CheckFields(response.Header)
}

// CheckFields returns an error of type *Error if the name of a field is malformed. net/http
// accepts blanks in names, and has by then decided without such fields where the body ends.
// Before the colon they could be removed (RFC 9112, section 5.1), but the body of a response
// whose field says otherwise would not be the one that was sent.
func CheckFields(header map[string][]string) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &Error{Op: "read response", Kind: KindField, Err: fmt.Errorf("field %q", name)}
		}
	}
	return nil
}

// IsFinalStatus reports whether a status code is valid (RFC 9110, section 15) and ends an
// exchange. Of the informational ones, net/http returns 101, which no request asks for.
func IsFinalStatus(code int) bool { return code >= http.StatusOK && code <= 599 }

// New returns a client like another one that checks its responses. Unless the transport is
// of another type than *http.Transport, the client has connections of its own.
func New(client *http.Client) *http.Client {
	if _, ok := client.Transport.(*transport); ok {
		return client
	}
	checked := *client
	checked.Transport = newTransport(client.Transport)
	return &checked
}
