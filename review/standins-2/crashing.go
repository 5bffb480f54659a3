package main

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// A server that has crashed is back after downTime. crashDelay is the time from what crashes it to the crash.
	downTime   = 3 * time.Second
	crashDelay = 30 * time.Millisecond
)

// crashingServer is a backend server that a request crashes: it breaks all connections, listens no more, and starts again
// later as a new process on its address.
type crashingServer struct {
	bed     *bed
	entry   *server
	handler http.Handler
	mu      sync.Mutex
	server  *http.Server
}

func (b *bed) startCrashingServer(id, service string, handler func(*crashingServer) http.Handler) error {
	s := &crashingServer{bed: b}
	s.handler = handler(s)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.serve(l)
	s.entry = b.list(id, service, "v1", l.Addr().String())
	b.onClose(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = s.server.Close()
	})
	return nil
}

func (s *crashingServer) serve(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.server = &http.Server{Handler: s.handler, ConnState: resetOnCrash}
	server := s.server
	go func() { _ = server.Serve(l) }()
}

// resetOnCrash lets connections end with a reset when they are closed in the middle of an answer.
func resetOnCrash(c net.Conn, state http.ConnState) {
	if t, ok := c.(*net.TCPConn); ok && (state == http.StateNew || state == http.StateActive) {
		_ = t.SetLinger(0) // the connection may be closed already
	}
}

// crash ends the server's process, and starts it again after downTime.
func (s *crashingServer) crash() {
	s.mu.Lock()
	server := s.server
	s.mu.Unlock()
	s.entry.setSilent(true)
	_ = server.Close()
	s.bed.rec.printf("server %s has crashed", s.entry.id)
	time.AfterFunc(downTime, func() {
		for range 50 {
			l, err := net.Listen("tcp", s.entry.address)
			if err == nil {
				s.serve(l)
				s.entry.restart()
				s.bed.rec.printf("server %s is back", s.entry.id)
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
}
