package passthrough

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"masticplank.example/decision/passthrough"
	"masticplank.example/decision/passthrough/seam"
	"masticplank.example/router/internal/tunnel"
)

// statedHeaders read "Rejected" and "Confidence" of a response, and take each for one to the request.
type statedHeaders struct{ signedHeaders }

func (statedHeaders) ReadCaller(h http.Header) seam.Caller {
	return seam.Caller{RequestID: "a", LastEventID: -1, ChooseModel: true}
}

func (statedHeaders) ReadResponse(_ int, h http.Header) seam.Response {
	r := seam.Response{RequestID: "a", Signed: true, Confidence: -1, NotRun: h.Get("Rejected") != ""}
	if h.Get("Confidence") != "" {
		r.Confidence = 0
	}
	return r
}

// lostTunnel is a connection that fails like a tunnel whose peer is lost, once the server has got the request.
type lostTunnel struct {
	net.Conn
	ran *atomic.Bool
}

func (c lostTunnel) Read([]byte) (int, error) {
	for range 1000 {
		if c.ran.Load() {
			break
		}
		time.Sleep(time.Millisecond)
	}
	return 0, tunnel.ErrPeerLost
}

// TestNoPathSaysThatARequestHasNotRunOnceOneHas guards against a status by which callers take a request for one that has
// not run and never will, although a backend server has begun to run it.
func TestNoPathSaysThatARequestHasNotRunOnceOneHas(t *testing.T) {
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
	}
	broken := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	full := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Rejected", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	hang := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	doubtful := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Confidence", "0")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 0\ndata: x\n\n")
	}
	headOnly := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
	partOfStream := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 0\ndata: x\n\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	type world struct {
		h    *Handler
		list []passthrough.Server
	}
	cases := map[string]struct {
		// answers are those of the servers, in the order in which requests come; the last one repeats.
		answers []http.HandlerFunc
		kind    passthrough.Kind
		// meanwhile runs as the first request begins to run.
		meanwhile func(w world)
		prepare   func(w world, ran *atomic.Bool)
		// repeat sends the request again and checks that answer, too.
		repeat bool
	}{
		"a failure":                                {answers: []http.HandlerFunc{status(500)}},
		"a broken connection":                      {answers: []http.HandlerFunc{broken}},
		"503 without a statement":                  {answers: []http.HandlerFunc{status(503)}},
		"429 without a statement":                  {answers: []http.HandlerFunc{status(429)}},
		"408 without a statement":                  {answers: []http.HandlerFunc{status(408)}},
		"421 without a statement":                  {answers: []http.HandlerFunc{status(421)}},
		"the deadline passes at the server":        {answers: []http.HandlerFunc{hang}},
		"the deadline passes in the response":      {answers: []http.HandlerFunc{headOnly}},
		"the caller repeats it":                    {answers: []http.HandlerFunc{broken, status(200)}, repeat: true},
		"a tunnel is lost":                         {answers: []http.HandlerFunc{hang}, prepare: func(w world, ran *atomic.Bool) { loseTunnels(w.h, ran) }},
		"then servers are full":                    {answers: []http.HandlerFunc{broken, full}, kind: passthrough.KindIdempotent},
		"503 without a statement, then full":       {answers: []http.HandlerFunc{status(503), full}, kind: passthrough.KindIdempotent},
		"then no server is left":                   {answers: []http.HandlerFunc{broken}, kind: passthrough.KindIdempotent, meanwhile: func(w world) { w.h.driver.Handle(passthrough.ServersListed{}) }},
		"then all servers want no requests":        {answers: []http.HandlerFunc{broken}, kind: passthrough.KindIdempotent, meanwhile: func(w world) { restrain(w.h, w.list) }},
		"then all servers leave":                   {answers: []http.HandlerFunc{broken}, kind: passthrough.KindIdempotent, meanwhile: func(w world) { leave(w.h, w.list) }},
		"then its route is removed":                {answers: []http.HandlerFunc{broken}, kind: passthrough.KindIdempotent, meanwhile: func(w world) { removeRoutes(w.h) }},
		"then the instance stops":                  {answers: []http.HandlerFunc{broken}, kind: passthrough.KindStream, meanwhile: func(w world) { stopSoon(w.h) }},
		"then the next server is reached no more":  {answers: []http.HandlerFunc{broken}, kind: passthrough.KindIdempotent, prepare: func(w world, ran *atomic.Bool) { refuseConnections(w.h, ran) }},
		"a doubtful response, then full":           {answers: []http.HandlerFunc{doubtful, full}, kind: passthrough.KindStream},
		"a stream breaks, then servers are full":   {answers: []http.HandlerFunc{partOfStream, full}, kind: passthrough.KindStream},
		"it seems to crash servers":                {answers: []http.HandlerFunc{broken}, kind: passthrough.KindIdempotent},
		"then its deadline passes while it queues": {answers: []http.HandlerFunc{broken, full}, kind: passthrough.KindStream, meanwhile: func(w world) { restrain(w.h, w.list) }},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			ran, n := &atomic.Bool{}, &atomic.Int64{}
			route := onceRoute()
			route.Kind, route.Resumable, route.MaxAttempts, route.Timeout = cmp.Or(tt.kind, passthrough.KindAtMostOnce), true, 4, 300*time.Millisecond
			if route.Kind == passthrough.KindStream {
				route.Models = []string{"small", "large"}
			}
			var w world
			answer := func(rw http.ResponseWriter, r *http.Request) {
				at := int(n.Add(1)) - 1
				if at == 0 {
					ran.Store(true)
					if tt.meanwhile != nil {
						tt.meanwhile(w)
					}
				}
				tt.answers[min(at, len(tt.answers)-1)](rw, r)
			}
			w.h, w.list, _ = newServedHandlerFor(t, statedHeaders{}, route, answer)
			if tt.prepare != nil {
				tt.prepare(w, ran)
			}
			sends := 1
			if tt.repeat {
				sends = 2
			}
			for range sends {
				code := sendAborting(w.h)
				if !ran.Load() {
					t.Fatalf("status %d, and the request has not run", code)
				}
				if impliesNotRun(code) {
					t.Errorf("status %d, although the request has run", code)
				}
			}
			if route.Kind == passthrough.KindAtMostOnce && n.Load() > 1 {
				t.Errorf("the request was sent %d times", n.Load())
			}
		})
	}
}

