package cli

import (
	"encoding/json"
	"io"
	"slices"
	"strings"
)

// Formats of --output.
const (
	OutputText = "text"
	OutputJSON = "json"
	OutputHTML = "html"
)

// CheckOutput returns an error with StatusInvalid if format is not one of allowed.
func CheckOutput(format string, allowed ...string) error {
	if slices.Contains(allowed, format) {
		return nil
	}
	return StatusErrorf(StatusInvalid, "--output %q: want one of %s", format, strings.Join(allowed, ", "))
}

// WriteJSON writes v as indented JSON with a final line feed.
func WriteJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
