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

// sessionResponse is the response body of POST /v1/sessions.
type sessionResponse struct {
	Session  string            `json:"session"`
	Token    string            `json:"token"`
	Expires  string            `json:"expires"`
	Versions map[string]string `json:"versions"`
}

// newSession serves POST /v1/sessions. The token carries the pinned versions, so
// that no instance has to store the session.
func (s *Server) newSession(w http.ResponseWriter, r *http.Request, c caller) {
	if reason := s.Gate.MayRun(true); reason != "" {
		writeOutcome(w, decisionRefusal(reason, retryDelay))
		return
	}
	id := uuid.NewString()
	sess := session.Session{
		Team:            c.team.ID,
		ID:              id,
		RolloutPosition: session.RolloutPosition(c.team.ID, id),
	}
	sess.Pins = s.pickVersions(r.Context(), sess)
	token, expires, err := s.SessionTokens.Issue(sess)
	if err != nil {
		writeOutcome(w, routerRefusal("session_invalid", err.Error()))
		return
	}
	w.Header().Set(wire.HeaderOutcome, string(outcome.Completed))
	writeJSON(w, http.StatusCreated, sessionResponse{
		Session:  id,
		Token:    token,
		Expires:  expires.UTC().Format(http.TimeFormat),
		Versions: sess.Pins,
	})
}

// pickVersions returns the versions that a new session is pinned to, by model.
func (s *Server) pickVersions(ctx context.Context, sess session.Session) map[string]string {
	pins := map[string]string{}
	for _, v := range s.Driver.OpenSession(ctx, decision.TeamID(sess.Team), sess.RolloutPosition) {
		model, _, _ := strings.Cut(string(v), "@")
		pins[model] = string(v)
	}
	return pins
}

// pinSession pins the request to the versions of its session, if it has one.
func (s *Server) pinSession(r *http.Request, c caller, req *decision.Request) *outcome.Outcome {
	header := r.Header.Get(wire.HeaderSession)
	if header == "" {
		return nil
	}
	sess, refusal := s.readSession(r.Context(), c, header)
	if refusal != nil {
		return refusal
	}
	req.RolloutPosition = sess.RolloutPosition
	if req.Model == "" {
		for _, v := range sess.Pins {
			req.Pins = append(req.Pins, decision.VersionID(v))
		}
		return nil
	}
	model, _, _ := strings.Cut(string(req.Model), "@")
	req.Pinned = decision.VersionID(sess.Pins[model])
	return nil
}

// readSession reads a session from its token or, for a session that has only a
// name, its pins from the log. A new name gets its pins now; if several
// instances set them at once, the first writer in the log wins.
func (s *Server) readSession(ctx context.Context, c caller, header string) (session.Session, *outcome.Outcome) {
	if session.LooksLikeToken(header) {
		sess, err := s.SessionTokens.Verify(header, c.team.ID)
		return sess, sessionRefusal(err)
	}
	pinned, ok, err := s.SessionNames.Lookup(c.team.ID, header)
	if err != nil || ok {
		return pinned, sessionRefusal(err)
	}
	if reason := s.Gate.MayRun(false); reason != "" {
		o := decisionRefusal(reason, retryDelay)
		return pinned, &o
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	unpinned := session.Session{Team: c.team.ID, ID: header, RolloutPosition: session.RolloutPosition(c.team.ID, header)}
	sess, err := s.SessionNames.Pin(ctx, c.team.ID, header, s.pickVersions(ctx, unpinned))
	return sess, sessionRefusal(err)
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
