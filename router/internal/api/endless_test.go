package api

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"masticplank.example/router/internal/upstream"
	"masticplank.example/router/internal/wire"
)

// writeWithoutEnd writes the head of an answer, and a text again and again until the connection is closed.
func writeWithoutEnd(contentType, text string, written *atomic.Int64, closed chan<- struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt))
		w.Header().Set("Content-Type", contentType)
		for {
			n, err := io.WriteString(w, text)
			written.Add(int64(n))
			if err != nil {
				closed <- struct{}{}
				return
			}
		}
	}
}

// TestEngineSendsBytesWithoutEnd guards against an engine in trouble that sends bytes without end, in an answer, a line or
// between the events of a stream: the answer must not look complete, and the connection is closed.
func TestEngineSendsBytesWithoutEnd(t *testing.T) {
	const events = "text/event-stream"
	cases := map[string]struct{ body, contentType, text string }{
		"body of a single answer":  {prompt, "application/json", strings.Repeat("x", 4096)},
		"line of a stream":         {streamed, events, "data: " + strings.Repeat("x", 4096)},
		"comments of a stream":     {streamed, events, strings.Repeat(": x\n\n", 1000)},
		"tokens of a stream":       {streamed, events, "data: " + strings.Replace(token1, "over", strings.Repeat("o", 4096), 1) + "\n\n"},
		"tokens, for a single one": {prompt, events, "data: " + strings.Replace(token1, "over", strings.Repeat("o", 4096), 1) + "\n\n"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			var written atomic.Int64
			closed := make(chan struct{}, 100)
			f.setBackend(writeWithoutEnd(c.contentType, c.text, &written, closed))
			began := time.Now()
			got := f.call(context.Background(), http.MethodPost, "/v1/chat/completions", c.body, "")
			if strings.Contains(got.body, wire.StreamEnd) || got.outcome == "completed" && got.err == nil {
				t.Errorf("outcome %q, error %v after %d bytes: the answer looks complete", got.outcome, got.err, len(got.body))
			}
			select {
			case <-closed:
			case <-time.After(waitTimeout):
				t.Errorf("the connection is still open %v later", time.Since(began))
			}
			const attempts, buffers = 4, 16 << 20
			if n := written.Load(); n > attempts*(upstream.MaxAnswerBytes+buffers) {
				t.Errorf("%d bytes were read", n)
			}
			if n := len(f.bills()); n != 0 {
				t.Errorf("%d bills, want none", n)
			}
		})
	}
}
