package api

import (
	"context"
	"errors"
	"net/http"
	"strings"

	"github.com/google/uuid"

	"masticplank.example/decision"
	"masticplank.example/router/internal/outcome"
	"masticplank.example/router/internal/session"
	"masticplank.example/router/internal/wire"
)

// sessionAnswer is the body of POST /v1/sessions.
type sessionResponse struct {
	Session  string            `json:"session"`
	Token    string            `json:"token"`
	Expires  string            `json:"expires"`
	Versions map[string]string `json:"versions"`
}

// newSession serves POST /v1/sessions: the token carries the versions, so that
// no instance keeps anything.
func (s *Server) newSession(w http.ResponseWriter, r *http.Request, c caller) {
	if reason := s.Gate.MayRun(true); reason != "" {
		writeOutcome(w, decisionRefusal(reason, retryDelay))
		return
	}
	id := uuid.NewString()
	opened := session.Session{
		Team:            c.team.ID,
		ID:              id,
		RolloutPosition: session.RolloutPosition(c.team.ID, id),
	}
	opened.Pins = s.pickVersions(r.Context(), opened)
	token, expires, err := s.SessionTokens.Issue(opened)
	if err != nil {
		writeOutcome(w, routerRefusal("session_invalid", err.Error()))
		return
	}
	w.Header().Set(wire.HeaderOutcome, string(outcome.Completed))
	writeJSON(w, http.StatusCreated, sessionResponse{
		Session:  id,
		Token:    token,
		Expires:  expires.UTC().Format(http.TimeFormat),
		Versions: opened.Pins,
	})
}

func (s *Server) pickVersions(ctx context.Context, opened session.Session) map[string]string {
	pins := map[string]string{}
	for _, v := range s.Driver.OpenSession(ctx, decision.TeamID(opened.Team), opened.RolloutPosition) {
		model, _, _ := strings.Cut(string(v), "@")
		pins[model] = string(v)
	}
	return pins
}

// pinSession fixes the request to its session's versions, where it has one.
func (s *Server) pinSession(r *http.Request, c caller, req *decision.Request) *outcome.Outcome {
	header := r.Header.Get(wire.HeaderSession)
	if header == "" {
		return nil
	}
	opened, refusal := s.readSession(r.Context(), c, header)
	if refusal != nil {
		return refusal
	}
	req.RolloutPosition = opened.RolloutPosition
	if req.Model == "" {
		for _, v := range opened.Pins {
			req.Pins = append(req.Pins, decision.VersionID(v))
		}
		return nil
	}
	model, _, _ := strings.Cut(string(req.Model), "@")
	req.Pinned = decision.VersionID(opened.Pins[model])
	return nil
}

// readSession reads a token, or the pins of a session that has only a name; a
// name not seen before gets its pins now, from the first writer in the log.
func (s *Server) readSession(ctx context.Context, c caller, header string) (session.Session, *outcome.Outcome) {
	if session.LooksLikeToken(header) {
		opened, err := s.SessionTokens.Verify(header, c.team.ID)
		return opened, sessionRefusal(err)
	}
	known, ok, err := s.SessionNames.Lookup(c.team.ID, header)
	if err != nil || ok {
		return known, sessionRefusal(err)
	}
	if reason := s.Gate.MayRun(false); reason != "" {
		o := decisionRefusal(reason, retryDelay)
		return known, &o
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	own := session.Session{Team: c.team.ID, ID: header, RolloutPosition: session.RolloutPosition(c.team.ID, header)}
	opened, err := s.SessionNames.Pin(ctx, c.team.ID, header, s.pickVersions(ctx, own))
	return opened, sessionRefusal(err)
}

func sessionRefusal(err error) *outcome.Outcome {
	if err == nil {
		return nil
	}
	o := routerRefusal("session_invalid", err.Error())
	if errors.Is(err, &session.Error{Reason: session.ReasonUndecided}) {
		o = routerRefusal("session_undecided", err.Error())
		o.RetryAfter = retryDelay
	}
	return &o
}
