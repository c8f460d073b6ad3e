package upstream

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// writeEndlessly returns a handler that writes a start and then a text of at most limit
// bytes again and again. It counts the answers that are still being written.
func writeEndlessly(start, text string, limit int, open *atomic.Int32) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		open.Add(1)
		defer open.Add(-1)
		_, err := io.WriteString(w, start)
		for n := 0; err == nil && n < limit; n += len(text) {
			_, err = io.WriteString(w, text)
		}
	}
}

// TestEndlessAnswer guards against taking the beginning of an answer without end for all
// of it, and against reading a stream without end that brings no token.
func TestEndlessAnswer(t *testing.T) {
	var open atomic.Int32
	closed := func(t *testing.T) {
		t.Helper()
		for open.Load() > 0 {
			time.Sleep(time.Millisecond)
		}
	}
	t.Run("of a service", func(t *testing.T) {
		text := string(make([]byte, 1<<20))
		service := NewService(serve(t, writeEndlessly("", text, 2*maxResponseBytes, &open)), http.DefaultClient, nil)
		_, err := service.Do(context.Background(), comfreyworks.ServiceCall{Method: http.MethodGet, Path: "/"})
		assert.ErrorIs(t, err, comfreyworks.ErrCutOff)
		closed(t)
	})
	const token = "data: {\"index\":0,\"text\":\"a\"}\n\n"
	for name, c := range map[string]struct {
		text  string
		cause error
	}{
		"comments":         {": x\n\n", comfreyworks.ErrCutOff},
		"counts of tokens": {"data: {\"usage\":{}}\n\n", comfreyworks.ErrCutOff},
		"empty lines":      {"\n\n", bufio.ErrTooLong},
	} {
		t.Run(name, func(t *testing.T) {
			engine := NewEngine(serve(t, writeEndlessly(token, c.text, 16*maxIdleBytes, &open)), http.DefaultClient)
			tokens := 0
			_, err := engine.Generate(context.Background(), comfreyworks.GenerateRequest{}, func(comfreyworks.GeneratedToken) error {
				tokens++
				return nil
			})
			assert.Assert(t, IsKind(err, KindBroken), "%v", err)
			assert.ErrorIs(t, err, c.cause)
			assert.Equal(t, tokens, 1)
			closed(t)
		})
	}
	t.Run("long stream", func(t *testing.T) {
		engine := NewEngine(serve(t, writeEndlessly("", token, 4*maxIdleBytes, &open)), http.DefaultClient)
		_, err := engine.Generate(context.Background(), comfreyworks.GenerateRequest{}, func(comfreyworks.GeneratedToken) error { return nil })
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "it has no end, but is read completely")
	})
}
