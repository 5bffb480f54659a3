package connlimit

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// waitLimit ends a read of a response that does not come.
const waitLimit = 10 * time.Second

var testLimits = Limits{HeadBytes: 4 << 10, HeadTimeout: time.Minute, IdleTimeout: time.Minute}

// serve serves h on a listener and returns it.
func serve(t *testing.T, b Bounds, limits Limits, h http.HandlerFunc) *Listener {
	t.Helper()
	l, err := Listen("127.0.0.1:0", b, func() Limits { return limits })
	if err != nil {
		t.Fatal(err)
	}
	srv := HTTPServer(h, nil)
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	return l
}

// readAll responds once it has read the body.
func readAll(w http.ResponseWriter, r *http.Request) {
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = fmt.Fprint(w, n)
}

type testClient struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func dial(t *testing.T, l net.Listener) *testClient {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(waitLimit))
	return &testClient{c, t, bufio.NewReader(c)}
}

func (c *testClient) write(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.Conn, text); err != nil {
		c.t.Fatal(err)
	}
}

func (c *testClient) expect(status int) *http.Response {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		c.t.Fatal(err)
	}
	if resp.StatusCode != status {
		c.t.Errorf("status %d, want %d", resp.StatusCode, status)
	}
	return resp
}

func headOf(size int) string {
	const start, end = "GET / HTTP/1.1\r\nHost: a\r\nX: ", "\r\n\r\n"
	return start + strings.Repeat("x", size-len(start)-len(end)) + end
}

func TestHeadOfTheLimitIsServedOnAnyConnection(t *testing.T) {
	c := dial(t, serve(t, Bounds{}, testLimits, readAll))
	for range 3 {
		c.write(headOf(testLimits.HeadBytes))
		c.expect(http.StatusOK)
	}
	c.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10000\r\n\r\n" + strings.Repeat("b", 10_000) + headOf(testLimits.HeadBytes))
	c.expect(http.StatusOK)
	c.expect(http.StatusOK)
	c.write("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbbbbb\r\n0\r\n\r\n" + headOf(testLimits.HeadBytes))
	c.expect(http.StatusOK)
	c.expect(http.StatusOK)
}

func TestHeadOverTheLimitGetsItsRefusal(t *testing.T) {
	l := serve(t, Bounds{}, testLimits, readAll)
	for _, before := range []int{0, 2} {
		c := dial(t, l)
		for range before {
			c.write(headOf(100))
			c.expect(http.StatusOK)
		}
		c.write(headOf(testLimits.HeadBytes + 1))
		if resp := c.expect(http.StatusRequestHeaderFieldsTooLarge); !resp.Close {
			t.Error("the refusal does not announce the end of the connection")
		}
	}
}

// A client that still sends when it is refused finds the refusal.
func TestRefusalReachesClientThatStillSends(t *testing.T) {
	c := dial(t, serve(t, Bounds{}, testLimits, readAll))
	c.write(headOf(32 * testLimits.HeadBytes))
	c.expect(http.StatusRequestHeaderFieldsTooLarge)
}

func TestSlowHeadIsAnsweredWithTimeout(t *testing.T) {
	limits := testLimits
	limits.HeadTimeout = 10 * time.Millisecond
	c := dial(t, serve(t, Bounds{}, limits, readAll))
	c.write("GET / HTTP/1.1\r\n")
	c.expect(http.StatusRequestTimeout)
}

func TestIdleConnectionEnds(t *testing.T) {
	limits := testLimits
	limits.IdleTimeout = 10 * time.Millisecond
	l := serve(t, Bounds{}, limits, readAll)
	for _, first := range []string{"", headOf(100)} {
		c := dial(t, l)
		if first != "" {
			c.write(first)
			c.expect(http.StatusOK)
		}
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("got %v, want the end of the connection", err)
		}
	}
}

// The deadline of a head is none for its body and its response.
func TestHeadDeadlineEndsWithTheHead(t *testing.T) {
	limits := testLimits
	limits.HeadTimeout, limits.IdleTimeout = 10*time.Millisecond, 20*time.Millisecond
	c := dial(t, serve(t, Bounds{}, limits, func(w http.ResponseWriter, r *http.Request) {
		readAll(w, r)
		select {
		case <-r.Context().Done():
			t.Error("the request was cancelled")
		case <-time.After(headSlack + 100*time.Millisecond):
		}
	}))
	c.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nb")
	time.Sleep(headSlack + 100*time.Millisecond)
	c.write("b")
	c.expect(http.StatusOK)
}

