package loadgen

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// A mistyped address must not send load to a real service. Host names are refused
// too, since they may resolve to any address.
func TestLoadGoesToLoopbackOnly(t *testing.T) {
	for base, allowed := range map[string]bool{
		"http://127.0.0.1:8080": true, "http://[::1]:8080": true,
		"http://10.0.0.7:8080": false, "http://example.org": false, "http://localhost:1": false, "::": false,
	} {
		if _, err := NewTarget(base, "", RequestSpec{}); (err == nil) != allowed {
			t.Errorf("%s: error %v, want one unless the host is a loopback IP address", base, err)
		}
	}
}

// A server that refuses every third request must show in the result: both answers
// and failures are counted.
func TestRunCountsAnswersAndFailures(t *testing.T) {
	var n int
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n++
		if r.Header.Get("Authorization") != "Bearer k" || n%3 == 0 {
			http.Error(w, "busy", http.StatusTooManyRequests)
			return
		}
		_, _ = w.Write([]byte("ok"))
	}))
	defer s.Close()
	target, err := NewTarget(s.URL, "k", RequestSpec{Model: "m", MaxTokens: 1})
	if err != nil {
		t.Fatal(err)
	}
	result := Run(context.Background(), target, Plan{Callers: 1, Duration: 50 * time.Millisecond})
	if len(result.Samples) == 0 || result.Failed == 0 || result.LastError == "" || result.Rate == 0 {
		t.Errorf("got %d answers, %d failed, last error %q; want some of each and a rate above 0", len(result.Samples), result.Failed, result.LastError)
	}
	if result.Quantile(TotalTime, 0.99) < result.Quantile(TimeToFirstByte, 0.5) {
		t.Error("the 99th percentile of the total time is below the median time to the first byte")
	}
}
