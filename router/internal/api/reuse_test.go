package api

import (
	"context"
	stdjson "encoding/json"
	"net/http"
	"reflect"
	"testing"

	"github.com/segmentio/encoding/json"
)

// TestConnectionsToBackendServersAreReused counts the connections of many consecutive
// requests. An answer whose body is not read to its end closes its connection, so
// that the next request must open a new one.
func TestConnectionsToBackendServersAreReused(t *testing.T) {
	f := newFixture(t)
	for _, body := range []string{prompt, streamed} {
		if body == streamed {
			f.setBackend(chatStream(token1, token2, lastChunk, "[DONE]"))
		}
		f.connections.Store(0)
		for range 20 {
			if got := f.call(context.Background(), http.MethodPost, "/v1/chat/completions", body, ""); got.err != nil {
				t.Fatal(got.err)
			}
		}
		if n := f.connections.Load(); n > 2 {
			t.Errorf("%d connections for 20 requests, want at most 2: %.40s", n, body)
		}
	}
}

// FuzzChunk decodes arbitrary data that an engine may send as an event. It must not
// panic, and must have the same result as with the standard library's decoder.
func FuzzChunk(f *testing.F) {
	for _, seed := range []string{token1, lastChunk, `{"choices":[{"delta":null}]}`, `{"choices":{}}`, "nonsense", ""} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data string) {
		var ours, standard streamChunk
		err := json.Unmarshal([]byte(data), &ours)
		if want := stdjson.Unmarshal([]byte(data), &standard); (err == nil) != (want == nil) {
			t.Fatalf("error %v, want that of the standard library: %v", err, want)
		}
		if err == nil && !reflect.DeepEqual(ours, standard) {
			t.Fatalf("read as %+v, want what the standard library reads: %+v", ours, standard)
		}
	})
}
