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
	"sync/atomic"
	"testing"
	"time"

	"masticplank.example/decision/passthrough"
	"masticplank.example/decision/passthrough/seam"
)

// endlessServer sends the beginning of a response, and then a text again and again until its connection is closed.
type endlessServer struct {
	begin, again string
	// pause is the time between two texts.
	pause time.Duration
	// address is that of the server, once it is started.
	address string

	accepted, open, written atomic.Int64
}

// start starts the server and returns its address.
func (s *endlessServer) start(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			s.open.Add(1)
			go s.serve(c)
		}
	}()
	s.address = l.Addr().String()
	return s.address
}

// listAlone lets the handler know no other server.
func (s *endlessServer) listAlone(h *Handler) {
	h.driver.Handle(passthrough.ServersListed{Servers: []passthrough.Server{{ID: "alone", Address: s.address, Service: "shop", Domain: "domain-0", Slots: 4, StartTime: 1}}})
}

func (s *endlessServer) serve(c net.Conn) {
	defer s.open.Add(-1)
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	text := []byte(s.begin)
	for {
		n, err := c.Write(text)
		s.written.Add(int64(n))
		if err != nil {
			return
		}
		text = []byte(s.again)
		time.Sleep(s.pause)
	}
}

// waitClosed waits until all connections to the server are closed.
func (s *endlessServer) waitClosed(t *testing.T, limit time.Duration) {
	t.Helper()
	for end := time.Now().Add(limit); s.open.Load() > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections are still open after %v, %d bytes were sent", s.open.Load(), limit, s.written.Load())
		}
	}
}

// socketBuffers is more than what the sockets of one connection hold.
const socketBuffers = 64 << 20

// newEndlessHandler returns a handler with a route to a sound server, and to one that is preferred: the endless server.
func newEndlessHandler(t *testing.T, s *endlessServer, kind passthrough.Kind) *Handler {
	t.Helper()
	route := onceRoute()
	route.Resumable = true
	route.Kind, route.MaxAttempts, route.Timeout, route.TargetLatency, route.TargetGap = kind, 3, 10*time.Second, 400*time.Millisecond, 100*time.Millisecond
	h, list, received := newServedHandlerFor(t, signedHeaders{}, route, func(w http.ResponseWriter, _ *http.Request) {
		if kind == passthrough.KindStream {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "id: 0\ndata: ok\n\n")
			return
		}
		_, _ = io.WriteString(w, "ok")
	})
	send(h)
	preferred := 0
	if received[1].Load() > 0 {
		preferred = 1
	}
	list[preferred].Address, list[preferred].StartTime = s.start(t), 2
	h.driver.Handle(passthrough.ServersListed{Servers: list})
	return h
}

// runClock lets the handler's clock run.
func runClock(t *testing.T, h *Handler) {
	t.Helper()
	ticker := time.NewTicker(10 * time.Millisecond)
	t.Cleanup(ticker.Stop)
	go func() {
		for range ticker.C {
			h.clock.(*fakeClock).advance(10 * time.Millisecond)
		}
	}()
}

const (
	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	plainHead  = "HTTP/1.1 200 OK\r\n\r\n"
)

