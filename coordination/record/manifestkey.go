package record

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// ManifestKey returns the register key of a manifest: its generation and the
// digest of its parent, the manifest that it replaces (empty for generation 1).
// Two publishers that start from the same parent propose the same key, so only
// one of them wins.
func ManifestKey(generation uint64, parent string) Key {
	return Key(string(ClassManifest) + "/" + strconv.FormatUint(generation, 10) + "-" + parent)
}

// ParseManifestKey is the inverse of ManifestKey. Errors wrap ErrInvalid. Only
// the canonical form of a key is accepted ("manifest/01-" is not).
func ParseManifestKey(k Key) (generation uint64, parent string, err error) {
	rest, ok := strings.CutPrefix(string(k), string(ClassManifest)+"/")
	if !ok {
		return 0, "", trace.Wrap(ErrInvalid, "not a manifest key")
	}
	number, parent, ok := strings.Cut(rest, "-")
	if !ok {
		return 0, "", trace.Wrap(ErrInvalid, "manifest key without a parent")
	}
	generation, err = strconv.ParseUint(number, 10, 64)
	if err != nil || ManifestKey(generation, parent) != k {
		return 0, "", trace.Wrap(ErrInvalid, "manifest key with an invalid generation")
	}
	return generation, parent, nil
}

// ManifestDigest returns the SHA-256 digest of a manifest's bytes in hex.
func ManifestDigest(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:])
}
