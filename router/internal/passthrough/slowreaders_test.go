package passthrough

import (
	"bufio"
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
	"masticplank.example/router/internal/connlimit"
)

// slowReaderHeaders accepts any response as signed and as that of the request "a", and resumes streams.
type slowReaderHeaders struct{ signedHeaders }

func (slowReaderHeaders) WriteAttempt(_ http.Header, a seam.Attempt) http.Header {
	return http.Header{"Last-Event-Id": {fmt.Sprint(a.LastEventID)}}
}

func (slowReaderHeaders) ResponseHeaders(h http.Header) http.Header {
	return http.Header{"Content-Type": h["Content-Type"]}
}

// serveCallers serves the handler on a connection and returns the address.
func serveCallers(t *testing.T, h *Handler) string {
	t.Helper()
	srv := httptest.NewUnstartedServer(h)
	srv.Config = newCallerServer(h)
	srv.Listener = connlimit.NewListener(srv.Listener, connlimit.Bounds{}, h.config.callerLimits)
	srv.Start()
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// dialHandler opens a caller's connection.
func dialHandler(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// waitFor waits until the condition holds.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not after 10 s", what)
		}
	}
}

func (h *Handler) holdsNothing() bool { return h.held.sums() == [directions]int64{} }

// TestBodyThatDoesNotFitIsRefusedUnread guards against a caller that has to send its whole body, slowly, before it is told
// that there is no room for it, and against a connection that is broken before it reads that.
func TestBodyThatDoesNotFitIsRefusedUnread(t *testing.T) {
	for name, tt := range map[string]struct{ length, sent string }{
		"length":            {"Content-Length: 900", ""},
		"length, half sent": {"Content-Length: 900", strings.Repeat("x", 450)},
		"chunks":            {"Transfer-Encoding: chunked", "1\r\nx\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			h, _, received := newServedHandler(t, signedHeaders{}, nil)
			h.held = newHeldBytes(4 * 800)
			c := dialHandler(t, serveCallers(t, h))
			_, _ = fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: a.example\r\n%s\r\n\r\n%s", tt.length, tt.sent)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !resp.Close {
				t.Errorf("status %d, Retry-After %q, connection closed: %v; want 503 with a time, and a close", resp.StatusCode, resp.Header.Get("Retry-After"), resp.Close)
			}
			text, err := io.ReadAll(resp.Body)
			if err != nil || !strings.HasPrefix(string(text), string(reasonNoRoom)) {
				t.Errorf("%q, error %v; want the reason %s", text, err, reasonNoRoom)
			}
			if received[0].Load()+received[1].Load() > 0 {
				t.Error("the request was sent to a server")
			}
			waitFor(t, "everything is given back", h.holdsNothing)
		})
	}
}

// TestHeldBytesAreGivenBack guards against room that is lost for good when a request ends in an unusual way.
func TestHeldBytesAreGivenBack(t *testing.T) {
	const post = "POST /x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 8\r\n\r\n"
	answers := map[string]http.HandlerFunc{
		"served": nil,
		"failed": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"broken": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"hung": func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // net/http then notices the end of the connection
			<-r.Context().Done()
		},
	}
	for name, answer := range answers {
		for leave, sent := range map[string]string{"": post + "whole it", "in the body": post + "part", "at the server": post + "whole it"} {
			t.Run(name+", caller leaves "+leave, func(t *testing.T) {
				h, _, _ := newServedHandler(t, signedHeaders{}, answer)
				h.held = newHeldBytes(1 << 20)
				c := dialHandler(t, serveCallers(t, h))
				_, _ = io.WriteString(c, sent)
				if leave == "" {
					if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
						t.Fatal(err)
					}
				} else {
					waitFor(t, "the body is held", func() bool { return h.held.sums()[toServer] > 0 || name != "hung" })
					_ = c.Close()
				}
				waitFor(t, "everything is given back", h.holdsNothing)
			})
		}
	}
}

// TestCallerThatSendsNoBodyIsRefusedAtItsDeadline guards against bodies that are waited for without end.
func TestCallerThatSendsNoBodyIsRefusedAtItsDeadline(t *testing.T) {
	h, _, _ := newServedHandler(t, signedHeaders{}, nil)
	c := dialHandler(t, serveCallers(t, h))
	_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 8\r\n\r\npart")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("%v, error %v; want 503", resp, err)
	}
	waitFor(t, "everything is given back", h.holdsNothing)
}

