package api

import (
	"context"
	"net/http"
	"testing"
)

// TestConnectionsToBackendServersAreKept counts the connections that many
// requests one after another take.
func TestConnectionsToBackendServersAreKept(t *testing.T) {
	f := newFixture(t)
	for _, body := range []string{prompt, streamed} {
		if body == streamed {
			f.script(chatStream(token1, token2, lastChunk, "[DONE]"))
		}
		f.opened.Store(0)
		for range 20 {
			if got := f.call(context.Background(), http.MethodPost, "/v1/chat/completions", body, ""); got.err != nil {
				t.Fatal(got.err)
			}
		}
		if n := f.opened.Load(); n > 2 {
			t.Errorf("%d connections for 20 requests: %.40s", n, body)
		}
	}
}