// TestServerSendsBytesWithoutEnd guards against a server in trouble that sends bytes without end, in the head, an event or
// between events of a response: they must be given up soon, and the request be served by another server.
func TestServerSendsBytesWithoutEnd(t *testing.T) {
	line := strings.Repeat("x", 8192)
	cases := map[string]struct {
		server *endlessServer
		kind   passthrough.Kind
		// most is how many bytes are read.
		most int64
	}{
		"a line of the head":        {&endlessServer{begin: "HTTP/1.1 200 OK\r\nX: ", again: line}, passthrough.KindIdempotent, maxHeadBytes},
		"lines of the head":         {&endlessServer{begin: "HTTP/1.1 200 OK\r\n", again: "X: y\r\n"}, passthrough.KindIdempotent, maxHeadBytes},
		"no head":                   {&endlessServer{again: line}, passthrough.KindIdempotent, maxHeadBytes},
		"informational heads":       {&endlessServer{again: "HTTP/1.1 102 Processing\r\n\r\n"}, passthrough.KindIdempotent, maxHeadBytes},
		"a slow head":               {&endlessServer{begin: "HTTP/1.1 200 OK\r\n", again: "X: y\r\n", pause: 50 * time.Millisecond}, passthrough.KindIdempotent, maxHeadBytes},
		"a slow head of a stream":   {&endlessServer{begin: "HTTP/1.1 200 OK\r\n", again: "X: y\r\n", pause: 50 * time.Millisecond}, passthrough.KindStream, maxHeadBytes},
		"a line of a stream":        {&endlessServer{begin: streamHead + "data: ", again: line}, passthrough.KindStream, maxEventBytes},
		"a chunk's size":            {&endlessServer{begin: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", again: "0000000"}, passthrough.KindIdempotent, maxHeadBytes},
		"a chunk's extension":       {&endlessServer{begin: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", again: line}, passthrough.KindIdempotent, maxHeadBytes},
		"trailers":                  {&endlessServer{begin: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", again: "X: y\r\n"}, passthrough.KindIdempotent, maxHeadBytes},
		"the body of a stream line": {&endlessServer{begin: streamHead, again: line + "\n"}, passthrough.KindStream, maxEventBytes},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newEndlessHandler(t, c.server, c.kind)
			runClock(t, h)
			began := time.Now()
			for range 12 {
				if got := send(h); got.Code != http.StatusOK || !strings.Contains(got.Body.String(), "ok") {
					t.Errorf("status %d, %.60q, want the response of the sound server", got.Code, got.Body.String())
				}
			}
			if took := time.Since(began); took > 8*time.Second {
				t.Errorf("12 requests took %v", took)
			}
			c.server.waitClosed(t, 2*time.Second)
			tried := c.server.accepted.Load()
			if tried == 0 || tried > 8 {
				t.Errorf("the server was tried %d times by 12 requests, want some, and fewer once it has failed", tried)
			}
			if got, most := c.server.written.Load(), tried*(c.most+socketBuffers); got > most {
				t.Errorf("%d bytes were read, want %d at most", got, most)
			}
		})
	}
}

// TestResponseWithoutEndIsBrokenOff guards against a response that is passed on for as long as the server sends, and against
// a caller that takes it for complete.
func TestResponseWithoutEndIsBrokenOff(t *testing.T) {
	cases := map[string]struct {
		server *endlessServer
		kind   passthrough.Kind
		most   int64
	}{
		"a body":               {&endlessServer{begin: plainHead, again: strings.Repeat("x", 1<<20)}, passthrough.KindIdempotent, maxPassedOnBytes},
		"comments of a stream": {&endlessServer{begin: streamHead + "id: 0\ndata: x\n\n", again: strings.Repeat(": x\n\n", 1000)}, passthrough.KindStream, maxEventBytes},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newEndlessHandler(t, c.server, c.kind)
			caller := httptest.NewServer(h)
			t.Cleanup(caller.Close)
			req, err := http.NewRequest(http.MethodPost, caller.URL+"/x", strings.NewReader("body"))
			if err != nil {
				t.Fatal(err)
			}
			req.Host = "a.example"
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			n, err := io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if err == nil && c.kind != passthrough.KindStream {
				t.Errorf("a response of %d bytes looks complete", n)
			}
			c.server.waitClosed(t, 2*time.Second)
			if got := c.server.written.Load(); got > c.most+maxResponseBytes+socketBuffers {
				t.Errorf("%d bytes were read, want %d and what is buffered", got, c.most)
			}
		})
	}
}

// TestBytesWithoutEndHoldUpNothingElse guards against one server that sends bytes without end and keeps requests to others
// waiting.
func TestBytesWithoutEndHoldUpNothingElse(t *testing.T) {
	s := &endlessServer{begin: plainHead, again: strings.Repeat("x", 64<<10), pause: 10 * time.Millisecond}
	h := newEndlessHandler(t, s, passthrough.KindIdempotent)
	busy := make(chan struct{})
	for range 4 {
		go func() {
			defer func() { _ = recover(); busy <- struct{}{} }() // the response is broken off at the end of the test
			send(h)
		}()
	}
	for s.open.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	list := []passthrough.Server{{ID: "other", Address: "", Service: "shop", Domain: "domain-1", Slots: 4, StartTime: 1}}
	sound := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "ok") }))
	t.Cleanup(sound.Close)
	list[0].Address = strings.TrimPrefix(sound.URL, "http://")
	h.driver.Handle(passthrough.ServersListed{Servers: list})
	for range 20 {
		began := time.Now()
		if got := send(h); got.Code != http.StatusOK {
			t.Errorf("status %d, want 200", got.Code)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("a request to another server took %v", took)
		}
	}
	h.clock.(*fakeClock).advance(time.Hour)
	h.shutdown.giveUp()
	for range 4 {
		select {
		case <-busy:
		case <-time.After(12 * time.Second):
			t.Fatal("a request to the server without end has not ended")
		}
	}
}

