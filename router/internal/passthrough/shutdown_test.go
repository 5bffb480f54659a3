package passthrough

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"masticplank.example/decision/passthrough"
)

// TestRequestAtAHangingServerIsAnsweredBeforeTheEnd guards against a connection that is closed without an answer when the
// process stops.
func TestRequestAtAHangingServerIsAnsweredBeforeTheEnd(t *testing.T) {
	running := make(chan struct{})
	route := streamRoute()
	route.Kind, route.Timeout = passthrough.KindAtMostOnce, time.Minute
	h, _, _ := newServedHandlerFor(t, signedHeaders{}, route, func(_ http.ResponseWriter, r *http.Request) {
		close(running)
		<-r.Context().Done()
	})
	c := dialHandler(t, serveCallers(t, h))
	_, _ = fmt.Fprint(c, "GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n")
	<-running
	h.shutdown.giveUp()
	if got := readStatus(t, c); got != http.StatusGatewayTimeout {
		t.Errorf("status %d, want %d", got, http.StatusGatewayTimeout)
	}
}

// TestShutdownWaitsForSlowCallers guards against a response that is cut short, or a request without an answer, because its
// caller was still reading or sending while the process stopped.
func TestShutdownWaitsForSlowCallers(t *testing.T) {
	const length = 12 << 20
	for name, tt := range map[string]struct{ head, rest string }{
		"reads":  {head: "GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n"},
		"sends":  {head: "POST /x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 900\r\n\r\n", rest: strings.Repeat("x", 900)},
		"denied": {head: "POST /x HTTP/1.1\r\nHost: b.example\r\nContent-Length: 900\r\n\r\n", rest: strings.Repeat("x", 900)},
	} {
		t.Run(name, func(t *testing.T) {
			h, _, _ := newServedHandler(t, slowReaderHeaders{}, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, strings.Repeat("z", length))
			})
			srv := httptest.NewUnstartedServer(h)
			srv.Config.ConnState = h.conns.track
			srv.Start()
			t.Cleanup(srv.Close)
			c := dialHandler(t, srv.Listener.Addr().String())
			if err := c.(*net.TCPConn).SetReadBuffer(64 << 10); err != nil {
				t.Fatal(err)
			}
			_, _ = fmt.Fprint(c, tt.head)
			waitFor(t, "the request arrives", func() bool { return h.conns.activeCount() > 0 })
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				(&server{handler: h, driver: h.driver}).waitIdle(context.Background())
				srv.Config.SetKeepAlivesEnabled(false)
				_ = srv.Config.Close()
			}()
			time.Sleep(400 * time.Millisecond) // longer than quietPolls checks take
			_, _ = fmt.Fprint(c, tt.rest)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal("no response: ", err)
			}
			n, err := io.Copy(io.Discard, resp.Body)
			if want := resp.ContentLength; n != want || err != nil {
				t.Errorf("status %d, %d of %d bytes, error %v", resp.StatusCode, n, want, err)
			}
			_ = c.Close()
			select {
			case <-stopped:
			case <-time.After(10 * time.Second):
				t.Error("the process does not stop")
			}
		})
	}
}
