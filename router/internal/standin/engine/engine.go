// Package engine is the stand-in for a model engine: OpenAI-compatible chat
// completions, plain and streamed, with continuous batching, a bounded prefix
// cache, lagging load reports and orders.
//
//	POST /v1/chat/completions     Model is a version, "model@version"
//	GET  /v1/models               the loaded versions
//	GET  /load?since=SEQ          wire.LoadReport with cache events after SEQ
//	PUT  /orders, GET /orders     the wanted state; see orders.go
//	GET  /stats                   Stats, for tests
//	GET  /faults, PUT /faults     see Faults
//
// Each event of a stream has an SSE id, counted from 0 without gaps. A request
// with the header Last-Event-ID resumes the stream behind that event. The
// attempt's nonce (wire.HeaderAttempt) is echoed in the answer's header.
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

// errCrashed is the cause that ends every request of a crashed engine.
var errCrashed = errors.New("engine: crashed")

// Defaults of Config.
const (
	DefaultSlots       = 16
	DefaultQueueLimit  = 64
	DefaultCacheBlocks = 4096
)

// Config of an engine.
type Config struct {
	// Versions that it can load; all are loaded at the start. None means
	// DefaultVersions.
	Versions []Version
	// Slots is how many requests run at once; 0 is DefaultSlots.
	Slots int
	// QueueLimit is how many wait for a slot; 0 is DefaultQueueLimit, and a
	// negative number is no queue.
	QueueLimit int
	// CacheBlocks is the size of the prefix cache; 0 is DefaultCacheBlocks.
	CacheBlocks int
	// ReportLag is how old a load report may be.
	ReportLag time.Duration
	// CheckFencing refuses orders with an old fencing number; else the number
	// is ignored.
	CheckFencing bool
	// Seed of the error rate.
	Seed uint64
	// Now is the engine's clock; nil is time.Now.
	Now func() time.Time
}

// Stats count requests, for tests.
type Stats struct {
	// Started requests had a slot; each ends as one of the three below, or in
	// a crash.
	Started   int `json:"started"`
	Completed int `json:"completed"`
	Cancelled int `json:"cancelled"`
	Failed    int `json:"failed"`
	// Refused requests were told that they were not run.
	Refused int `json:"refused"`
	Crashes int `json:"crashes"`
	// Tokens generated, also for those that were cancelled.
	Tokens int `json:"tokens"`
	// ByVersion counts started requests.
	ByVersion map[string]int `json:"by_version"`
}

// Server is the engine. It is safe for concurrent use.
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
	// life ends when the engine crashes; the next one starts at once, but the
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

// common adds the time after a crash to the fault Down.
func (s *Server) commonFaults() faults.Common {
	common := s.Faults.Get().Common
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now().Before(s.downUntil) {
		common.Down = true
	}
	return common
}

// Crash cuts all connections in use, empties the cache and stops serving for
// the time that the faults name.
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

// bind returns a context that ends with the request or the engine's life.
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

// Stats returns the counts so far.
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

// count changes the counts.
func (s *Server) updateStats(update func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.stats)
}

// strikes draws whether a fault of the given rate hits.
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
