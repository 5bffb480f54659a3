package api

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"masticplank.example/router/internal/wire"
)

// answerAsRequested answers with the given number of tokens, as a stream or a
// single JSON body as requested. Both are built in advance, so that the engine's
// own cost stays small.
func answerAsRequested(tokens int) http.HandlerFunc {
	content := strings.Repeat("tisse ", tokens)
	whole := fmt.Sprintf(`{"id":"c1","object":"chat.completion","created":1,"model":"draft@1","choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}],"usage":{"prompt_tokens":9,"completion_tokens":%d,"total_tokens":%d}}`, content, tokens, 9+tokens)
	var stream strings.Builder
	const head = `{"id":"c1","object":"chat.completion.chunk","created":1,"model":"draft@1","choices":[{"index":0,"delta":`
	for i := range tokens {
		fmt.Fprintf(&stream, "id: %d\ndata: %s{\"content\":\"tisse \"},\"finish_reason\":null}]}\n\n", i, head)
	}
	fmt.Fprintf(&stream, "id: %d\ndata: %s{},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":%d,\"total_tokens\":%d}}\n\n", tokens, head, tokens, 9+tokens)
	fmt.Fprintf(&stream, "id: %d\ndata: %s\n\n", tokens+1, wire.StreamEnd)
	events := stream.String()
	return func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set(wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt))
		if strings.Contains(string(body), `"stream":true`) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, events)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, whole)
	}
}

// BenchmarkUnstreamedChat measures chats whose caller wants a single JSON body, from
// the request to the complete answer: many at once, over loopback, with caller and
// engine in the same process.
func BenchmarkUnstreamedChat(b *testing.B) {
	for _, tokens := range []int{64, 256, 1024} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			f := newFixture(b)
			f.setBackend(answerAsRequested(tokens))
			b.ReportAllocs()
			b.ResetTimer()
			before := cpuTime(b)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					got := f.call(context.Background(), http.MethodPost, "/v1/chat/completions", prompt, "")
					if got.outcome != "completed" {
						b.Errorf("got %s: %s", got.outcome, got.body)
					}
				}
			})
			used := cpuTime(b) - before
			b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-µs/op")
		})
	}
}

// cpuTime returns the processor time used by this process. It is reported because
// ns/op consists mostly of the wait for the bill's group commit and does not measure
// the cost of a chat.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
