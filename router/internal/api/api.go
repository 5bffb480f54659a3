// Package api serves callers over HTTP: OpenAI-compatible chat completions and
// lists of models, plain services and sessions. It turns each HTTP request that
// asks for work into a request for package decision, runs the attempts that
// decision commands, and writes exactly one final answer.
//
// The path of a request: api.go routes it, chat.go or service.go parses it,
// exchange.go executes the commands for it, attempt.go runs each attempt (stream.go
// and aggregate.go read its stream), and answer.go writes outcomes that are not a
// backend server's answer.
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

// Manifests returns the manifest in force, or nil before the first one.
type Manifests interface{ Current() *manifest.Index }

// Gate reports whether new work may start now. It is checked at admission and
// again right before each dispatch.
type Gate interface {
	// MayRun returns an empty reason if work may start, else the reason for
	// refusing it. idempotent is false for work that must first write to the log,
	// such as a claim or the pins of a session.
	MayRun(idempotent bool) decision.RefusalReason
}

// Servers looks up backend servers and receives their load.
type Servers interface {
	// Addr returns a server's host:port, or false if it is not listed.
	Addr(decision.ServerID) (string, bool)
	// ObserveLoad takes the value of wire.HeaderLoad in a server's answer; empty
	// if the answer had none.
	ObserveLoad(id decision.ServerID, load string)
}

// Recorder receives an Observation of each ended request. It must be safe for
// concurrent use.
type Recorder interface{ Observe(Observation) }

// Observation is one ended request, for metrics and reports.
type Observation struct {
	Team string
	// Version is that of the last attempt whose token usage was counted; empty if
	// there is none.
	Version string
	// Outcome is an outcome.Kind.
	Outcome string
	// Code is the outcome's code if the request did not complete. It tells
	// callers' errors from faults of the system.
	Code string
	// FirstToken is the time from arrival to the first token, or to the end of
	// an answer that was not streamed; zero if none came.
	FirstToken time.Duration
	// InterToken is the mean time between two tokens; zero for an answer that was
	// not streamed to the caller or had fewer than two tokens.
	InterToken time.Duration
	// Duration is the time from arrival to the end of the request.
	Duration time.Duration
	// Cost over all attempts, in the manifest's unit of cost.
	Cost float64
}

// Deps are the dependencies of a Server.
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

// Limits bound what callers can send and how long they are waited for.
type Limits struct {
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
	// ReadTimeout bounds reading a body, as protection against slow callers.
	ReadTimeout time.Duration
	// WriteTimeout bounds each write to a caller, so that one which does not
	// read cannot hold an engine's slot.
	WriteTimeout time.Duration
	// DefaultDeadline is the time to the deadline of a request that states none.
	DefaultDeadline time.Duration
	// MaxDeadline bounds the time to the deadline that a caller may state.
	MaxDeadline time.Duration
}

// Server is the HTTP handler for callers. It is safe for concurrent use.
type Server struct {
	Deps
	router  *mux.Router
	ratings *ratingPool
}

// New returns a Server.
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

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// Wait blocks until all running ratings have ended or ctx is done.
func (s *Server) Wait(ctx context.Context) { s.ratings.wait(ctx) }
