package tunnel

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"masticplank.example/decision/reach"

	"masticplank.example/router/internal/connlimit"
)

// serveWithoutEnd accepts connections, sends the beginning of a response on each and then bytes without end. closed gets a
// value for each connection that has ended.
func serveWithoutEnd(t *testing.T, begin string) (address string, closed chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	closed = make(chan struct{}, 1000)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, err := io.WriteString(c, begin)
				for err == nil {
					_, err = io.WriteString(c, strings.Repeat("x", 4096))
				}
				closed <- struct{}{}
			}()
		}
	}()
	return l.Addr().String(), closed
}

// TestPeerSendsBytesWithoutEnd guards against a peer whose answer to a question for a path or a tunnel never ends: nothing
// was sent to the server, and the connection is closed.
func TestPeerSendsBytesWithoutEnd(t *testing.T) {
	for name, begin := range map[string]string{
		"head": "HTTP/1.1 200 OK\r\nX: ", "body": "HTTP/1.1 200 OK\r\n\r\n[", "refusal": "HTTP/1.1 503 Service Unavailable\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address, closed := serveWithoutEnd(t, begin)
			peers := NewPeers(time.Now, reach.Peer{Name: "self", Domain: "a"}, nil)
			peers.Add(reach.Peer{Name: "peer", Address: address, Domain: "a"})
			d := NewDialer(peers)
			began := time.Now()
			if _, err := d.DialWithPermit(t.Context(), Target{ID: "s", Address: "127.0.0.1:1", NeedsPermit: true}, []string{"peer"}); !errors.Is(err, ErrNoPermit) {
				t.Errorf("got %v, want %v", err, ErrNoPermit)
			}
			if _, err := d.Dial(t.Context(), Target{ID: "s", Address: "127.0.0.1:1"}); err == nil {
				t.Error("a tunnel was opened, want none")
			}
			if took := time.Since(began); took > 3*time.Second {
				t.Errorf("two tunnels took %v", took)
			}
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				t.Error("no connection to the peer has ended after 5 s")
			}
		})
	}
}

// TestPeerAsksWithoutEnd guards against a peer whose request for a tunnel has a head without end.
func TestPeerAsksWithoutEnd(t *testing.T) {
	l, err := Listen("127.0.0.1:0", connlimit.Bounds{})
	if err != nil {
		t.Fatal(err)
	}
	srv := (&Server{Limit: 1}).HTTPServer()
	defer func() { _ = srv.Close() }()
	go func() { _ = srv.Serve(l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
	_, err = io.WriteString(c, "POST /tunnel HTTP/1.1\r\nX: ")
	for err == nil {
		_, err = io.WriteString(c, strings.Repeat("x", 4096))
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		t.Error("the connection is still open after 5 s")
	}
}
