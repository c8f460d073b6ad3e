package upstream

import (
	"context"
	"net/http"
	"net/netip"

	"comfreyworks"
	"comfreyworks/internal/protocol/httpclient"
	"comfreyworks/internal/state/memory"
)

// HeaderIdempotencyKey is the request header with the idempotency key.
const HeaderIdempotencyKey = "Idempotency-Key"

// Service is an HTTP client of one plain service.
type Service struct {
	baseURL    string
	httpClient *http.Client
	memory     *memory.Budget
}

var _ comfreyworks.Service = (*Service)(nil)

// NewService returns a client for the service at an address. budget accounts for the answers
// that it reads; nil means that nothing does.
func NewService(address netip.AddrPort, client *http.Client, budget *memory.Budget) *Service {
	return &Service{baseURL: "http://" + address.String(), httpClient: httpclient.New(client), memory: budget}
}

// Do implements comfreyworks.Service. A response with any status, including a
// redirect, is returned as the answer. After an error of KindNotSent the call has
// certainly not run; after any other error it may have run.
func (s *Service) Do(ctx context.Context, call comfreyworks.ServiceCall) (comfreyworks.ServiceAnswer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	hold := s.memory.Hold(memory.Answer, func() { cancel(memory.ErrFull) })
	defer hold.Release()
	client := *s.httpClient
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	header := http.Header{}
	setHeaderIfNotEmpty(header, "Content-Type", call.ContentType)
	setHeaderIfNotEmpty(header, HeaderIdempotencyKey, call.IdempotencyKey)
	resp, err := sendOnce(ctx, &client, call.Method, s.baseURL+call.Path, header, call.Body)
	if err != nil {
		return comfreyworks.ServiceAnswer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := readAll(ctx, resp, hold)
	if err != nil {
		return comfreyworks.ServiceAnswer{}, &Error{Op: call.Method, Kind: KindBroken, Err: err}
	}
	return comfreyworks.ServiceAnswer{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}
