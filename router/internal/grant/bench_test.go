package grant

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// BenchmarkAsk measures a question and its answer on a kept connection, with the processor time of both instances.
func BenchmarkAsk(b *testing.B) {
	holder := NewClient("holder", &fakeDecider{left: 1 << 60}, nil, time.Now, func(string, error) {})
	s := httptest.NewServer(holder)
	defer s.Close()
	address := strings.TrimPrefix(s.URL, "http://")
	asking := NewClient("asking", &fakeDecider{}, func(string) (string, bool) { return address, true }, time.Now, func(string, error) {})
	defer asking.Close()
	for b.Loop() {
		if _, err := asking.Ask(b.Context(), []string{"holder"}, question1); err != nil {
			b.Fatal(err)
		}
	}
}
