package session

import (
	"encoding/base64"
	"errors"
	"time"

	"github.com/golang-jwt/jwt/v5"
	"github.com/gravitational/trace"

	"masticplank.example/router/internal/settings"
)

const (
	// MaxTokenBytes bounds a token before anything is parsed. It leaves room
	// for MaxPins pins of usual length and is a quarter of the default limit on
	// a request's headers.
	MaxTokenBytes = 16 << 10

	// issuer identifies masticplank's tokens: if a key is shared with another
	// system by mistake, that system's tokens are still not accepted as
	// sessions.
	issuer = "masticplank"
	// headerKeyID is JWT's header for the key's id.
	headerKeyID = "kid"
)

// Tokens issues and verifies session tokens. Safe for concurrent use.
type Tokens struct {
	keys         map[string][]byte
	signingKeyID string
	ttl          time.Duration
	now          func() time.Time
	parser       *jwt.Parser
}

// NewTokens takes the key ring of the settings: the first key signs, all
// verify. To rotate, append the new key at all instances, then move it to the
// front, and remove the old one after the sessions' TTL has passed. now is the
// clock.
func NewTokens(cfg settings.Session, now func() time.Time) (*Tokens, error) {
	t := &Tokens{
		keys: make(map[string][]byte, len(cfg.Keys)),
		ttl:  time.Duration(cfg.TTLSeconds) * time.Second,
		now:  now,
		parser: jwt.NewParser(
			jwt.WithValidMethods([]string{jwt.SigningMethodHS256.Alg()}),
			jwt.WithIssuer(issuer),
			jwt.WithExpirationRequired(),
			jwt.WithStrictDecoding(),
			jwt.WithTimeFunc(now),
		),
	}
	for i, k := range cfg.Keys {
		secret, err := base64.StdEncoding.DecodeString(k.Secret)
		if err != nil || len(secret) < settings.MinSecretBytes {
			return nil, trace.BadParameter("session key %q is not the base64 encoding of at least %d bytes", k.ID, settings.MinSecretBytes)
		}
		if _, ok := t.keys[k.ID]; ok {
			return nil, trace.BadParameter("duplicate session key %q", k.ID)
		}
		t.keys[k.ID] = secret
		if i == 0 {
			t.signingKeyID = k.ID
		}
	}
	return t, nil
}

// claims is a token's payload.
type claims struct {
	Session
	jwt.RegisteredClaims
}

// Issue signs s and returns the token with its expiry time.
func (t *Tokens) Issue(s Session) (token string, expires time.Time, err error) {
	if len(t.keys) == 0 {
		return "", time.Time{}, newError(ReasonNoKeys, "set session.keys")
	}
	if violation := s.violation(); violation != "" {
		return "", time.Time{}, newError(ReasonOutOfBounds, violation)
	}
	now := t.now()
	expires = now.Add(t.ttl).Truncate(time.Second)
	unsigned := jwt.NewWithClaims(jwt.SigningMethodHS256, claims{
		Session: s,
		RegisteredClaims: jwt.RegisteredClaims{
			Issuer:    issuer,
			IssuedAt:  jwt.NewNumericDate(now),
			ExpiresAt: jwt.NewNumericDate(expires),
		},
	})
	unsigned.Header[headerKeyID] = t.signingKeyID
	token, err = unsigned.SignedString(t.keys[t.signingKeyID])
	if err != nil {
		return "", time.Time{}, trace.Wrap(err)
	}
	if len(token) > MaxTokenBytes {
		return "", time.Time{}, newError(ReasonOutOfBounds, "the token would be too long")
	}
	return token, expires, nil
}

// Verify reads a token sent by a caller of team. The error is an *Error.
func (t *Tokens) Verify(token, team string) (Session, error) {
	if len(token) > MaxTokenBytes {
		return Session{}, newError(ReasonMalformed, "too long")
	}
	var c claims
	if _, err := t.parser.ParseWithClaims(token, &c, t.key); err != nil {
		return Session{}, newError(reasonFor(err), "")
	}
	if violation := c.violation(); violation != "" {
		return Session{}, newError(ReasonMalformed, violation)
	}
	if c.Team != team {
		return Session{}, newError(ReasonOtherTeam, "")
	}
	return c.Session, nil
}

// errUnknownKey is returned to the parser, which wraps it.
var errUnknownKey = errors.New("session: unknown key")

// key finds the key that a token names. The parser has already checked the
// algorithm.
func (t *Tokens) key(token *jwt.Token) (any, error) {
	id, _ := token.Header[headerKeyID].(string)
	secret, ok := t.keys[id]
	if !ok {
		return nil, errUnknownKey
	}
	return secret, nil
}

// reasonFor classifies the parser's errors. The signature is checked before the
// times, so an expired token had a valid signature.
func reasonFor(err error) Reason {
	switch {
	case errors.Is(err, errUnknownKey):
		return ReasonUnknownKey
	case errors.Is(err, jwt.ErrTokenSignatureInvalid):
		return ReasonBadSignature
	case errors.Is(err, jwt.ErrTokenExpired):
		return ReasonExpired
	default:
		return ReasonMalformed
	}
}

// LooksLikeToken tells a token from a session name in the same header. A name
// may contain dots too, but a JWT has exactly two and begins with the base64 of
// `{"`.
func LooksLikeToken(header string) bool {
	const prefix = "eyJ"
	return len(header) > len(prefix) && header[:len(prefix)] == prefix && countDots(header) == 2
}

func countDots(s string) int {
	n := 0
	for _, c := range []byte(s) {
		if c == '.' {
			n++
		}
	}
	return n
}
