package api

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// TestConnectionsToBackendServersAreKept counts the connections that many
// requests one after another take.
func TestConnectionsToBackendServersAreKept(t *testing.T) {
	f := newFixture(t)
	var opened atomic.Int64
	f.backend.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			opened.Add(1)
		}
	}
	for _, body := range []string{prompt, streamed} {
		if body == streamed {
			f.script(chatStream(token1, token2, lastChunk, "[DONE]"))
		}
		opened.Store(0)
		for range 20 {
			if got := f.call(context.Background(), http.MethodPost, "/v1/chat/completions", body, ""); got.err != nil {
				t.Fatal(got.err)
			}
		}
		if n := opened.Load(); n > 2 {
			t.Errorf("%d connections for 20 requests: %.40s", n, body)
		}
	}
}
