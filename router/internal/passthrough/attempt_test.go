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
)

// signedHeaders accepts any response as signed and as that of the request "a".
type signedHeaders struct{ noHeaders }

func (signedHeaders) ReadCaller(http.Header) seam.Caller {
	return seam.Caller{RequestID: "a", LastEventID: -1}
}
func (signedHeaders) ReadResponse(int, http.Header) seam.Response {
	return seam.Response{RequestID: "a", Signed: true, Confidence: -1}
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
			p := newTestInstance("a", newFakeClock(), &fakeLog{}, &fakeLog{})
			gate := newStartGate()
			gate.release()
			h := &Handler{headers: signedHeaders{}, config: p.config, driver: p.driver, dialer: newDialer(p.clock), clock: p.clock,
				telemetry: p.telemetry, startGate: gate, shutdown: &shutdown{}, conns: newCallerConns(0)}
			route := passthrough.Route{Name: "r", Host: "a.example", PathPrefix: "/", Kind: passthrough.KindAtMostOnce, Public: true, MaxAttempts: 1,
				Timeout: time.Second, TargetLatency: time.Second, Backends: []passthrough.Backend{{Service: "shop", Weight: 1}}}
			index, _ := p.config.Apply(passthrough.Config{Version: 1, Routes: []passthrough.Route{route}, Limits: passthrough.Limits{MaxBodyBytes: 1000}})
			p.driver.Handle(passthrough.Configured{Index: index}, passthrough.FleetSize{Instances: 1})

			var list []passthrough.Server
			var received [2]atomic.Int64
			for i := range received {
				srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					received[i].Add(1)
					_, _ = io.WriteString(w, "ok")
				}))
				defer srv.Close()
				list = append(list, passthrough.Server{ID: fmt.Sprint("shop-", i), Address: strings.TrimPrefix(srv.URL, "http://"),
					Service: "shop", Domain: fmt.Sprint("domain-", i), Slots: 4, StartTime: 1})
			}
			p.driver.Handle(passthrough.ServersListed{Servers: list})
			chosen := -1
			h.dialer.net.Control = func(_, address string, _ syscall.RawConn) error {
				for i, s := range list {
					if chosen < 0 && s.Address == address {
						chosen = i
						change(p.driver, s, []passthrough.Server{list[1-i]})
					}
				}
				return nil
			}

			req := httptest.NewRequest(http.MethodPost, "http://a.example/x", strings.NewReader("body"))
			answer := httptest.NewRecorder()
			h.ServeHTTP(answer, req)
			if answer.Code != http.StatusOK {
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
