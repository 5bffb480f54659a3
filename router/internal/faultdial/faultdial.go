// Package faultdial injects faults into the connections that an instance opens to backend servers, as if
// the instance had been cut off from all of them. Only tests, and builds with the tag faultinject, link it.
package faultdial

import (
	"context"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Mode is what happens to connections.
type Mode string

// The modes.
const (
	// None is no fault.
	None Mode = ""
	// Hang lets new connections hang, and open ones carry nothing until the fault ends.
	Hang Mode = "hang"
	// Reset resets open connections and refuses new ones.
	Reset Mode = "reset"
	// RefuseNew refuses new connections; open ones live on.
	RefuseNew Mode = "refuse_new"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Link is the link from an instance to all backend servers. It is safe for concurrent use.
type Link struct {
	mu    sync.Mutex
	mode  Mode
	conns map[*conn]bool
	// healed is closed when the current fault ends.
	healed chan struct{}
}

// NewLink returns a link without a fault.
func NewLink() *Link { return &Link{conns: map[*conn]bool{}, healed: closedChannel()} }

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// Set replaces the link's fault.
func (l *Link) Set(mode Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if mode == l.mode {
		return
	}
	if l.mode == Hang {
		close(l.healed)
	}
	l.mode = mode
	switch mode {
	case Hang:
		l.healed = make(chan struct{})
	case Reset:
		for c := range l.conns {
			if tcp, ok := c.Conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // the connection is closed in any case
			}
			_ = c.Conn.Close()
		}
	}
}

// state returns the fault, and a channel that is closed while open connections carry data.
func (l *Link) state() (Mode, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode, l.healed
}

// Dial returns a function that dials through the link.
func (l *Link) Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		switch mode, healed := l.state(); mode {
		case Hang:
			select {
			case <-healed:
			case <-ctx.Done():
				return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
			}
		case Reset, RefuseNew:
			return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
		}
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, link: l, closed: make(chan struct{})}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.conns[c] = true
		return c, nil
	}
}

// conn is a connection through a link.
type conn struct {
	net.Conn
	link      *Link
	closeOnce sync.Once
	closed    chan struct{}
}

// Read implements net.Conn. Data that arrive while the link hangs are held back until it goes on.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if waitErr := c.wait(); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// Write implements net.Conn. It waits while the link hangs.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.wait(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// wait waits until the link carries data, and fails if the connection is closed before that.
func (c *conn) wait() error {
	_, healed := c.link.state()
	select {
	case <-healed:
		return nil
	default:
	}
	select {
	case <-healed:
		return nil
	case <-c.closed:
		return net.ErrClosed
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.link.mu.Lock()
		delete(c.link.conns, c)
		c.link.mu.Unlock()
	})
	return c.Conn.Close()
}

// FileVariable is the environment variable with the path of the file that Follow follows.
const FileVariable = "MASTICPLANK_FAULT_FILE"

// AppliedSuffix is appended to the path for the name of the file that says which mode is in force.
const AppliedSuffix = ".applied"

// pollInterval is the time between two reads of the file that Follow follows.
const pollInterval = 20 * time.Millisecond

// Follow sets the link's fault to the mode in the file, whenever that changes. It does not return.
func (l *Link) Follow(path string) {
	applied := None
	for {
		text, err := os.ReadFile(path)
		if mode := Mode(strings.TrimSpace(string(text))); err == nil && mode != applied {
			l.Set(mode)
			applied = mode
			_ = os.WriteFile(path+AppliedSuffix, []byte(mode), 0o600) // whoever waits for it sees a timeout
		}
		time.Sleep(pollInterval)
	}
}
