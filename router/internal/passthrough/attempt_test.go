package passthrough

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"masticplank.example/decision/passthrough"
	"masticplank.example/decision/passthrough/seam"
	"masticplank.example/decision/reach"
	"masticplank.example/router/internal/tunnel"
)

// signedHeaders accepts any response as signed and as that of the request "a".
type signedHeaders struct{ noHeaders }

func (signedHeaders) ReadCaller(http.Header) seam.Caller {
	return seam.Caller{RequestID: "a", LastEventID: -1}
}
func (signedHeaders) ReadResponse(int, http.Header) seam.Response {
	return seam.Response{RequestID: "a", Signed: true, Confidence: -1}
}

// onceRoute is a route whose requests may run at most once.
func onceRoute() passthrough.Route {
	return passthrough.Route{Name: "r", Host: "a.example", PathPrefix: "/", Kind: passthrough.KindAtMostOnce, Public: true, MaxAttempts: 1,
		Timeout: time.Second, TargetLatency: time.Second, Backends: []passthrough.Backend{{Service: "shop", Weight: 1}}}
}

// newServedHandler returns a handler with a route to two servers, each in a failure domain of its own, and the
// numbers of requests that these received. answer writes their answers; nil for a success.
func newServedHandler(t *testing.T, headers Headers, answer http.HandlerFunc) (*Handler, []passthrough.Server, *[2]atomic.Int64) {
	t.Helper()
	return newServedHandlerFor(t, headers, onceRoute(), answer)
}

// newServedHandlerFor is like newServedHandler, with another route.
func newServedHandlerFor(t *testing.T, headers Headers, route passthrough.Route, answer http.HandlerFunc) (*Handler, []passthrough.Server, *[2]atomic.Int64) {
	t.Helper()
	p := newTestInstance("a", newFakeClock(), &fakeLog{}, &fakeLog{})
	gate := newStartGate()
	gate.release()
	h := &Handler{headers: headers, config: p.config, driver: p.driver, dialer: newDialer(p.clock, p.driver, tunnel.NewDialer(tunnel.NewPeers(p.clock.Now, reach.Peer{}, nil))), clock: p.clock,
		telemetry: p.telemetry, startGate: gate, shutdown: &shutdown{}, conns: newCallerConns(0), held: newHeldBytes(0), recent: newRecentIDs()}
	index, _ := p.config.Apply(passthrough.Config{Version: 1, Routes: []passthrough.Route{route}, Limits: passthrough.Limits{MaxBodyBytes: 1000}})
	p.driver.Handle(passthrough.Configured{Index: index}, passthrough.FleetSize{Instances: 1})
	if answer == nil {
		answer = func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }
	}
	var list []passthrough.Server
	received := &[2]atomic.Int64{}
	for i := range received {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			received[i].Add(1)
			answer(w, r)
		}))
		t.Cleanup(srv.Close)
		list = append(list, passthrough.Server{ID: fmt.Sprint("shop-", i), Address: strings.TrimPrefix(srv.URL, "http://"),
			Service: "shop", Domain: fmt.Sprint("domain-", i), Slots: 4, StartTime: 1})
	}
	p.driver.Handle(passthrough.ServersListed{Servers: list})
	return h, list, received
}

// send sends the handler a request and returns the answer.
func send(h *Handler) *httptest.ResponseRecorder {
	answer := httptest.NewRecorder()
	h.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "http://a.example/x", strings.NewReader("body")))
	return answer
}

// TestRequestIsWithheldFromServerThatBecomesUnusable guards against a request that is sent to a server
// which, while the connection was opened, has stated that it is leaving or wants no requests, or has left
// the list. The request must go to another server, as its first attempt.
func TestRequestIsWithheldFromServerThatBecomesUnusable(t *testing.T) {
	changes := map[string]func(d *Driver, chosen passthrough.Server, others []passthrough.Server){
		"is leaving": func(d *Driver, chosen passthrough.Server, _ []passthrough.Server) {
			d.Handle(passthrough.ServerStated{Server: chosen, Leaving: true})
		},
		"wants no requests": func(d *Driver, chosen passthrough.Server, _ []passthrough.Server) {
			d.Handle(passthrough.ServerStated{Server: chosen, RetryAfter: time.Second})
		},
		"has left the list": func(d *Driver, _ passthrough.Server, others []passthrough.Server) {
			d.Handle(passthrough.ServersListed{Servers: others})
		},
		"its failure domain is drained": func(d *Driver, chosen passthrough.Server, _ []passthrough.Server) {
			d.Handle(passthrough.DomainsDrained{Domains: []string{chosen.Domain}})
		},
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			h, list, received := newServedHandler(t, signedHeaders{}, nil)
			p := h.driver
			chosen := -1
			h.dialer.net.Control = func(_, address string, _ syscall.RawConn) error {
				for i, s := range list {
					if chosen < 0 && s.Address == address {
						chosen = i
						change(p, s, []passthrough.Server{list[1-i]})
					}
				}
				return nil
			}

			if answer := send(h); answer.Code != http.StatusOK {
				t.Fatalf("status %d (%s), want 200", answer.Code, answer.Body)
			}
			if n := received[chosen].Load(); n != 0 {
				t.Errorf("the server got %d requests, want 0", n)
			}
			if n := received[1-chosen].Load(); n != 1 {
				t.Errorf("the other server got %d requests, want 1", n)
			}
		})
	}
}

// refusingHeaders accepts any response as a refusal that closes the connection and states a time.
type refusingHeaders struct{ signedHeaders }

func (refusingHeaders) ReadResponse(int, http.Header) seam.Response {
	return seam.Response{RequestID: "a", NotRun: true, ClosesConnection: true, RetryAfter: time.Second, Confidence: -1}
}

// TestRefusalWithRetryAfterIsNoDeparture guards against a server that gets nothing for good because its
// refusal closes the connection, as those of a leaving server do, although it states when it takes requests
// again.
func TestRefusalWithRetryAfterIsNoDeparture(t *testing.T) {
	h, list, received := newServedHandler(t, refusingHeaders{}, nil)
	for range list {
		send(h)
	}
	h.clock.(*fakeClock).advance(time.Second)
	for i, s := range list {
		if received[i].Load() == 0 {
			t.Fatalf("%s got no request", s.ID)
		}
		if !h.driver.maySend(&ticket{}, s, func() {}) {
			t.Errorf("%s gets no requests after the stated time", s.ID)
		}
	}
}