// sendAborting sends the handler a request and returns the status, 0 for a connection that was closed.
func sendAborting(h *Handler) (code int) {
	defer func() {
		if p := recover(); p != nil && fmt.Sprint(p) != fmt.Sprint(http.ErrAbortHandler) {
			panic(p)
		}
	}()
	answer := httptest.NewRecorder()
	h.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "http://a.example/x", strings.NewReader("body")))
	return answer.Code
}

// loseTunnels lets all connections break like tunnels whose peers are lost, once a server has begun to run the request.
func loseTunnels(h *Handler, ran *atomic.Bool) {
	connect := h.dialer.connect
	h.dialer.connect = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := connect(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return lostTunnel{c, ran}, nil
	}
}

func removeRoutes(h *Handler) { h.config.Apply(passthrough.Config{Version: 2}) }

// refuseConnections lets no connection be opened once a server has begun to run the request.
func refuseConnections(h *Handler, ran *atomic.Bool) {
	connect := h.dialer.connect
	h.dialer.connect = func(ctx context.Context, network, address string) (net.Conn, error) {
		if ran.Load() {
			return nil, net.ErrClosed
		}
		return connect(ctx, network, address)
	}
}

func restrain(h *Handler, list []passthrough.Server) {
	for _, s := range list {
		h.driver.Handle(passthrough.ServerStated{Server: s, RetryAfter: time.Minute})
	}
}

func leave(h *Handler, list []passthrough.Server) {
	for _, s := range list {
		h.driver.Handle(passthrough.ServerStated{Server: s, Leaving: true})
	}
}

func stopSoon(h *Handler) {
	h.shutdown.begin(h.clock.Now().Add(time.Second))
	h.driver.Handle(passthrough.Stopping{At: h.clock.Now().Add(time.Second)})
}
