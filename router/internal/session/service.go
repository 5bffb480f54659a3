package session

import (
	"context"
	"time"

	"github.com/google/uuid"

	"masticplank.example/router/internal/manifest"
)

// Service opens sessions and reads them back. Safe for concurrent use.
type Service struct {
	tokens   *Tokens
	names    *Names
	verdicts Verdicts
}

// NewService joins tokens and names. verdicts may be nil.
func NewService(tokens *Tokens, names *Names, verdicts Verdicts) *Service {
	return &Service{tokens: tokens, names: names, verdicts: verdicts}
}

// Open picks the versions of a new session and returns its token.
func (s *Service) Open(team manifest.Team, index *manifest.Index) (token string, opened Session, expires time.Time, err error) {
	id := uuid.NewString()
	hash := ShareHash(team.ID, id)
	opened = Session{
		Team:      team.ID,
		ID:        id,
		Pins:      Pick(index, team.ID, hash, s.verdicts),
		ShareHash: hash,
	}
	token, expires, err = s.tokens.Issue(opened)
	return token, opened, expires, err
}

// Resolve reads a session's header: a token, or the name of a session, which
// gets its pins now where nobody has set them yet. The error is an *Error.
func (s *Service) Resolve(ctx context.Context, team manifest.Team, index *manifest.Index, header string) (Session, error) {
	if LooksLikeToken(header) {
		return s.tokens.Verify(header, team.ID)
	}
	if !ValidName(header) {
		return Session{}, refuse(ReasonName, "want 1 to 128 letters, digits, '.', '_', ':' or '-'")
	}
	pins := Pick(index, team.ID, ShareHash(team.ID, header), s.verdicts)
	return s.names.Pin(ctx, team.ID, header, pins)
}
