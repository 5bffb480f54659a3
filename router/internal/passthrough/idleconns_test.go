package passthrough

import (
	"net"
	"testing"
	"time"

	"masticplank.example/decision/passthrough"
)

// openPair returns both ends of a connection on the loopback interface.
func openPair(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			close(accepted)
			return
		}
		accepted <- c
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s, ok := <-accepted
	if !ok {
		t.Fatal("the connection was not accepted")
	}
	return c.(*net.TCPConn), s.(*net.TCPConn)
}

// TestIdleConnectionShowsACrash guards against a server that goes down unnoticed, and against one that is taken for down
// because it has closed an idle connection in order.
func TestIdleConnectionShowsACrash(t *testing.T) {
	for name, end := range map[string]struct {
		close func(*net.TCPConn)
		reset bool
	}{
		"reset":     {func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }, true},
		"closed":    {func(c *net.TCPConn) { _ = c.Close() }, false},
		"sent more": {func(c *net.TCPConn) { _, _ = c.Write([]byte("x")) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			resets := make(chan passthrough.Server, 1)
			idle := &idleConns{limit: maxIdleConns, onReset: func(s passthrough.Server) { resets <- s }}
			client, server := openPair(t)
			defer func() { _ = server.Close() }()
			to := passthrough.Server{ID: "shop-0", StartTime: 1}
			if !idle.keep(to, client) {
				t.Fatal("the first connection to a server was not kept")
			}
			second, other := openPair(t)
			defer func() { _, _ = second.Close(), other.Close() }()
			if idle.keep(to, second) {
				t.Error("a second connection to the server was kept")
			}
			end.close(server)
			select {
			case s := <-resets:
				if !end.reset || s.ID != to.ID {
					t.Errorf("the server %q was reported as reset", s.ID)
				}
			case <-time.After(200 * time.Millisecond):
				if end.reset {
					t.Error("the reset was not reported")
				}
			}
		})
	}
}
