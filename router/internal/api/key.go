package api

import (
	"net/http"
	"time"

	"github.com/google/uuid"

	"masticplank.example/router/internal/outcome"
	"masticplank.example/router/internal/wire"
)

// identity is a request's Idempotency-Key.
type identity struct {
	id string
	// at is the time that a UUIDv7 carries; it bounds the claim window.
	at time.Time
	// minted keys were made here, since the caller gave none.
	minted bool
}

// requestKey reads the caller's Idempotency-Key, a UUIDv7. Without one it mints
// a key, unless the call needs the caller's: only the caller can say that two
// requests are one.
func requestKey(r *http.Request, required bool) (identity, *outcome.Outcome) {
	text := r.Header.Get(wire.HeaderIdempotencyKey)
	if text == "" && required {
		o := refused("key_required", "this call is not idempotent: send a UUIDv7 as "+wire.HeaderIdempotencyKey)
		return identity{}, &o
	}
	if text == "" {
		return mintKey(), nil
	}
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		o := refused("key_malformed", wire.HeaderIdempotencyKey+" is not a UUIDv7")
		return identity{}, &o
	}
	return identity{id: id.String(), at: keyTime(id)}, nil
}

func mintKey() identity {
	id := uuid.Must(uuid.NewV7())
	return identity{id: id.String(), at: keyTime(id), minted: true}
}

func keyTime(id uuid.UUID) time.Time {
	seconds, nanos := id.Time().UnixTime()
	return time.Unix(seconds, nanos)
}
