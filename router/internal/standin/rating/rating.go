// Package rating is a stand-in for the platform's service that rates answers.
//
//	POST /rate                    wire.RateRequest -> wire.RatingResponse
//	GET  /faults, PUT /faults     see Faults
//
// The score is the quality that the engine stand-in wrote into its answer, minus
// the penalty of the task class, plus noise that depends on the request alone.
package rating

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"masticplank.example/router/internal/standin/engine"
	"masticplank.example/router/internal/standin/faults"
	"masticplank.example/router/internal/wire"
)

const (
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 16 << 20
	// unknownQuality is the quality of a text that the engine stand-in did not
	// write.
	unknownQuality = 0
)

// Config of the service.
type Config struct {
	// Noise is the maximum deviation of a score in either direction.
	Noise float64
	// TaskPenalty holds, by task class, the number (0 to 1) that is subtracted from
	// the score.
	TaskPenalty map[string]float64
}

// Faults of the rating service.
type Faults struct {
	faults.Common
	// Wrong inverts the scores, except those set by Scores: 1 minus the score.
	Wrong bool `json:"wrong,omitempty"`
	// Scores replaces the score of all answers of a version.
	Scores map[string]float64 `json:"scores,omitempty"`
	// OutOfRange answers with a score above 1.
	OutOfRange faults.Count `json:"out_of_range,omitempty"`
	// Fail answers with status 500.
	Fail faults.Count `json:"fail,omitempty"`
}

// Server is the service. It is safe for concurrent use.
type Server struct {
	Faults  faults.Injector[Faults]
	cfg     Config
	handler http.Handler
}

// New returns a service.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg}
	r := mux.NewRouter()
	r.Handle(faults.Path, &s.Faults)
	r.HandleFunc("/rate", s.rate).Methods(http.MethodPost)
	s.handler = faults.Middleware(func() faults.Common { return s.Faults.Get().Common }, r)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

func (s *Server) rate(w http.ResponseWriter, r *http.Request) {
	var request wire.RateRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&request); err != nil {
		faults.WriteError(w, http.StatusBadRequest, "malformed_request", err.Error())
		return
	}
	if s.Faults.Take(func(f *Faults) *faults.Count { return &f.Fail }) {
		faults.WriteError(w, http.StatusInternalServerError, "internal", "cannot rate")
		return
	}
	score := s.score(request)
	if s.Faults.Take(func(f *Faults) *faults.Count { return &f.OutOfRange }) {
		score += 2
	}
	faults.WriteJSON(w, http.StatusOK, wire.RatingResponse{Score: score})
}

// score returns the score of an answer, 0 to 1 unless the fault Scores sets another
// one.
func (s *Server) score(r wire.RateRequest) float64 {
	active := s.Faults.Get()
	if score, ok := active.Scores[r.Version]; ok {
		return score
	}
	quality, _, ok := engine.ParseAnswer(r.Answer)
	if !ok {
		quality = unknownQuality
	}
	score := quality - s.cfg.TaskPenalty[r.Task] + s.cfg.Noise*noise(r)
	if active.Wrong {
		score = 1 - score
	}
	return min(max(score, 0), 1)
}

// noise returns a number from -1 to 1 derived from a hash of the request
// without its version.
func noise(r wire.RateRequest) float64 {
	sum := xxhash.Sum64String(fmt.Sprintf("%q%q%q%q", r.Team, r.Task, r.Prompt, r.Answer))
	return float64(sum>>11)/(1<<52) - 1
}
