// Package admin serves operators on a separate listener of an instance: health,
// readiness, metrics, profiles, status, counts for the burn report, and reading and
// publishing of manifests.
package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/pprof"
	"strings"

	"github.com/gorilla/mux"
	gometrics "github.com/rcrowley/go-metrics"

	"masticplank.example/router/internal/manifest"
	"masticplank.example/router/internal/metrics"
	"masticplank.example/router/internal/outcome"
	"masticplank.example/router/internal/publish"
	"masticplank.example/router/internal/wire"
)

// maxManifestBytes bounds the body of a request that publishes a manifest.
const maxManifestBytes = 4 << 20

// Readiness states why the instance is not ready; the reason is empty if it is ready.
type Readiness interface{ NotReadyReason() string }

// Deps are the sources of what the handler shows.
type Deps struct {
	Registry  gometrics.Registry
	Readiness Readiness
	Manifests *manifest.Holder
	Publisher *publish.Publisher
	// Status returns the body of /status, Burn that of /burn; both are encoded as
	// JSON.
	Status func() any
	Burn   func() any
	// OperatorKeyHashes are SHA-256 sums (hex) of the operators' keys.
	OperatorKeyHashes []string
}

type server struct{ Deps }

// New returns the handler for the admin listener.
func New(deps Deps) http.Handler {
	s := &server{deps}
	r := mux.NewRouter()
	r.HandleFunc("/healthz", s.health).Methods(http.MethodGet)
	r.HandleFunc("/readyz", s.ready).Methods(http.MethodGet)
	r.HandleFunc("/metrics", s.metrics).Methods(http.MethodGet)
	r.HandleFunc("/status", s.status).Methods(http.MethodGet)
	r.HandleFunc("/burn", s.burn).Methods(http.MethodGet)
	r.HandleFunc("/manifest", s.getManifest).Methods(http.MethodGet)
	r.HandleFunc("/manifest", s.postManifest).Methods(http.MethodPost)
	r.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	r.HandleFunc("/debug/pprof/profile", pprof.Profile)
	r.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	r.HandleFunc("/debug/pprof/trace", pprof.Trace)
	r.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
	return r
}

// health answers as long as the process runs, whatever its state.
func (s *server) health(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n")
}

// ready tells the balancer whether to send requests here.
func (s *server) ready(w http.ResponseWriter, _ *http.Request) {
	if reason := s.Readiness.NotReadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (s *server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_ = metrics.Write(w, s.Registry)
}

func (s *server) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Status())
}

func (s *server) burn(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Burn()) }

// manifestResponse is the body of GET /manifest.
type manifestResponse struct {
	Digest   string            `json:"digest"`
	Manifest manifest.Manifest `json:"manifest"`
}

func (s *server) getManifest(w http.ResponseWriter, _ *http.Request) {
	current := s.Manifests.Current()
	if current == nil {
		writeError(w, http.StatusNotFound, "no_manifest", "no manifest is in force yet")
		return
	}
	writeJSON(w, http.StatusOK, manifestResponse{Digest: current.Digest, Manifest: current.Manifest})
}

// postManifest publishes a manifest; "?rebase=true" takes the manifest in force as
// its parent.
func (s *server) postManifest(w http.ResponseWriter, r *http.Request) {
	if !s.isOperator(r) {
		writeError(w, http.StatusUnauthorized, "invalid_operator_key", "the operator key is missing or not known")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxManifestBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, "body_too_large", "the manifest is too large")
		return
	}
	m, err := manifest.Parse(body)
	if err != nil {
		writeError(w, http.StatusBadRequest, "malformed_request", err.Error())
		return
	}
	result := s.Publisher.Publish(r.Context(), m, r.URL.Query().Get("rebase") == "true")
	w.Header().Set(wire.HeaderOutcome, string(result.Outcome.Kind))
	writeJSON(w, result.Outcome.Status(), PublishResponse{
		Outcome: string(result.Outcome.Kind),
		Code:    result.Outcome.Code,
		Message: result.Outcome.Message,
		Result:  result,
	})
}

// PublishResponse is the body of POST /manifest.
type PublishResponse struct {
	Outcome string `json:"outcome"`
	Code    string `json:"code"`
	Message string `json:"message,omitempty"`
	publish.Result
}

// Accepted reports whether the manifest took effect in the log.
func (r PublishResponse) Accepted() bool { return r.Outcome == string(outcome.Completed) }

// isOperator reports whether the request has an operator's key. It compares the key's
// hash with every known one, each in constant time.
func (s *server) isOperator(r *http.Request) bool {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(key))
	got := []byte(hex.EncodeToString(sum[:]))
	matches := 0
	for _, h := range s.OperatorKeyHashes {
		matches |= subtle.ConstantTimeCompare(got, []byte(h))
	}
	return matches == 1
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, wire.Error{Error: wire.ErrorBody{Code: code, Message: message}})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
