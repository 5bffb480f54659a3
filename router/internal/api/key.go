package api

import (
	"net/http"
	"time"

	"github.com/google/uuid"

	"masticplank.example/router/internal/outcome"
	"masticplank.example/router/internal/wire"
)

// identity is a request's Idempotency-Key.
type idempotencyKey struct {
	id string
	// at is the time that a UUIDv7 carries; it bounds the claim window.
	timestamp time.Time
	// minted keys were made here, since the caller gave none.
	generated bool
}

// requestKey reads the caller's Idempotency-Key, a UUIDv7. Without one it mints
// a key, unless the call needs the caller's: only the caller can say that two
// requests are one.
func readIdempotencyKey(r *http.Request, required bool) (idempotencyKey, *outcome.Outcome) {
	text := r.Header.Get(wire.HeaderIdempotencyKey)
	if text == "" && required {
		o := routerRefusal("key_required", "this call is not idempotent: send a UUIDv7 as "+wire.HeaderIdempotencyKey)
		return idempotencyKey{}, &o
	}
	if text == "" {
		return generateKey(), nil
	}
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		o := routerRefusal("key_malformed", wire.HeaderIdempotencyKey+" is not a UUIDv7")
		return idempotencyKey{}, &o
	}
	return idempotencyKey{id: id.String(), timestamp: keyTime(id)}, nil
}

func generateKey() idempotencyKey {
	id := uuid.Must(uuid.NewV7())
	return idempotencyKey{id: id.String(), timestamp: keyTime(id), generated: true}
}

func keyTime(id uuid.UUID) time.Time {
	seconds, nanos := id.Time().UnixTime()
	return time.Unix(seconds, nanos)
}