// TestCallerSendsBytesWithoutEnd guards against callers that send a head without end: they get a refusal, and the
// connection is closed.
func TestCallerSendsBytesWithoutEnd(t *testing.T) {
	h, _, _ := newServedHandler(t, signedHeaders{}, nil)
	address := serveCallers(t, h)
	for name, begin := range map[string]string{
		"request line": "GET /", "a line of the head": "GET / HTTP/1.1\r\nHost: a.example\r\nX: ", "body": "POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			again := strings.Repeat("x", 4096)
			if name == "body" {
				again = fmt.Sprintf("%x\r\n%s\r\n", len(again), again)
			}
			sent := int64(0)
			_ = c.SetWriteDeadline(time.Now().Add(10 * time.Second))
			for _, err = io.WriteString(c, begin); err == nil; _, err = io.WriteString(c, again) {
				sent += int64(len(again))
			}
			if e, ok := err.(net.Error); ok && e.Timeout() || sent > maxHeadBytes+maxDrainBytes+socketBuffers {
				t.Errorf("%d bytes were read: %v", sent, err)
			}
		})
	}
}

// rejectingHeaders takes any response for one of a server that has not run the request.
type rejectingHeaders struct{ signedHeaders }

func (rejectingHeaders) ReadResponse(int, http.Header) seam.Response {
	return seam.Response{RequestID: "a", NotRun: true, Confidence: -1}
}

// TestResponseNobodyWaitsForIsNotRead guards against the rest of a response that is read without end after it was rejected,
// or after its caller has left.
func TestResponseNobodyWaitsForIsNotRead(t *testing.T) {
	again := strings.Repeat("x", 8192)
	t.Run("rejected", func(t *testing.T) {
		s := &endlessServer{begin: "HTTP/1.1 503 Service Unavailable\r\n\r\n", again: again}
		h := newEndlessHandler(t, s, passthrough.KindIdempotent)
		s.listAlone(h)
		h.headers = rejectingHeaders{}
		send(h)
		s.waitClosed(t, 2*time.Second)
		if got := s.written.Load(); s.accepted.Load() == 0 || got > s.accepted.Load()*socketBuffers {
			t.Errorf("%d connections, %d bytes were read, want some and no more than is buffered", s.accepted.Load(), got)
		}
	})
	t.Run("its caller has left", func(t *testing.T) {
		s := &endlessServer{begin: plainHead, again: again, pause: time.Millisecond}
		h := newEndlessHandler(t, s, passthrough.KindIdempotent)
		s.listAlone(h)
		caller := httptest.NewServer(h)
		t.Cleanup(caller.Close)
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, caller.URL+"/x", strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "a.example"
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
		s.waitClosed(t, 2*time.Second)
		if s.accepted.Load() == 0 {
			t.Error("the server got no request")
		}
	})
	t.Run("idle connection", func(t *testing.T) {
		s := &endlessServer{begin: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", again: again, pause: 20 * time.Millisecond}
		h := newEndlessHandler(t, s, passthrough.KindIdempotent)
		s.listAlone(h)
		send(h)
		s.waitClosed(t, 2*time.Second)
	})
}
