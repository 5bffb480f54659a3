package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// A request crashes each backend server that begins to run it; the server is back after downTime. The request comes
	// again every againEvery, for comesFor in all.
	downTime   = 3 * time.Second
	againEvery = 2 * time.Second
	comesFor   = 60 * time.Second
	// crashDelay is the time from the arrival of such a request to the crash.
	crashDelay = 30 * time.Millisecond
	// lateRetries is how many retries may reach servers once the request has crashed the third one.
	lateRetries  = 3
	crashesToSee = 3
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

// crashingRequest sends a request that crashes each server that runs it, again and again, beside sound requests.
func crashingRequest(b *bed) (bool, error) {
	all := &runs{}
	var mu sync.Mutex
	var crashes []time.Time
	for n := range 6 {
		id := fmt.Sprintf("i-%d", n+1)
		sound := b.plainServer(id, 60*time.Millisecond, all)
		err := b.startCrashingServer(id, "ububiko", func(s *crashingServer) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if !b.trouble || r.URL.Path != "/reserve/crash" || r.Header.Get("Expected-Instance") != id {
					sound.ServeHTTP(w, r)
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				mu.Lock()
				crashes = append(crashes, time.Now())
				number := len(crashes)
				mu.Unlock()
				b.rec.printf("server %s begins to run the request that crashes it, %s: crash %d", id, r.Header.Get("Attempt-Id"), number)
				time.Sleep(crashDelay)
				s.crash()
			})
		})
		if err != nil {
			return false, err
		}
	}
	if err := b.store.PutJSON("keyed.op", "config", config(7, keptKey)); err != nil {
		return false, err
	}
	i, err := b.startInstance()
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	lost := b.sendSound(i)
	for n, end := 0, time.Now().Add(comesFor); time.Now().Before(end); n++ {
		r := request{id: fmt.Sprintf("c%015x", n), method: "POST", path: "/reserve/crash", key: keptKey, body: `{"title":"x"}`, deadline: 1500 * time.Millisecond}
		b.rec.printf("client sends %s, which crashes servers", r.id)
		out := i.send(context.Background(), r)
		b.rec.printf("client gets %d %q for %s, error %v", out.status, out.body, r.id, out.err)
		time.Sleep(time.Until(out.sent.Add(againEvery)))
	}
	b.rec.printf("%d sound requests that may run once were lost", lost())
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for n, at := range crashes {
		if n >= crashesToSee && at.Sub(crashes[crashesToSee-1]) > stableBound {
			late++
			b.rec.printf("late: crash %d came %.1f s after the third", n+1, at.Sub(crashes[crashesToSee-1]).Seconds())
		}
	}
	b.rec.printf("%d crashes, %d of them by retries later than %v after the third", len(crashes), late, stableBound)
	return late <= lateRetries, nil
}

// sendSound sends sound requests that may run once, 60 a second. The function that it returns ends that, and returns how
// many were not answered with success or as not run.
func (b *bed) sendSound(i *instance) func() int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	stop := make(chan struct{})
	wg.Add(1)
	go func() {
		defer wg.Done()
		tick := time.NewTicker(time.Second / 60)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				r := request{id: fmt.Sprintf("%016x", n), method: "POST", path: "/settle/2f", key: keptKey, body: fmt.Sprint(n), deadline: 1500 * time.Millisecond}
				out := i.send(context.Background(), r)
				if out.status != http.StatusOK && out.status != http.StatusServiceUnavailable {
					b.rec.printf("client gets %d %q for the sound request %s, error %v", out.status, out.body, r.id, out.err)
					mu.Lock()
					lost++
					mu.Unlock()
				}
			}()
		}
	}()
	return func() int {
		close(stop)
		wg.Wait()
		return lost
	}
}