// What a request was charged is given back when it ends.
func TestRequestsGiveBackTheirMemory(t *testing.T) {
	l := serve(t, Bounds{Conns: 4, Bytes: 1 << 20}, testLimits, readAll)
	c := dial(t, l)
	for range 200 {
		c.write(headOf(testLimits.HeadBytes))
		c.expect(http.StatusOK)
	}
	c.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
	c.expect(http.StatusContinue)
	c.write("bb")
	c.expect(http.StatusOK)
	_ = c.Close()
	for end := time.Now().Add(waitLimit); l.Usage() != (Usage{}) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if u := l.Usage(); u != (Usage{}) {
		t.Errorf("%+v are used by no connection", u)
	}
}

func TestHeadsWithoutRoomAreRefusedAsNotRun(t *testing.T) {
	l := serve(t, Bounds{Bytes: connBytes + 8<<10}, testLimits, readAll)
	c := dial(t, l)
	c.write("GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("x:\r\n", 100) + "\r\n")
	if resp := c.expect(http.StatusServiceUnavailable); resp.Header.Get("Retry-After") == "" {
		t.Error("the refusal does not say when to come back")
	}
}

// A crowd of silent clients does not keep out one that sends its request.
func TestSilentClientsLeaveRoom(t *testing.T) {
	l := serve(t, Bounds{Conns: 8}, testLimits, readAll)
	for range 8 {
		dial(t, l)
	}
	time.Sleep(patience)
	for range 20 {
		c := dial(t, l)
		c.write(headOf(100))
		c.expect(http.StatusOK)
		_ = c.Close()
	}
}

// A connection that gives way right after its response does not take the response with it.
func TestResponseOutlivesItsConnection(t *testing.T) {
	const size = 256 << 10
	l := serve(t, Bounds{Conns: 1}, testLimits, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, strings.Repeat("r", size)) })
	for range 20 {
		c := dial(t, l)
		c.write(headOf(100))
		for end := time.Now().Add(waitLimit); l.pool.phaseCount(phaseIdle) == 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		next := dial(t, l)
		for end := time.Now().Add(waitLimit); l.pool.phaseCount(phaseIdle) > 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		c.expect(http.StatusOK)
		_ = next.Close()
		time.Sleep(leastAge)
	}
}

// phaseCount returns how many members are in a phase.
func (p *pool) phaseCount(in phase) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byPhase[in].Len()
}

// A listener that cannot accept for a time goes on afterwards.
func TestAcceptGoesOnAfterErrors(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewListener(&failingListener{Listener: inner, failures: 3}, Bounds{}, nil)
	done := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		done <- err
	}()
	dial(t, inner)
	if err := <-done; err != nil {
		t.Errorf("got %v, want a connection", err)
	}
	_ = l.Close()
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("got %v, want %v", err, net.ErrClosed)
	}
}

// failingListener fails some times before it accepts.
type failingListener struct {
	net.Listener
	failures int
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: errors.New("too many open files")}
	}
	return l.Listener.Accept()
}

// receiveBuffer returns the size of the receive buffer of the connection of a request.
func receiveBuffer(t *testing.T, r *http.Request) int {
	t.Helper()
	raw, err := FromContext(r.Context()).TCP().SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	size := 0
	_ = raw.Control(func(fd uintptr) { size, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF) })
	if err != nil {
		t.Fatal(err)
	}
	return size
}

// A connection with a long body gets a larger receive buffer if there is room, and only then.
func TestLongBodyHasLargerReceiveBuffer(t *testing.T) {
	const unread, size = 8 << 10, 256 << 10
	for _, room := range []bool{true, false} {
		bounds := Bounds{Bytes: 2 * connBytes, Unread: unread}
		if room {
			bounds.Bytes += bodyBuffer
		}
		sizes := make(chan [2]int, 1)
		l := serve(t, bounds, testLimits, func(_ http.ResponseWriter, r *http.Request) {
			before := receiveBuffer(t, r)
			_, _ = io.Copy(io.Discard, r.Body)
			sizes <- [2]int{before, receiveBuffer(t, r)}
		})
		c := dial(t, l)
		want := map[bool]int{true: bodyBuffer, false: unread}[room]
		for _, before := range []int{unread, want} {
			c.write(fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", size) + strings.Repeat("b", size))
			c.expect(http.StatusOK)
			if got := <-sizes; got != [2]int{before, want} {
				t.Errorf("room %t: receive buffers of %v bytes before and after a body, want %d and %d", room, got, before, want)
			}
		}
	}
}

// A client that begins with the preface of HTTP/2 is answered in HTTP/1.
func TestOnlyHTTP1IsServed(t *testing.T) {
	c := dial(t, serve(t, Bounds{}, testLimits, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) }))
	c.write("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00")
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil || resp.ProtoMajor != 1 || resp.StatusCode < http.StatusBadRequest {
		t.Errorf("got %+v, %v, want a refusal in HTTP/1", resp, err)
	}
}
