package faultdial

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// startEcho returns the address of a server that sends back what it receives.
func startEcho(t *testing.T) string {
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
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

// TestLinkFaults checks what each mode does to open and to new connections.
func TestLinkFaults(t *testing.T) {
	const patience = 60 * time.Millisecond
	address := startEcho(t)
	cases := []struct {
		mode           Mode
		openErr, added error
	}{
		{None, nil, nil},
		{Hang, os.ErrDeadlineExceeded, os.ErrDeadlineExceeded},
		{Reset, net.ErrClosed, syscall.ECONNREFUSED},
		{RefuseNew, nil, syscall.ECONNREFUSED},
	}
	for _, c := range cases {
		t.Run(string(c.mode), func(t *testing.T) {
			link := NewLink()
			var d net.Dialer
			dial := link.Dial(d.DialContext)
			open, err := dial(t.Context(), "tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = open.Close() }()
			link.Set(c.mode)
			done := make(chan error, 1)
			go func() {
				_, err := open.Write([]byte("x"))
				if err == nil {
					_, err = open.Read(make([]byte, 1))
				}
				done <- err
			}()
			got := os.ErrDeadlineExceeded
			select {
			case got = <-done:
			case <-time.After(patience):
			}
			if !errors.Is(got, c.openErr) {
				t.Errorf("open connection: %v, want %v", got, c.openErr)
			}
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			defer cancel()
			if _, err := dial(ctx, "tcp", address); !errors.Is(err, c.added) {
				t.Errorf("new connection: %v, want %v", err, c.added)
			}
			link.Set(None)
			if c.mode == Hang {
				if err := <-done; err != nil {
					t.Errorf("open connection after the fault: %v, want it to go on", err)
				}
			}
		})
	}
}
