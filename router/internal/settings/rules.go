package settings

import (
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"regexp"
	"slices"
	"strings"
)

// Rule checks the value of a setting.
type Rule interface {
	// Range describes the allowed values for operators.
	Range() string
	// check returns what is wrong with v; empty if v is allowed.
	check(v reflect.Value) string
}

// MinSecretBytes is the minimum length of a session key: HS256 is no stronger
// than its key, and its output has this length.
const MinSecretBytes = 32

const maxNameBytes = 64

// intRule allows the integers from min to max.
type intRule struct{ min, max int64 }

func (r intRule) Range() string { return fmt.Sprintf("%d to %d", r.min, r.max) }

func (r intRule) check(v reflect.Value) string {
	if n := v.Int(); n < r.min || n > r.max {
		return fmt.Sprintf("%d is out of range: want %s", n, r.Range())
	}
	return ""
}

// floatRule allows the numbers from min to max.
type floatRule struct{ min, max float64 }

func (r floatRule) Range() string { return fmt.Sprintf("%g to %g", r.min, r.max) }

func (r floatRule) check(v reflect.Value) string {
	if n := v.Float(); n < r.min || n > r.max {
		return fmt.Sprintf("%g is out of range: want %s", n, r.Range())
	}
	return ""
}

// lengthRule allows arrays of min to max elements.
type lengthRule struct{ min, max int }

func (r lengthRule) Range() string { return fmt.Sprintf("%d to %d entries", r.min, r.max) }

func (r lengthRule) check(v reflect.Value) string {
	if n := v.Len(); n < r.min || n > r.max {
		return fmt.Sprintf("%d entries are out of range: want %s", n, r.Range())
	}
	return ""
}

// enumRule allows the strings listed.
type enumRule []string

func (r enumRule) Range() string { return strings.Join(r, ", ") }

func (r enumRule) check(v reflect.Value) string {
	if !slices.Contains(r, v.String()) {
		return fmt.Sprintf("%q is not allowed: want one of %s", v.String(), r.Range())
	}
	return ""
}

// nameRule allows names that need no escaping in a key of the log and in a log line.
type nameRule struct{ required bool }

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

func (r nameRule) Range() string {
	return fmt.Sprintf("1 to %d letters, digits, \".\", \"_\" or \"-\"", maxNameBytes)
}

func (r nameRule) check(v reflect.Value) string {
	s := v.String()
	switch {
	case s == "" && r.required:
		return "must be set"
	case len(s) > maxNameBytes || !namePattern.MatchString(s):
		return fmt.Sprintf("%q is not a valid name: want %s", s, r.Range())
	}
	return ""
}

// addressRule allows IP:port. A host name is refused: instances are reached by
// their IP addresses, and a resolver would be one more component that can fail.
type addressRule struct{}

func (addressRule) Range() string { return "IP:port; port 0 picks a free one" }

func (r addressRule) check(v reflect.Value) string {
	if _, err := netip.ParseAddrPort(v.String()); err != nil {
		return fmt.Sprintf("%q is not an address: want %s", v.String(), r.Range())
	}
	return ""
}

// urlRule allows base URLs of the platform's services.
type urlRule struct{ required bool }

func (r urlRule) Range() string {
	if r.required {
		return "an http or https URL"
	}
	return "an http or https URL, or empty"
}

func (r urlRule) check(v reflect.Value) string {
	s := v.String()
	if s == "" {
		if r.required {
			return "must be set: want " + r.Range()
		}
		return ""
	}
	u, err := url.Parse(s)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return fmt.Sprintf("%q is not a base URL: want %s", s, r.Range())
	}
	return ""
}

// pathRule allows any string; whether the file exists is not checked.
type pathRule struct{}

func (pathRule) Range() string { return "a path, or empty" }

func (pathRule) check(reflect.Value) string { return "" }

// secretRule allows base64 of a key of at least MinSecretBytes. Its messages never
// contain the value.
type secretRule struct{}

func (secretRule) Range() string { return fmt.Sprintf("at least %d bytes", MinSecretBytes) }

func (r secretRule) check(v reflect.Value) string {
	key, err := base64.StdEncoding.DecodeString(v.String())
	if err != nil {
		return "is not valid base64"
	}
	if len(key) < MinSecretBytes {
		return fmt.Sprintf("has %d bytes: want %s", len(key), r.Range())
	}
	return ""
}

// hashRule allows a SHA-256 sum in hex.
type hashRule struct{}

const sha256Bytes = 32

func (hashRule) Range() string { return "64 hex digits" }

func (r hashRule) check(v reflect.Value) string {
	sum, err := hex.DecodeString(v.String())
	if err != nil || len(sum) != sha256Bytes {
		return "is not a SHA-256 sum: want " + r.Range()
	}
	return ""
}
