package session

import "fmt"

// Reason is why a session was not accepted. The text is stable, for logs.
type Reason string

// The reasons.
const (
	// ReasonNoKeys: the settings have no session key, so nothing can be signed.
	ReasonNoKeys Reason = "no_session_keys"
	// ReasonInvalid: the session to issue breaks a bound.
	ReasonOutOfBounds Reason = "session_out_of_bounds"
	// ReasonMalformed: not a token, or one with what no instance signs.
	ReasonMalformed Reason = "token_malformed"
	// ReasonUnknownKey: signed by a key that is not in the ring (any more).
	ReasonUnknownKey Reason = "token_key_unknown"
	// ReasonSignature: the signature does not fit.
	ReasonBadSignature Reason = "token_signature"
	// ReasonExpired: the session's life is over.
	ReasonExpired Reason = "token_expired"
	// ReasonTeam: it belongs to another team.
	ReasonOtherTeam Reason = "token_of_another_team"
	// ReasonName: the caller's session name is not allowed.
	ReasonBadName Reason = "session_name_malformed"
	// ReasonUndecided: the log did not settle in time who set the pins. The
	// proposal is void; the same request may be sent again.
	ReasonUndecided Reason = "session_undecided"
	// ReasonRegister: the register holds what no instance writes.
	ReasonBadRegister Reason = "session_register_malformed"
)

// Error is a session that was not accepted. Compare with errors.Is to an Error
// that has the same Reason.
type Error struct {
	Reason Reason
	// Detail is for people; it never holds a token.
	Detail string
}

// Error is the reason and the detail.
func (e *Error) Error() string {
	if e.Detail == "" {
		return "session: " + string(e.Reason)
	}
	return fmt.Sprintf("session: %s: %s", e.Reason, e.Detail)
}

// Is makes errors of one reason equal.
func (e *Error) Is(target error) bool {
	other, ok := target.(*Error)
	return ok && other.Reason == e.Reason
}

func newError(reason Reason, detail string) error {
	return &Error{Reason: reason, Detail: detail}
}
