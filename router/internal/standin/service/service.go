// Package service is a stand-in for a plain service, such as a shop's stock or a
// lending record. It serves every path.
//
//	GET, HEAD, OPTIONS any path   idempotent: echoes the request
//	POST /reservations            not idempotent: each call counts as one run
//	any other method and path     likewise
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
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 16 << 20
	// DefaultSlots is used if Config.Slots is 0.
	DefaultSlots = 64
)

// Config of a service.
type Config struct {
	// Name is stated in the responses.
	Name string
	// Slots is the maximum number of running calls, as stated in the load
	// report; calls beyond it are refused. 0 means DefaultSlots.
	Slots int
	// Work is how long each call runs.
	Work time.Duration
	// Now is the service's clock; nil means time.Now.
	Now func() time.Time
}

// Faults of a service.
type Faults struct {
	faults.Common
	// Leaving refuses new calls with 503, and is stated in the load report.
	Leaving bool `json:"leaving,omitempty"`
	// Busy refuses calls with 429, as not run.
	Busy faults.Count `json:"busy,omitempty"`
	// LostReply aborts the connection after the call took effect.
	LostReply faults.Count `json:"lost_reply,omitempty"`
	// FailAfter answers 500 after the call took effect.
	FailAfter faults.Count `json:"fail_after,omitempty"`
	// WrongNonce echoes another attempt's nonce.
	WrongNonce faults.Count `json:"wrong_nonce,omitempty"`
	// Truncate aborts the connection in the middle of the response, after the
	// call took effect.
	Truncate faults.Count `json:"truncate,omitempty"`
}

// Stats counts calls, for tests.
type Stats struct {
	// Runs counts, for each Idempotency-Key, how often a non-idempotent call
	// took effect. Calls without a key are counted under "".
	Runs map[string]int `json:"runs"`
	// Reads counts idempotent calls.
	Reads int `json:"reads"`
	// Refused counts the calls refused with wire.HeaderNotRun.
	Refused int `json:"refused"`
}

// Response is the body of a response.
type Response struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// Query is the raw query string.
	Query string `json:"query,omitempty"`
	// Key is the call's Idempotency-Key.
	Key string `json:"key,omitempty"`
	// Run is the number of this run under Key, from 1; above 1 the call ran more
	// than once.
	Run int `json:"run,omitempty"`
	// Body is the request's body, by which a caller recognises its own response.
	Body string `json:"body,omitempty"`
}

// Server is the service's HTTP handler. It is safe for concurrent use.
type Server struct {
	Faults  faults.Injector[Faults]
	cfg     Config
	handler http.Handler

	mu      sync.Mutex
	running int
	stats   Stats
}

// New returns a service with all counts at 0.
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

// Stats returns a copy of the counts.
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

// recordCall counts the call, which is the whole effect of a reservation.
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

// reply sends the response, subject to the faults that are injected
// after the call took effect.
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

// refuse answers a call that was not run. It echoes the call's own nonce.
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
