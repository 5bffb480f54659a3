// Package service is the stand-in for a plain service, such as a shop's stock
// or a lending record. Every path is served.
//
//	GET  any path                 idempotent: echoes what was asked for
//	POST /reservations            runs once per call; not idempotent
//	any other method and path     likewise counted as a run
//	GET  /load                    wire.LoadReport
//	GET  /stats                   Stats, for tests
//	GET  /faults, PUT /faults     see Faults
package service

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"masticplank.example/router/internal/standin/faults"
	"masticplank.example/router/internal/wire"
)

const (
	// maxBody bounds a body.
	maxBodyBytes = 16 << 20
	// DefaultSlots is what the load report names where Config has none.
	DefaultSlots = 64
)

// Config of a service.
type Config struct {
	// Name stands in its answers.
	Name string
	// Slots is what the load report names; calls beyond it are refused.
	Slots int
	// Work is how long each call takes.
	Work time.Duration
	// Now is the service's clock; nil is time.Now.
	Now func() time.Time
}

// Faults of a service.
type Faults struct {
	faults.Common
	// Leaving refuses new calls with 503, and says so in the load report.
	Leaving bool `json:"leaving,omitempty"`
	// Busy refuses calls with 429, as not run.
	Busy faults.Count `json:"busy,omitempty"`
	// LostReply cuts the connection after the call took effect.
	LostReply faults.Count `json:"lost_reply,omitempty"`
	// FailAfter answers 500 after the call took effect.
	FailAfter faults.Count `json:"fail_after,omitempty"`
	// WrongNonce echoes another attempt's nonce.
	WrongNonce faults.Count `json:"wrong_nonce,omitempty"`
	// Truncate cuts the answer halfway, after the call took effect.
	Truncate faults.Count `json:"truncate,omitempty"`
}

// Stats count calls, for tests.
type Stats struct {
	// Runs counts, for each Idempotency-Key, how often a non-idempotent call
	// took effect. Calls without a key stand under the empty one.
	Runs map[string]int `json:"runs"`
	// Reads counts idempotent calls.
	Reads int `json:"reads"`
	// Refused calls were told that they were not run.
	Refused int `json:"refused"`
}

// Answer is the body of an answer.
type Response struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// Query is the raw query.
	Query string `json:"query,omitempty"`
	// Key is the call's Idempotency-Key.
	Key string `json:"key,omitempty"`
	// Run numbers the runs under Key from 1: above 1 it ran twice.
	Run int `json:"run,omitempty"`
	// Body is what was sent, so that a caller can tell its own answer.
	Body string `json:"body,omitempty"`
}

// Server is the service. It is safe for concurrent use.
type Server struct {
	Faults  faults.Injector[Faults]
	cfg     Config
	handler http.Handler

	mu      sync.Mutex
	running int
	stats   Stats
}

// New returns a service that nobody has called yet.
func New(cfg Config) *Server {
	if cfg.Slots == 0 {
		cfg.Slots = DefaultSlots
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	s := &Server{cfg: cfg, stats: Stats{Runs: map[string]int{}}}
	r := mux.NewRouter()
	r.Handle(faults.Path, &s.Faults)
	r.HandleFunc("/load", s.serveLoad).Methods(http.MethodGet)
	r.HandleFunc("/stats", s.serveStats).Methods(http.MethodGet)
	r.PathPrefix("/").HandlerFunc(s.serveCall)
	s.handler = faults.Middleware(func() faults.Common { return s.Faults.Get().Common }, r)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.stats
	out.Runs = make(map[string]int, len(s.stats.Runs))
	for key, n := range s.stats.Runs {
		out.Runs[key] = n
	}
	return out
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		s.refuse(w, r, http.StatusRequestEntityTooLarge, "body_too_large", err.Error())
		return
	}
	if s.Faults.Get().Leaving {
		w.Header().Set(wire.HeaderLeaving, "true")
		s.refuse(w, r, http.StatusServiceUnavailable, "leaving", "this service is leaving")
		return
	}
	busy := s.Faults.Take(func(f *Faults) *faults.Count { return &f.Busy })
	if busy || !s.acquireSlot() {
		s.refuse(w, r, http.StatusTooManyRequests, "busy", "too many calls")
		return
	}
	defer s.releaseSlot()
	if !faults.Sleep(r, s.cfg.Work) {
		return
	}
	answer := s.recordCall(r, body)
	s.reply(w, r, answer)
}

// effect counts the call, which is what a reservation changes.
func (s *Server) recordCall(r *http.Request, body []byte) Response {
	answer := Response{
		Service: s.cfg.Name,
		Method:  r.Method,
		Path:    r.URL.Path,
		Query:   r.URL.RawQuery,
		Key:     r.Header.Get(wire.HeaderIdempotencyKey),
		Body:    string(body),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if idempotent(r.Method) {
		s.stats.Reads++
		return answer
	}
	s.stats.Runs[answer.Key]++
	answer.Run = s.stats.Runs[answer.Key]
	return answer
}

// reply sends the answer, under the faults that strike after the effect.
func (s *Server) reply(w http.ResponseWriter, r *http.Request, answer Response) {
	if s.Faults.Take(func(f *Faults) *faults.Count { return &f.LostReply }) {
		faults.AbortConnection()
	}
	nonce := r.Header.Get(wire.HeaderAttempt)
	if s.Faults.Take(func(f *Faults) *faults.Count { return &f.WrongNonce }) {
		nonce = "00000000-0000-7000-8000-000000000000"
	}
	w.Header().Set(wire.HeaderAttempt, nonce)
	if s.Faults.Take(func(f *Faults) *faults.Count { return &f.FailAfter }) {
		faults.WriteError(w, http.StatusInternalServerError, "internal", "failed after the effect")
		return
	}
	if s.Faults.Take(func(f *Faults) *faults.Count { return &f.Truncate }) {
		w.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(w, `{"service":`)
		_ = http.NewResponseController(w).Flush()
		faults.AbortConnection()
	}
	status := http.StatusOK
	if answer.Run > 0 {
		status = http.StatusCreated
	}
	faults.WriteJSON(w, status, answer)
}

// refuse answers a call that was not run, under its own nonce.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, status int, code, message string) {
	s.mu.Lock()
	s.stats.Refused++
	s.mu.Unlock()
	w.Header().Set(wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt))
	w.Header().Set(wire.HeaderNotRun, "true")
	faults.WriteError(w, status, code, message)
}

func (s *Server) acquireSlot() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.cfg.Slots {
		return false
	}
	s.running++
	return true
}

func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	running := s.running
	s.mu.Unlock()
	faults.WriteJSON(w, http.StatusOK, wire.LoadReport{
		Running: running,
		Slots:   s.cfg.Slots,
		Leaving: s.Faults.Get().Leaving,
		At:      s.cfg.Now(),
	})
}

func (s *Server) serveStats(w http.ResponseWriter, _ *http.Request) {
	faults.WriteJSON(w, http.StatusOK, s.Stats())
}

func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	default:
		return false
	}
}
