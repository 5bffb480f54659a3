// Package session keeps a caller's session on the versions that it began with.
//
// A session is carried by a signed token, so that no instance keeps anything
// for it, or, for callers that carry only a name, by a first-writer-wins
// register of the platform's log. In both, the pins are set once and never
// change; they end with the session's life.
package session

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Session is what a token or a register holds.
type Session struct {
	// Team that the session belongs to; no other team may use it.
	Team string `json:"team"`
	// ID is unique in the team: minted for a token, the caller's for a name.
	ID string `json:"sid"`
	// Pins maps models to the version ("model@version") that answers them.
	Pins map[string]string `json:"pins"`
	// ShareHash places the session in a roll-out, 0 up to but not 1.
	RolloutPosition float64 `json:"share"`
}

// Bounds on a session, so that neither a token nor a register grows past what
// every request can afford to carry and check.
const (
	// MaxIDBytes bounds a session's id or name.
	MaxIDBytes = 128
	// MaxPins bounds the pins: four times the models of the largest target.
	MaxPins = 64
	// maxNameBytes bounds a model's or version's name.
	maxModelNameBytes = 128
)

// ShareHash spreads sessions evenly over 0 to 1. The same session gets the
// same value at every instance, so raising a version's share only adds.
func RolloutPosition(team, id string) float64 {
	const bits = 53 // of a float64's mantissa
	sum := xxhash.Sum64String(team + "\x00" + id)
	return float64(sum>>(64-bits)) / (1 << bits)
}

// Pin is the version that the session has for model; false for none.
func (s Session) Pin(model string) (version string, ok bool) {
	version, ok = s.Pins[model]
	return version, ok
}

// check says what is wrong with s; empty means nothing.
func (s Session) violation() string {
	switch {
	case s.Team == "" || len(s.Team) > maxModelNameBytes:
		return "team missing or too long"
	case !ValidName(s.ID):
		return "id missing, too long or with characters that are not allowed"
	case len(s.Pins) > MaxPins:
		return "too many pins"
	case !(s.RolloutPosition >= 0 && s.RolloutPosition < 1):
		return "share out of range"
	}
	for model, version := range s.Pins {
		if !isVersionOf(model, version) {
			return "pin of a model to what is no version of it"
		}
	}
	return ""
}

func isVersionOf(model, version string) bool {
	short := len(model) <= maxModelNameBytes && len(version) <= maxModelNameBytes
	return short && model != "" && strings.HasPrefix(version, model+"@")
}

// ValidName says whether a caller's session name can stand in a register's
// key: 1 to MaxIDBytes of letters, digits, ".", "_", ":" and "-".
func ValidName(name string) bool {
	if name == "" || len(name) > MaxIDBytes {
		return false
	}
	for _, c := range []byte(name) {
		if !isNameByte(c) {
			return false
		}
	}
	return true
}

func isNameByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	default:
		return strings.IndexByte("._:-", c) >= 0
	}
}
