package upstream

import (
	"context"
	"io"
	"net/http"
	"net/netip"

	"comfreyworks"
)

// HeaderIdempotencyKey is the header that carries an idempotency key.
const HeaderIdempotencyKey = "Idempotency-Key"

// Service is the client of one plain service.
type Service struct {
	base string
	http *http.Client
}

var _ comfreyworks.Service = (*Service)(nil)

// NewService returns a client for the service at an address.
func NewService(address netip.AddrPort, client *http.Client) *Service {
	return &Service{base: "http://" + address.String(), http: client}
}

// Do implements comfreyworks.Service. Answers with any status are answers;
// KindNotSent is the only error after which the call has certainly not run.
func (s *Service) Do(ctx context.Context, call comfreyworks.ServiceCall) (comfreyworks.ServiceAnswer, error) {
	client := *s.http
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	header := http.Header{}
	setHeader(header, "Content-Type", call.ContentType)
	setHeader(header, HeaderIdempotencyKey, call.IdempotencyKey)
	resp, err := send(ctx, &client, call.Method, s.base+call.Path, header, call.Body)
	if err != nil {
		return comfreyworks.ServiceAnswer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return comfreyworks.ServiceAnswer{}, &Error{Op: call.Method, Kind: KindBroken, Err: err}
	}
	return comfreyworks.ServiceAnswer{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}
