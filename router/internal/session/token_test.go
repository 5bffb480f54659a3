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

var start = time.Date(2026, 9, 1, 8, 0, 0, 0, time.UTC)

func key(id string) settings.SessionKey {
	secret := strings.Repeat(id+"-", settings.MinSecretBytes)
	return settings.SessionKey{ID: id, Secret: base64.StdEncoding.EncodeToString([]byte(secret))}
}

func tokens(t testing.TB, now *time.Time, ids ...string) *Tokens {
	t.Helper()
	cfg := settings.Session{TTLSeconds: 3600}
	for _, id := range ids {
		cfg.Keys = append(cfg.Keys, key(id))
	}
	out, err := NewTokens(cfg, func() time.Time { return *now })
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func draft() Session {
	return Session{
		Team: "patrons", ID: "draft-1", ShareHash: ShareHash("patrons", "draft-1"),
		Pins: map[string]string{"laine": "laine@3"},
	}
}

func TestIssuedTokenVerifiesAtEveryInstance(t *testing.T) {
	now := start
	token, expires, err := tokens(t, &now, "k1", "k0").Issue(draft())
	if err != nil || !expires.Equal(start.Add(time.Hour)) {
		t.Fatalf("got %v, %v", expires, err)
	}
	got, err := tokens(t, &now, "k2", "k1").Verify(token, "patrons")
	if err != nil || !reflect.DeepEqual(got, draft()) {
		t.Errorf("got %+v, %v", got, err)
	}
	if !LooksLikeToken(token) || LooksLikeToken("eyJ.a") || LooksLikeToken("draft.1.2") {
		t.Error("LooksLikeToken mistakes a token for a name")
	}
}

// forge signs claims as no instance would.
func forge(t *testing.T, method jwt.SigningMethod, kid any, secret any, change func(*claims)) string {
	t.Helper()
	c := claims{Session: draft(), RegisteredClaims: jwt.RegisteredClaims{
		Issuer: issuer, ExpiresAt: jwt.NewNumericDate(start.Add(time.Hour)),
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

func TestVerifyRefuses(t *testing.T) {
	now := start
	ring := tokens(t, &now, "k1")
	good, _, err := ring.Issue(draft())
	if err != nil {
		t.Fatal(err)
	}
	secret := ring.keys["k1"]
	hs := jwt.SigningMethodHS256
	tampered := strings.Split(good, ".")
	tampered[1] = strings.Split(forge(t, hs, "k1", []byte("x"), func(c *claims) { c.Team = "ventes" }), ".")[1]
	for _, c := range []struct {
		name, token, team string
		now               time.Time
		want              Reason
	}{
		{"other team", good, "ventes", start, ReasonTeam},
		{"expired", good, "patrons", start.Add(time.Hour), ReasonExpired},
		{"tampered", strings.Join(tampered, "."), "patrons", start, ReasonSignature},
		{"key gone", forge(t, hs, "k0", secret, nil), "patrons", start, ReasonUnknownKey},
		{"no key id", forge(t, hs, nil, secret, nil), "patrons", start, ReasonUnknownKey},
		{"key id no string", forge(t, hs, 7, secret, nil), "patrons", start, ReasonUnknownKey},
		{"wrong secret", forge(t, hs, "k1", []byte("guess"), nil), "patrons", start, ReasonSignature},
		{"algorithm none", forge(t, jwt.SigningMethodNone, "k1", jwt.UnsafeAllowNoneSignatureType, nil), "patrons", start, ReasonSignature},
		{"algorithm HS512", forge(t, jwt.SigningMethodHS512, "k1", secret, nil), "patrons", start, ReasonSignature},
		{"no expiry", forge(t, hs, "k1", secret, func(c *claims) { c.ExpiresAt = nil }), "patrons", start, ReasonMalformed},
		{"other issuer", forge(t, hs, "k1", secret, func(c *claims) { c.Issuer = "x" }), "patrons", start, ReasonMalformed},
		{"pin of another model", forge(t, hs, "k1", secret, func(c *claims) { c.Pins = map[string]string{"laine": "lin@1"} }), "patrons", start, ReasonMalformed},
		{"share of 1", forge(t, hs, "k1", secret, func(c *claims) { c.ShareHash = 1 }), "patrons", start, ReasonMalformed},
		{"empty", "", "patrons", start, ReasonMalformed},
		{"without signature", good[:strings.LastIndexByte(good, '.')+1], "patrons", start, ReasonSignature},
		{"two parts", good[:strings.LastIndexByte(good, '.')], "patrons", start, ReasonMalformed},
		{"too long", strings.Repeat("e", MaxTokenBytes+1), "patrons", start, ReasonMalformed},
	} {
		now = c.now
		got, err := ring.Verify(c.token, c.team)
		if !errors.Is(err, &Error{Reason: c.want}) || got.Team != "" {
			t.Errorf("%s: got %+v, %v, want %s", c.name, got, err, c.want)
		}
	}
}

func TestIssueRefuses(t *testing.T) {
	now := start
	if _, _, err := tokens(t, &now).Issue(draft()); !errors.Is(err, &Error{Reason: ReasonNoKeys}) {
		t.Errorf("no keys: got %v", err)
	}
	wide := draft()
	for i := range MaxPins + 1 {
		model := strings.Repeat("m", i+1)
		wide.Pins[model] = model + "@1"
	}
	if _, _, err := tokens(t, &now, "k").Issue(wide); !errors.Is(err, &Error{Reason: ReasonInvalid}) {
		t.Errorf("too many pins: got %v", err)
	}
	if _, err := NewTokens(settings.Session{Keys: []settings.SessionKey{{ID: "k", Secret: "c2hvcnQ="}}}, time.Now); err == nil {
		t.Error("short key accepted")
	}
	if _, err := NewTokens(settings.Session{Keys: []settings.SessionKey{key("k"), key("k")}}, time.Now); err == nil {
		t.Error("doubled key id accepted")
	}
}

func FuzzVerify(f *testing.F) {
	now := start
	ring := tokens(f, &now, "k1")
	good, _, err := ring.Issue(draft())
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
			t.Errorf("untyped error %v", err)
		}
	})
}
