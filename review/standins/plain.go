package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// plainRunner is a runner of a plain service. It works on slots requests at once, queues a few more and rejects the others.
type plainRunner struct {
	id    string
	slots int
	queue int
	work  time.Duration
	note  func(string, ...any)

	mu sync.Mutex
	// present is how many requests are at the runner.
	present       int
	ran, rejected int
	free          chan struct{}
}

func (c *setting) newPlainRunner(id string, slots, queue int, work time.Duration) *plainRunner {
	return &plainRunner{id: id, slots: slots, queue: queue, work: work, note: c.note, free: make(chan struct{}, slots)}
}

// enter counts a request, and reports whether there is room for it and the load to state.
func (p *plainRunner) enter(h http.Header) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h.Set("Instance-Load", fmt.Sprintf("%d,%d,%d", min(p.present, p.slots), max(p.present-p.slots, 0), p.slots))
	if p.present >= p.slots+p.queue {
		p.rejected++
		return false
	}
	p.present++
	p.ran++
	return true
}

func (p *plainRunner) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.present--
}

// ServeHTTP implements http.Handler.
func (p *plainRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	h := w.Header()
	h.Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	h.Set("Instance-Id", p.id)
	if r.Header.Get("Expected-Instance") != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !p.enter(h) {
		p.note("%s rejects %s", p.id, r.Header.Get("Attempt-Id"))
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer p.leave()
	p.note("%s runs %s", p.id, r.Header.Get("Attempt-Id"))
	p.free <- struct{}{}
	time.Sleep(p.work)
	<-p.free
	h.Set("Response-Signature", "3e1b."+p.id)
	_, _ = io.WriteString(w, "answer of "+p.id+" to "+r.Header.Get("Attempt-Id"))
}