// TestResponseWithoutRoomIsPassedOn guards against the loss of a response for which there is no room.
func TestResponseWithoutRoomIsPassedOn(t *testing.T) {
	want := strings.Repeat("z", 300_000)
	for name, length := range map[string]bool{"length": true, "chunks": false} {
		t.Run(name, func(t *testing.T) {
			h, _, _ := newServedHandler(t, signedHeaders{}, func(w http.ResponseWriter, _ *http.Request) {
				if length {
					w.Header().Set("Content-Length", fmt.Sprint(len(want)))
				}
				_, _ = io.WriteString(w, want)
			})
			h.held = newHeldBytes(400_000)
			c := dialHandler(t, serveCallers(t, h))
			_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: a.example\r\n\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			text, err := io.ReadAll(resp.Body)
			if resp.StatusCode != http.StatusOK || string(text) != want || err != nil {
				t.Errorf("status %d, %d bytes, error %v; want 200 and %d bytes", resp.StatusCode, len(text), err, len(want))
			}
			if held := h.held.sums()[toCaller]; held > h.held.limit {
				t.Errorf("%d bytes are held, the bound is %d", held, h.held.limit)
			}
			waitFor(t, "everything is given back", h.holdsNothing)
		})
	}
}

// TestResponseWithoutRoomThatBreaksIsNotComplete guards against a response that looks complete and is not.
func TestResponseWithoutRoomThatBreaksIsNotComplete(t *testing.T) {
	h, _, _ := newServedHandler(t, signedHeaders{}, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("z", 300_000))
		panic(http.ErrAbortHandler)
	})
	h.held = newHeldBytes(400_000)
	c := dialHandler(t, serveCallers(t, h))
	_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: a.example\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
	}
	if err == nil {
		t.Error("the response looks complete")
	}
	waitFor(t, "everything is given back", h.holdsNothing)
}

// TestLongResponseOnStreamRouteIsNotCutOffWhileItsCallerPauses guards against a server that is given up as silent, and a
// response that is cut short, because the caller of a plain response that is passed on does not read for a time.
func TestLongResponseOnStreamRouteIsNotCutOffWhileItsCallerPauses(t *testing.T) {
	const length = 24 << 20
	h, _, _ := newServedHandlerFor(t, slowReaderHeaders{}, streamRoute(), func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(length))
		_, _ = io.WriteString(w, strings.Repeat("z", length))
	})
	h.held = newHeldBytes(400_000)
	c := dialHandler(t, serveCallers(t, h))
	_ = c.(*net.TCPConn).SetReadBuffer(64 << 10)
	_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: a.example\r\n\r\n")
	reader := bufio.NewReader(c)
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(idleCheckInterval)
	for range 4 {
		h.clock.(*fakeClock).advance(2 * stallThreshold)
		time.Sleep(2 * idleCheckInterval)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if n != length || err != nil {
		t.Errorf("%d of %d bytes, error %v", n, length, err)
	}
}

// stalledStream is a stream whose events the caller does not read until the server cuts it off.
type stalledStream struct {
	// written counts the server's bytes. It cuts the response off once cutNow is closed; blocked is true from then on.
	written atomic.Int64
	cutNow  chan struct{}
	blocked atomic.Bool
	// resumed are the last event ids of later requests.
	resumed chan string
	// cut breaks the connection.
	cut func(c net.Conn)
}

// serve sends large events until they are no longer taken, and then cuts the connection off. Later requests get one event.
func (s *stalledStream) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	if s.blocked.Load() {
		last := r.Header.Get("Last-Event-Id")
		s.resumed <- last
		n := 0
		_, _ = fmt.Sscan(last, &n)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: end\n\n", n+1)
		return
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	go func() {
		<-s.cutNow
		s.blocked.Store(true)
		s.cut(c)
	}()
	for id := 0; err == nil; id++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("e", 32<<10))
		var n int
		n, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		s.written.Add(int64(n))
	}
}

// waitBlocked waits until the server's writes and those to the caller block.
func (s *stalledStream) waitBlocked(t *testing.T, h *Handler) {
	t.Helper()
	const unchanged = 300 * time.Millisecond
	waitFor(t, "writes block", func() bool {
		before := s.written.Load()
		time.Sleep(unchanged)
		return before > 0 && before == s.written.Load() && h.streams.anyWriting()
	})
}

// anyWriting reports whether a write to a caller is in progress.
func (s *streamSet) anyWriting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for a := range s.attempts {
		if a.stall.isWriting() {
			return true
		}
	}
	return false
}

// blame is what was concluded about servers.
type blame struct{ crashes atomic.Int64 }

