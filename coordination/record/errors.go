package record

import "errors"

// Errors of the codec. Encode and Decode wrap them; callers use errors.Is.
var (
	// ErrMalformed means that the bytes are not a batch of this version.
	ErrMalformed = errors.New("record: malformed batch")
	// ErrTooLarge means that a batch passes one of the limits below.
	ErrTooLarge = errors.New("record: batch beyond a limit")
	// ErrInvalid means that a record's fields contradict its kind.
	ErrInvalid = errors.New("record: invalid record")
)
