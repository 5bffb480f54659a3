package passthrough

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"masticplank.example/decision/passthrough/seam"
)

// noHeaders reads and writes no headers.
type noHeaders struct{}

func (noHeaders) ReadCaller(http.Header) seam.Caller                     { return seam.Caller{} }
func (noHeaders) WriteAttempt(h http.Header, _ seam.Attempt) http.Header { return h }
func (noHeaders) ReadResponse(int, http.Header) seam.Response            { return seam.Response{} }
func (noHeaders) ResponseHeaders(h http.Header) http.Header              { return h }

// TestIdleConnectionsAreClosedPastTheLimit guards against running out of file descriptors: with
// callers that open a new connection for each retry, each connection past the limit is closed after
// its response.
func TestIdleConnectionsAreClosedPastTheLimit(t *testing.T) {
	clock := newFakeClock()
	config := NewConfigState(clock, time.Second)
	gate := newStartGate()
	gate.release()
	const kept = 10
	handler := &Handler{headers: noHeaders{}, config: config, clock: clock, startGate: gate, shutdown: &shutdown{},
		conns: newCallerConns(reservedDescriptors + kept/idleConnFraction), held: newHeldBytes(0), recent: newRecentIDs(),
		telemetry: &telemetry{clock: clock, config: config, registry: metrics.NewRegistry()}}
	srv := httptest.NewUnstartedServer(handler)
	srv.Config.ConnState = handler.conns.track
	srv.Start()
	defer srv.Close()
	closed := 0
	for range 4 * kept {
		client := &http.Client{Transport: &http.Transport{}}
		resp, err := client.Get(srv.URL)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.Close {
			closed++
		}
		defer client.CloseIdleConnections()
	}
	if closed < 3*kept-1 {
		t.Errorf("%d of %d connections were closed after their responses, want at least three quarters less one", closed, 4*kept)
	}
	if n := handler.conns.open.Load(); n > kept+2 {
		t.Errorf("%d connections are open, %d may be kept", n, kept)
	}
}
