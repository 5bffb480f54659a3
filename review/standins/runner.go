package main

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// The models of the runners, smallest first.
var models = []string{"m-small", "m-middle", "m-large"}

// modelRun is one run of a request at a runner.
type modelRun struct {
	attempt string
	runner  string
	model   string
	began   time.Time
	ended   time.Time
	// events is how many events were made, dropped is true if the caller closed the connection before the end.
	events  int
	dropped bool
}

// streamRunner is a runner of models. It makes count events of a stream, one each interval. It is not sure of the answers of
// the smaller models. The largest model's streams pause once, after pauseAfter events, as a preempted run does.
type streamRunner struct {
	id         string
	count      int
	interval   time.Duration
	pauseAfter int
	pause      time.Duration
	note       func(string, ...any)

	active atomic.Int64
	mu     sync.Mutex
	runs   []modelRun
}

// ServeHTTP implements http.Handler.
func (s *streamRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	attempt, model := r.Header.Get("Attempt-Id"), r.Header.Get("Model-Id")
	h.Set("Attempt-Id", attempt)
	h.Set("Instance-Id", s.id)
	size := slices.Index(models, model)
	if r.Header.Get("Expected-Instance") != s.id || size < 0 {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	running := s.active.Add(1)
	defer s.active.Add(-1)
	this := modelRun{attempt: attempt, runner: s.id, model: model, began: time.Now()}
	s.note("%s: run of %s begins with %s, Last-Event-Id %q", s.id, attempt, model, r.Header.Get("Last-Event-Id"))
	defer func() {
		this.ended = time.Now()
		s.mu.Lock()
		s.runs = append(s.runs, this)
		s.mu.Unlock()
		s.note("%s: run of %s with %s ends after event %d, connection closed by the system: %v", s.id, attempt, model, this.events, this.dropped)
	}()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Response-Signature", "3e1b."+s.id)
	h.Set("Instance-Load", fmt.Sprintf("%d,0,64", running))
	h.Set("Weight-Versions", "1")
	h.Set("Confidence", [...]string{"50", "50", "90"}[size])
	out := http.NewResponseController(w)
	for n := firstEvent(r); n <= s.count; n++ {
		if size == len(models)-1 && n == s.pauseAfter+1 && !s.wait(r, s.pause) || !s.wait(r, s.interval) {
			this.dropped = true
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, attempt)
		_ = out.Flush()
		this.events = n
	}
}

// firstEvent is the number of the first event that the request asks for.
func firstEvent(r *http.Request) int {
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		return 1
	}
	return last + 1
}

// wait waits, and reports false if the connection was closed meanwhile.
func (s *streamRunner) wait(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// runsOf returns the runs of a request, in the order of their ends.
func (s *streamRunner) runsOf(attempt string) []modelRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []modelRun
	for _, x := range s.runs {
		if x.attempt == attempt {
			out = append(out, x)
		}
	}
	return out
}
