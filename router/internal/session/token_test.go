package session

import (
	"encoding/base64"
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/golang-jwt/jwt/v5"

	"masticplank.example/router/internal/settings"
)

var testStart = time.Date(2026, 9, 1, 8, 0, 0, 0, time.UTC)

func testKey(id string) settings.SessionKey {
	secret := strings.Repeat(id+"-", settings.MinSecretBytes)
	return settings.SessionKey{ID: id, Secret: base64.StdEncoding.EncodeToString([]byte(secret))}
}

func newTestTokens(t testing.TB, clock *time.Time, ids ...string) *Tokens {
	t.Helper()
	cfg := settings.Session{TTLSeconds: 3600}
	for _, id := range ids {
		cfg.Keys = append(cfg.Keys, testKey(id))
	}
	out, err := NewTokens(cfg, func() time.Time { return *clock })
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func testSession() Session {
	return Session{
		Team: "patrons", ID: "draft-1", RolloutPosition: RolloutPosition("patrons", "draft-1"),
		Pins: map[string]string{"laine": "laine@3"},
	}
}

// TestIssuedTokenVerifiesAtEveryInstance verifies a token with a key ring that signs
// with another key, as at another instance during a key rotation. A token that
// verified only at its issuer would end the caller's session elsewhere.
func TestIssuedTokenVerifiesAtEveryInstance(t *testing.T) {
	now := testStart
	token, expires, err := newTestTokens(t, &now, "k1", "k0").Issue(testSession())
	if err != nil || !expires.Equal(testStart.Add(time.Hour)) {
		t.Fatalf("expires %v, error %v, want an expiry after 1 h", expires, err)
	}
	got, err := newTestTokens(t, &now, "k2", "k1").Verify(token, "patrons")
	if err != nil || !reflect.DeepEqual(got, testSession()) {
		t.Errorf("got %+v, error %v, want the issued session", got, err)
	}
	if !LooksLikeToken(token) || LooksLikeToken("eyJ.a") || LooksLikeToken("draft.1.2") {
		t.Error("LooksLikeToken mistakes a token for a name or a name for a token")
	}
}

// forgeToken signs claims that no instance would sign.
func forgeToken(t *testing.T, method jwt.SigningMethod, kid any, secret any, change func(*claims)) string {
	t.Helper()
	c := claims{Session: testSession(), RegisteredClaims: jwt.RegisteredClaims{
		Issuer: issuer, ExpiresAt: jwt.NewNumericDate(testStart.Add(time.Hour)),
	}}
	if change != nil {
		change(&c)
	}
	unsigned := jwt.NewWithClaims(method, c)
	if kid != nil {
		unsigned.Header[headerKeyID] = kid
	}
	token, err := unsigned.SignedString(secret)
	if err != nil {
		t.Fatal(err)
	}
	return token
}

// TestVerifyRejectsInvalidTokens guards against accepting a token that was forged or
// changed, has expired or belongs to another team, and checks the reason given.
func TestVerifyRejectsInvalidTokens(t *testing.T) {
	now := testStart
	ring := newTestTokens(t, &now, "k1")
	good, _, err := ring.Issue(testSession())
	if err != nil {
		t.Fatal(err)
	}
	secret := ring.keys["k1"]
	hs := jwt.SigningMethodHS256
	tampered := strings.Split(good, ".")
	tampered[1] = strings.Split(forgeToken(t, hs, "k1", []byte("x"), func(c *claims) { c.Team = "ventes" }), ".")[1]
	for _, c := range []struct {
		name, token, team string
		now               time.Time
		want              Reason
	}{
		{"other team", good, "ventes", testStart, ReasonOtherTeam},
		{"expired", good, "patrons", testStart.Add(time.Hour), ReasonExpired},
		{"tampered", strings.Join(tampered, "."), "patrons", testStart, ReasonBadSignature},
		{"key no longer in the ring", forgeToken(t, hs, "k0", secret, nil), "patrons", testStart, ReasonUnknownKey},
		{"no key id", forgeToken(t, hs, nil, secret, nil), "patrons", testStart, ReasonUnknownKey},
		{"key id is not a string", forgeToken(t, hs, 7, secret, nil), "patrons", testStart, ReasonUnknownKey},
		{"wrong secret", forgeToken(t, hs, "k1", []byte("guess"), nil), "patrons", testStart, ReasonBadSignature},
		{"algorithm none", forgeToken(t, jwt.SigningMethodNone, "k1", jwt.UnsafeAllowNoneSignatureType, nil), "patrons", testStart, ReasonBadSignature},
		{"algorithm HS512", forgeToken(t, jwt.SigningMethodHS512, "k1", secret, nil), "patrons", testStart, ReasonBadSignature},
		{"no expiry", forgeToken(t, hs, "k1", secret, func(c *claims) { c.ExpiresAt = nil }), "patrons", testStart, ReasonMalformed},
		{"other issuer", forgeToken(t, hs, "k1", secret, func(c *claims) { c.Issuer = "x" }), "patrons", testStart, ReasonMalformed},
		{"pin of another model", forgeToken(t, hs, "k1", secret, func(c *claims) { c.Pins = map[string]string{"laine": "lin@1"} }), "patrons", testStart, ReasonMalformed},
		{"roll-out position of 1", forgeToken(t, hs, "k1", secret, func(c *claims) { c.RolloutPosition = 1 }), "patrons", testStart, ReasonMalformed},
		{"empty", "", "patrons", testStart, ReasonMalformed},
		{"without signature", good[:strings.LastIndexByte(good, '.')+1], "patrons", testStart, ReasonBadSignature},
		{"two parts", good[:strings.LastIndexByte(good, '.')], "patrons", testStart, ReasonMalformed},
		{"too long", strings.Repeat("e", MaxTokenBytes+1), "patrons", testStart, ReasonMalformed},
	} {
		now = c.now
		got, err := ring.Verify(c.token, c.team)
		if !errors.Is(err, &Error{Reason: c.want}) || got.Team != "" {
			t.Errorf("%s: got %+v, %v, want %s", c.name, got, err, c.want)
		}
	}
}

// TestIssueRejectsInvalidSessionsAndKeys checks that no token is issued without a key
// or for a session that Verify would reject, and that weak or duplicate keys are
// errors at start.
func TestIssueRejectsInvalidSessionsAndKeys(t *testing.T) {
	now := testStart
	if _, _, err := newTestTokens(t, &now).Issue(testSession()); !errors.Is(err, &Error{Reason: ReasonNoKeys}) {
		t.Errorf("no keys: got error %v, want ReasonNoKeys", err)
	}
	tooManyPins := testSession()
	for i := range MaxPins + 1 {
		model := strings.Repeat("m", i+1)
		tooManyPins.Pins[model] = model + "@1"
	}
	if _, _, err := newTestTokens(t, &now, "k").Issue(tooManyPins); !errors.Is(err, &Error{Reason: ReasonOutOfBounds}) {
		t.Errorf("too many pins: got error %v, want ReasonOutOfBounds", err)
	}
	if _, err := NewTokens(settings.Session{Keys: []settings.SessionKey{{ID: "k", Secret: "c2hvcnQ="}}}, time.Now); err == nil {
		t.Error("short key accepted, want an error")
	}
	if _, err := NewTokens(settings.Session{Keys: []settings.SessionKey{testKey("k"), testKey("k")}}, time.Now); err == nil {
		t.Error("duplicate key id accepted, want an error")
	}
}

// FuzzVerify verifies arbitrary tokens. Only the issued one may be accepted, and each
// error must be an *Error.
func FuzzVerify(f *testing.F) {
	now := testStart
	ring := newTestTokens(f, &now, "k1")
	good, _, err := ring.Issue(testSession())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add("eyJhbGciOiJub25lIn0.e30.")
	f.Add("..")
	f.Fuzz(func(t *testing.T, token string) {
		s, err := ring.Verify(token, "patrons")
		var typed *Error
		switch {
		case err == nil && token != good:
			t.Errorf("accepted %q as %+v", token, s)
		case err != nil && !errors.As(err, &typed):
			t.Errorf("error %v is not an *Error", err)
		}
	})
}