func watchBlame(h *Handler) *blame {
	b := &blame{}
	h.driver.onCrash = func(passthrough.CrashSuspected) { b.crashes.Add(1) }
	return b
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// streamRoute is a route of streams that may be resumed.
func streamRoute() passthrough.Route {
	r := onceRoute()
	r.Kind, r.Resumable, r.MaxAttempts, r.Timeout, r.TargetGap = passthrough.KindStream, true, 3, 30*time.Second, 100*time.Millisecond
	return r
}

// TestServerIsNotBlamedForCallerThatDoesNotRead guards against a server that is ejected, a slow start, a failure of its
// version or a request that is refused as one that crashes servers, because a server cut off or crashed with a response
// that its caller did not read. The stream goes on at another server once the caller reads.
func TestServerIsNotBlamedForCallerThatDoesNotRead(t *testing.T) {
	for name, tt := range map[string]struct {
		unreadFor time.Duration
		blamed    bool
	}{
		"the caller does not read for long": {2 * stallThreshold, false},
		"the caller reads":                  {0, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := &stalledStream{resumed: make(chan string, 1), cutNow: make(chan struct{}), cut: reset}
			h, _, _ := newServedHandlerFor(t, slowReaderHeaders{}, streamRoute(), s.serve)
			b := watchBlame(h)
			c := dialHandler(t, serveCallers(t, h))
			_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: a.example\r\n\r\n")
			s.waitBlocked(t, h)
			h.clock.(*fakeClock).advance(tt.unreadFor)
			close(s.cutNow)
			waitFor(t, "the server cuts off the response", s.blocked.Load)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			text, err := io.ReadAll(resp.Body)
			if err != nil || !strings.HasSuffix(string(text), "data: end\n\n") {
				t.Errorf("%d bytes that end with %q, error %v", len(text), text[max(0, len(text)-20):], err)
			}
			if last := <-s.resumed; !strings.Contains(string(text), "id: "+last+"\n") {
				t.Errorf("resumed after event %s, which the caller has not got", last)
			}
			if n := b.crashes.Load(); n > 0 != tt.blamed {
				t.Errorf("%d crashes, want blame: %v", n, tt.blamed)
			}
		})
	}
}

// TestStreamIsNotResumedBeforeItsCallerReads guards against work that is started again for a caller that does not read, and
// against a server that is given up as silent because its caller does not read.
func TestStreamIsNotResumedBeforeItsCallerReads(t *testing.T) {
	s := &stalledStream{resumed: make(chan string, 1), cutNow: make(chan struct{}), cut: reset}
	h, _, received := newServedHandlerFor(t, slowReaderHeaders{}, streamRoute(), s.serve)
	c := dialHandler(t, serveCallers(t, h))
	_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: a.example\r\n\r\n")
	s.waitBlocked(t, h)
	close(s.cutNow)
	waitFor(t, "the server cuts off the response", s.blocked.Load)
	for range 4 {
		h.clock.(*fakeClock).advance(2 * stallThreshold)
		time.Sleep(idleCheckInterval)
	}
	if n := received[0].Load() + received[1].Load(); n != 1 {
		t.Errorf("the servers got %d requests while the caller did not read, want 1", n)
	}
	_ = c.Close()
	waitFor(t, "everything is given back", h.holdsNothing)
}

// TestStreamReadsNoMoreThanItsCallerTakes guards against an instance that reads a stream into its memory.
func TestStreamReadsNoMoreThanItsCallerTakes(t *testing.T) {
	s := &stalledStream{resumed: make(chan string, 1), cutNow: make(chan struct{}), cut: func(net.Conn) {}}
	h, _, _ := newServedHandlerFor(t, slowReaderHeaders{}, streamRoute(), s.serve)
	c := dialHandler(t, serveCallers(t, h))
	_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: a.example\r\n\r\n")
	s.waitBlocked(t, h)
	if held := h.held.sums()[toCaller]; held > maxEventBytes {
		t.Errorf("%d bytes are held", held)
	}
}

// TestStallOfACallerEnds guards against a caller that once did not read excusing all later failures of its server.
func TestStallOfACallerEnds(t *testing.T) {
	for name, tt := range map[string]struct {
		writes, reads []time.Duration
		stalled       bool
	}{
		"no write blocks":             {[]time.Duration{time.Millisecond, time.Millisecond}, nil, false},
		"one write blocks":            {[]time.Duration{time.Second}, nil, true},
		"several writes block":        {[]time.Duration{400 * time.Millisecond, 300 * time.Millisecond, 300 * time.Millisecond}, nil, true},
		"the server was waited for":   {[]time.Duration{5 * time.Second}, []time.Duration{100 * time.Millisecond, 150 * time.Millisecond}, false},
		"a packet was lost":           {[]time.Duration{5 * time.Second}, []time.Duration{210 * time.Millisecond}, true},
		"the processor was not given": {[]time.Duration{99 * time.Millisecond, 99 * time.Millisecond, 99 * time.Millisecond}, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			clock, stall := newFakeClock(), &callerStall{}
			for _, d := range tt.writes {
				stall.beginWrite(clock.Now())
				if !stall.isWriting() {
					t.Error("a write is not in progress")
				}
				clock.advance(d)
				stall.endWrite(clock.Now())
			}
			for _, d := range tt.reads {
				stall.endRead(d)
			}
			if stall.stalled() != tt.stalled {
				t.Errorf("stalled: %v, want %v", stall.stalled(), tt.stalled)
			}
		})
	}
}
