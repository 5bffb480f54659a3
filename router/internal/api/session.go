package api

import (
	"context"
	"net/http"

	"masticplank.example/decision"
	"masticplank.example/router/internal/manifest"
	"masticplank.example/router/internal/outcome"
	"masticplank.example/router/internal/wire"
)

// Pins are the versions that a session keeps, by model.
type Pins struct {
	// Session is its id; the roll-out's hash is taken from it.
	Session string
	ByModel map[string]string
}

// Sessions opens sessions and reads them back. Safe for concurrent use.
type Sessions interface {
	// Open picks the versions of a new session and returns its token.
	Open(ctx context.Context, team manifest.Team, index *manifest.Index) (token string, p Pins, err error)
	// Resolve reads a token, or the pins of a session that has only a name; a
	// name not seen before gets its pins now, by the first writer in the log.
	Resolve(ctx context.Context, team manifest.Team, index *manifest.Index, tokenOrName string) (Pins, error)
}

// sessionAnswer is the body of POST /v1/sessions.
type sessionAnswer struct {
	Session  string            `json:"session"`
	Token    string            `json:"token"`
	Versions map[string]string `json:"versions"`
}

// newSession serves POST /v1/sessions.
func (s *Server) newSession(w http.ResponseWriter, r *http.Request, c caller) {
	if reason := s.Gate.MayRun(true); reason != "" {
		writeOutcome(w, refusal(reason, retrySoon))
		return
	}
	token, pins, err := s.Sessions.Open(r.Context(), c.team, c.index)
	if err != nil {
		writeOutcome(w, refused("session_invalid", err.Error()))
		return
	}
	w.Header().Set(wire.HeaderOutcome, string(outcome.Completed))
	writeJSON(w, http.StatusCreated, sessionAnswer{Session: pins.Session, Token: token, Versions: pins.ByModel})
}

// pinSession fixes the request to its session's version, where it has one.
func (s *Server) pinSession(r *http.Request, c caller, req *decision.Request) *outcome.Outcome {
	session := r.Header.Get(wire.HeaderSession)
	if session == "" {
		return nil
	}
	pins, err := s.Sessions.Resolve(r.Context(), c.team, c.index, session)
	if err != nil {
		o := refused("session_invalid", err.Error())
		return &o
	}
	req.ShareHash = shareHash(pins.Session)
	req.Pinned = decision.VersionID(pins.ByModel[string(req.Model)])
	return nil
}
