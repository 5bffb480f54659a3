// Package engine is a stand-in for a model engine: OpenAI-compatible chat
// completions, plain and streamed, with continuous batching, a bounded prefix
// cache, delayed load reports and orders that load and unload versions.
//
//	POST /v1/chat/completions     Model is a version, "model@version"
//	GET  /v1/models               the loaded versions
//	GET  /load?since=SEQ          wire.LoadReport with cache events after SEQ
//	PUT  /orders, GET /orders     the versions to load; see orders.go
//	GET  /stats                   Stats, for tests
//	GET  /faults, PUT /faults     see Faults
//
// The events of a stream have consecutive SSE ids from 0. A request with the
// header Last-Event-ID resumes the stream after that event. The response header
// echoes the attempt's nonce (wire.HeaderAttempt).
package engine

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"masticplank.example/router/internal/standin/faults"
)

// errCrashed is the cancellation cause of the requests of a crashed engine.
var errCrashed = errors.New("engine: crashed")

// Defaults of Config.
const (
	DefaultSlots       = 16
	DefaultQueueLimit  = 64
	DefaultCacheBlocks = 4096
)

// Config of an engine.
type Config struct {
	// Versions that the engine can load; all are loaded at the start. An empty
	// list means DefaultVersions.
	Versions []Version
	// Slots is the maximum number of running requests; 0 means DefaultSlots.
	Slots int
	// QueueLimit is the maximum number of requests that wait for a slot; 0 means
	// DefaultQueueLimit, and a negative number disables the queue.
	QueueLimit int
	// CacheBlocks is the capacity of the prefix cache in blocks; 0 means
	// DefaultCacheBlocks.
	CacheBlocks int
	// ReportLag is the maximum age of a load report.
	ReportLag time.Duration
	// CheckFencing refuses orders with a fencing number below that of an earlier
	// accepted order; otherwise the number is stored, but not compared.
	CheckFencing bool
	// Seed of the random numbers for the fault ErrorRate.
	Seed uint64
	// Now is the engine's clock; nil means time.Now.
	Now func() time.Time
}

// Stats counts requests, for tests.
type Stats struct {
	// Started counts the requests that got a slot. Each of them, once ended, is
	// counted in one of the next three fields unless a crash or another fault
	// aborted its connection.
	Started   int `json:"started"`
	Completed int `json:"completed"`
	Cancelled int `json:"cancelled"`
	Failed    int `json:"failed"`
	// Refused counts the requests refused with wire.HeaderNotRun.
	Refused int `json:"refused"`
	Crashes int `json:"crashes"`
	// Tokens generated, including those of cancelled requests.
	Tokens int `json:"tokens"`
	// ByVersion counts the started requests of each version.
	ByVersion map[string]int `json:"by_version"`
}

// Server is the engine's HTTP handler. It is safe for concurrent use.
type Server struct {
	Faults  faults.Injector[Faults]
	cfg     Config
	now     func() time.Time
	slots   *slots
	cache   *prefixCache
	orders  *orders
	report  reportCache
	handler http.Handler

	mu sync.Mutex
	// runCtx is cancelled when the engine crashes and replaced at once, but the
	// engine serves nothing before downUntil.
	runCtx    context.Context
	cancelRun context.CancelCauseFunc
	downUntil time.Time
	rng       *rand.Rand
	stats     Stats
}

// New returns an engine with all its versions loaded.
func New(cfg Config) *Server {
	if len(cfg.Versions) == 0 {
		cfg.Versions = DefaultVersions()
	}
	if cfg.Slots == 0 {
		cfg.Slots = DefaultSlots
	}
	if cfg.QueueLimit == 0 {
		cfg.QueueLimit = DefaultQueueLimit
	}
	if cfg.CacheBlocks == 0 {
		cfg.CacheBlocks = DefaultCacheBlocks
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	s := &Server{
		cfg:    cfg,
		now:    cfg.Now,
		slots:  &slots{limit: cfg.Slots, queueLimit: max(cfg.QueueLimit, 0)},
		cache:  newPrefixCache(cfg.CacheBlocks),
		orders: newOrders(cfg.Versions, cfg.CheckFencing),
		rng:    rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		stats:  Stats{ByVersion: map[string]int{}},
	}
	s.runCtx, s.cancelRun = context.WithCancelCause(context.Background())
	s.handler = s.routes()
	return s
}

func (s *Server) routes() http.Handler {
	r := mux.NewRouter()
	r.Handle(faults.Path, &s.Faults)
	r.HandleFunc("/v1/chat/completions", s.serveChat).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", s.serveModels).Methods(http.MethodGet)
	r.HandleFunc("/load", s.serveLoad).Methods(http.MethodGet)
	r.HandleFunc("/orders", s.putOrder).Methods(http.MethodPut)
	r.HandleFunc("/orders", s.getOrder).Methods(http.MethodGet)
	r.HandleFunc("/stats", s.serveStats).Methods(http.MethodGet)
	return faults.Middleware(s.commonFaults, r)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// commonFaults returns the common faults, with Down set during the time after
// a crash.
func (s *Server) commonFaults() faults.Common {
	common := s.Faults.Get().Common
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now().Before(s.downUntil) {
		common.Down = true
	}
	return common
}

// Crash aborts the connections of all running and queued chat requests, empties
// the cache and stops serving for the time set by the fault CrashMS.
func (s *Server) Crash() {
	downtime := s.Faults.Get().downtime()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Crashes++
	s.downUntil = s.now().Add(downtime)
	s.cancelRun(errCrashed)
	s.runCtx, s.cancelRun = context.WithCancelCause(context.Background())
	s.cache.clear()
}

// bindToRun returns a context that ends with ctx, the context of a request, or
// with the engine's next crash.
func (s *Server) bindToRun(ctx context.Context) (context.Context, context.CancelFunc) {
	s.mu.Lock()
	runCtx := s.runCtx
	s.mu.Unlock()
	bound, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(runCtx, func() { cancel(errCrashed) })
	return bound, func() {
		stop()
		cancel(nil)
	}
}

// Stats returns a copy of the counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.stats
	out.ByVersion = make(map[string]int, len(s.stats.ByVersion))
	for id, n := range s.stats.ByVersion {
		out.ByVersion[id] = n
	}
	return out
}

// updateStats changes the counts under the lock.
func (s *Server) updateStats(update func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.stats)
}

// drawFault reports whether to inject a fault of the given rate (0 to 1) now, by a
// random draw.
func (s *Server) drawFault(rate float64) bool {
	if rate <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < rate
}

func (s *Server) serveStats(w http.ResponseWriter, _ *http.Request) {
	faults.WriteJSON(w, http.StatusOK, s.Stats())
}
