package passthrough

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"masticplank.example/decision/passthrough"
)

// TestRepeatOfARequestThatHasNotRunIsServed guards against a caller who is told that its request may have run, though its
// first try was refused, or left before anything was sent.
func TestRepeatOfARequestThatHasNotRunIsServed(t *testing.T) {
	for name, first := range map[string]func(t *testing.T, h *Handler, list []passthrough.Server){
		"refused": func(t *testing.T, h *Handler, list []passthrough.Server) {
			h.driver.Handle(passthrough.ServersListed{})
			if code := sendAborting(h); code != http.StatusServiceUnavailable {
				t.Fatalf("status %d, want 503", code)
			}
		},
		"not connected": func(t *testing.T, h *Handler, _ []passthrough.Server) {
			refused := &atomic.Bool{}
			refused.Store(true)
			connect := h.dialer.connect
			refuseConnections(h, refused)
			if code := sendAborting(h); code != http.StatusServiceUnavailable {
				t.Fatalf("status %d, want 503", code)
			}
			h.dialer.connect = connect
		},
		"left while it connected": func(_ *testing.T, h *Handler, _ []passthrough.Server) {
			connect := h.dialer.connect
			ctx, leave := context.WithCancel(context.Background())
			h.dialer.connect = func(ctx context.Context, _, _ string) (net.Conn, error) {
				leave()
				<-ctx.Done()
				return nil, ctx.Err()
			}
			func() {
				defer func() { _ = recover() }() // the handler aborts the response of a caller that has left
				h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, http.MethodPost, "http://a.example/x", strings.NewReader("body")))
			}()
			h.dialer.connect = connect
		},
	} {
		t.Run(name, func(t *testing.T) {
			h, list, _ := newServedHandler(t, signedHeaders{}, nil)
			first(t, h, list)
			for i := range list {
				list[i].StartTime++ // as new processes they are not in backoff
			}
			h.driver.Handle(passthrough.ServersListed{Servers: list})
			h.clock.(*fakeClock).advance(time.Second)
			if code := sendAborting(h); code != http.StatusOK {
				t.Errorf("status %d for the repeat, want 200", code)
			}
		})
	}
}
