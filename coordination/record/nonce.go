package record

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/google/uuid"
)

// NewNonce returns a random nonce (a UUIDv4). Each proposal needs a new one;
// retries of a proposal reuse its nonce.
func NewNonce() Nonce {
	return Nonce(uuid.New())
}

// DeriveNonce returns a nonce that depends on nothing but parts, for a proposal
// that several processes may make, such as the publication of a manifest. A
// process that abandons such a proposal must not release the nonce, since that
// would also void the retries of the other processes.
func DeriveNonce(parts ...string) Nonce {
	h := sha256.New()
	for _, p := range parts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		h.Write(length[:])
		h.Write([]byte(p))
	}
	var n Nonce
	copy(n[:], h.Sum(nil))
	return n
}
