// Package api is the callers' edge: OpenAI-compatible chat, plain services, and
// sessions. It turns HTTP into requests for the decision, carries out the
// attempts that the decision commands, and writes exactly one final answer.
//
// One request through the code: server.go routes it, chat.go or service.go
// reads it, exchange.go follows the decision's commands, attempt.go runs each
// attempt, answer.go writes the end.
package api

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"masticplank.example/coordination/node"
	"masticplank.example/decision"
	"masticplank.example/router/internal/billing"
	"masticplank.example/router/internal/driver"
	"masticplank.example/router/internal/logging"
	"masticplank.example/router/internal/manifest"
	"masticplank.example/router/internal/platform"
	"masticplank.example/router/internal/session"
	"masticplank.example/router/internal/upstream"
)

// Manifests gives the manifest in force; nil before the first.
type Manifests interface{ Current() *manifest.Index }

// Gate says whether new work may start now. It is asked at admission and again
// right before each dispatch.
type Gate interface {
	// MayRun returns an empty reason where work may start. idempotent is false
	// for work that needs a claim in the log.
	MayRun(idempotent bool) decision.RefusalReason
}

// Servers finds a backend server's address.
type Servers interface {
	Addr(decision.ServerID) (string, bool)
	// Answered takes the load that a server told on an answer; empty for none.
	ObserveLoad(id decision.ServerID, load string)
}

// Recorder takes the service-level figures of each ended request. Safe for
// concurrent use.
type Recorder interface{ Observe(Observation) }

// Observation is one ended request, for metrics and reports.
type Observation struct {
	Team    string
	Version string
	Outcome string
	// Code is the outcome's code where it is not completed; it tells a
	// caller's own fault from the system's.
	Code string
	// FirstToken is zero where none came; InterToken is the mean gap.
	FirstToken time.Duration
	InterToken time.Duration
	Duration   time.Duration
	Cost       float64
}

// Deps is what the API works with.
type Deps struct {
	Driver        *driver.Driver
	Manifests     Manifests
	Gate          Gate
	Servers       Servers
	Upstream      *upstream.Client
	Store         node.Store
	Biller        *billing.Biller
	SessionTokens *session.Tokens
	SessionNames  *session.NamedSessions
	Rater         platform.Rater
	Recorder      Recorder
	Log           *logging.Logger
	Limits        Limits
}

// Limits towards callers.
type Limits struct {
	// MaxBody in bytes.
	MaxBodyBytes int64
	// ReadTimeout bounds the reading of a body, against slow callers.
	ReadTimeout time.Duration
	// WriteTimeout bounds each write to a caller: one that does not read must
	// not hold an engine's slot.
	WriteTimeout time.Duration
	// DefaultDeadline for a request that names none.
	DefaultDeadline time.Duration
	// MaxDeadline caps what a caller may ask for.
	MaxDeadline time.Duration
}

// Server serves callers.
type Server struct {
	Deps
	router  *mux.Router
	ratings *ratingPool
}

// New returns the API's handler.
func New(deps Deps) *Server {
	s := &Server{Deps: deps, router: mux.NewRouter()}
	s.ratings = newRatingPool(deps.Rater, deps.Driver)
	s.router.HandleFunc("/v1/chat/completions", s.authenticated(s.chat)).Methods(http.MethodPost)
	s.router.HandleFunc("/v1/models", s.authenticated(s.models)).Methods(http.MethodGet)
	s.router.HandleFunc("/v1/sessions", s.authenticated(s.newSession)).Methods(http.MethodPost)
	s.router.PathPrefix("/services/{service}/").HandlerFunc(s.authenticated(s.service))
	s.router.NotFoundHandler = http.HandlerFunc(s.notFound)
	s.router.MethodNotAllowedHandler = http.HandlerFunc(s.notFound)
	return s
}

// ServeHTTP serves one caller's request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// Wait returns once the ratings under way have ended, or ctx has.
func (s *Server) Wait(ctx context.Context) { s.ratings.wait(ctx) }
