package upstream

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

func serve(t *testing.T, handler http.HandlerFunc) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

func TestCallIsSentAtMostOnce(t *testing.T) {
	// The second call uses a keep-alive connection that breaks after the service
	// has run the call. http.Transport would retry the call by itself, because of
	// its key or because it is a GET.
	tests := []struct {
		name string
		call comfreyworks.ServiceCall
	}{
		{"body and key", comfreyworks.ServiceCall{Method: "POST", Path: "/bookings", Body: []byte("x"), IdempotencyKey: "k"}},
		{"key and no body", comfreyworks.ServiceCall{Method: "POST", Path: "/bookings", IdempotencyKey: "k"}},
		{"GET that may run only once", comfreyworks.ServiceCall{Method: "GET", Path: "/next-number"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var runs atomic.Int32
			service := NewService(serve(t, func(http.ResponseWriter, *http.Request) {
				if runs.Add(1) > 1 {
					panic(http.ErrAbortHandler)
				}
			}), &http.Client{Transport: &http.Transport{}}, nil)
			_, err := service.Do(context.Background(), test.call)
			assert.NilError(t, err)
			_, err = service.Do(context.Background(), test.call)
			assert.Assert(t, IsKind(err, KindBroken), "got %v", err)
			assert.Equal(t, runs.Load(), int32(2))
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		service := NewService(netip.MustParseAddrPort("127.0.0.1:1"), http.DefaultClient, nil)
		_, err := service.Do(context.Background(), tests[0].call)
		assert.Assert(t, IsKind(err, KindNotSent), "got %v", err)
	})
}

func TestGenerate(t *testing.T) {
	const chunk = "data: {\"index\":0,\"text\":\"a \"}\n\n"
	const usage = "data: {\"index\":1,\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":1,\"prompt_tokens_details\":{\"cached_tokens\":8}}}\n\n"
	tests := []struct {
		name   string
		stream string
		kind   Kind
	}{
		{"complete", chunk + usage + "data: [DONE]\n\n", ""},
		{"cut off before the end event", chunk + usage, KindBroken},
		{"cut off inside an event", chunk[:12], KindBroken},
		{"empty body", "", KindBroken},
		{"not JSON", "data: {\n\n", KindBroken},
		{"an error as an event", "data: {\"error\":{\"message\":\"failed\"}}\n\n" + usage + "data: [DONE]\n\n", KindBroken},
		{"one after a token", chunk + "event: error\ndata: {\"message\":\"failed\"}\n\n" + usage + "data: [DONE]\n\n", KindBroken},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			engine := NewEngine(serve(t, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = fmt.Fprint(w, test.stream)
			}), http.DefaultClient)
			got, err := engine.Generate(context.Background(), comfreyworks.GenerateRequest{}, func(comfreyworks.GeneratedToken) error { return nil })
			if test.kind != "" {
				assert.Assert(t, IsKind(err, test.kind), "got %v", err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, got, comfreyworks.Usage{PromptTokens: 9, CachedTokens: 8, CompletionTokens: 1})
		})
	}
	t.Run("refused", func(t *testing.T) {
		engine := NewEngine(serve(t, func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "other weights", http.StatusConflict)
		}), http.DefaultClient)
		_, err := engine.Generate(context.Background(), comfreyworks.GenerateRequest{}, nil)
		assert.Assert(t, IsKind(err, KindRefused), "got %v", err)
	})
}
