package settings

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/gravitational/trace"
)

const minimal = `{
  "instance": "a", "domain": "d", // comments stay
  "platform": {"log_url": "http://127.0.0.1:1", "list_url": "http://127.0.0.1:2",},
}`

// TestParseKeepsDefaults guards against a file that changes settings which it leaves out.
func TestParseKeepsDefaults(t *testing.T) {
	got, err := Parse("m", []byte(minimal))
	if err != nil {
		t.Fatal(err)
	}
	want := Default()
	want.Instance, want.Domain = "a", "d"
	want.Platform.LogURL, want.Platform.ListURL = "http://127.0.0.1:1", "http://127.0.0.1:2"
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestParseReportsEveryFaultAtItsPlace guards against a check that stops at the first
// fault, reports a consequence of another fault, or names a wrong line and column.
func TestParseReportsEveryFaultAtItsPlace(t *testing.T) {
	const file = `{
  "instance": "",
  "domian": "d",
  "listen": {"api": "localhost:80", "peer": "0.0.0.0", "admin": "127.0.0.1:0"},
  "platform": {"append_budget": "many", "linger_ms": 1.5,
    "log_url": "http://127.0.0.1:1", "log_url": "http://127.0.0.1:1", "list_url": "nowhere"},
  "limits": 7,
  "log": {"format": null},
  "shutdown": {"drain_ms": -1},
  "session": {"keys": [
    {"id": "k", "secret": "c2hvcnQ="},
    {"id": "k", "secret": "%%"}, 3]},
  "peer": {"cert_file": "c"},
  "decision": {"max_ejected": 1.5},
  "operator_key_hashes": ["abc"],
}`
	s, err := Parse("f.jsonc", []byte(file))
	var faults Faults
	if !errors.As(err, &faults) {
		t.Fatalf("got %v, want Faults", err)
	}
	if !reflect.DeepEqual(s, Settings{}) {
		t.Errorf("settings returned together with faults: %+v", s)
	}
	want := []string{
		"f.jsonc:1:1: domain: must be set",
		"f.jsonc:2:15: instance: must be set",
		`f.jsonc:3:3: domian: unknown key; known here: instance, domain,`,
		`f.jsonc:4:21: listen.api: "localhost:80" is not an address`,
		`f.jsonc:4:45: listen.peer: "0.0.0.0" is not an address`,
		"f.jsonc:5:33: platform.append_budget: want an integer, got a string",
		"f.jsonc:5:54: platform.linger_ms: want an integer, got the number 1.5",
		"f.jsonc:6:38: platform.log_url: given twice",
		`f.jsonc:6:83: platform.list_url: "nowhere" is not a base URL`,
		"f.jsonc:7:13: limits: want an object, got the number 7",
		"f.jsonc:8:21: log.format: want a string, got null",
		"f.jsonc:9:28: shutdown.drain_ms: -1 is out of range: want 0 to 3600000",
		"f.jsonc:11:27: session.keys[0].secret: has 5 bytes",
		`f.jsonc:12:12: session.keys[1].id: "k" is given twice`,
		"f.jsonc:12:27: session.keys[1].secret: is not valid base64",
		"f.jsonc:12:34: session.keys[2]: want an object",
		"f.jsonc:13:11: peer: cert_file, key_file and ca_file must be set together",
		"f.jsonc:14:31: decision.max_ejected: 1.5 is out of range: want 0 to 0.9",
		"f.jsonc:15:27: operator_key_hashes[0]: is not a SHA-256 sum",
	}
	got := strings.Split(faults.Error(), "\n")
	if len(got) != len(want) {
		t.Errorf("got %d faults, want %d", len(got), len(want))
	}
	for i := range min(len(got), len(want)) {
		if !strings.HasPrefix(got[i], want[i]) {
			t.Errorf("fault %d:\n got %s\nwant %s...", i, got[i], want[i])
		}
	}
}

// TestPeersInPlaintextOnLoopbackOnly guards against an instance that accepts plaintext
// from other machines, also through an unspecified address (0.0.0.0 or ::), which listens
// on all interfaces.
func TestPeersInPlaintextOnLoopbackOnly(t *testing.T) {
	const tls = `, "peer": {"cert_file": "c", "key_file": "k", "ca_file": "a"}`
	for _, c := range []struct {
		listen, peer string
		ok           bool
	}{
		{"127.0.0.1:0", "", true},
		{"[::1]:9", "", true},
		{"[::ffff:127.0.0.1]:9", "", true},
		{"10.0.0.1:9", "", false},
		{"0.0.0.0:9", "", false},
		{"[::]:9", "", false},
		{"10.0.0.1:9", tls, true},
	} {
		file := strings.TrimSuffix(minimal, ",\n}") + `, "listen": {"peer": "` + c.listen + `"}` + c.peer + "}"
		if _, err := Parse("p", []byte(file)); (err == nil) != c.ok {
			t.Errorf("%s%s: got %v, want ok %v", c.listen, c.peer, err, c.ok)
		}
	}
}

// TestSyntaxFaultHasItsPlace guards against a change of hujson's message, out of which the
// line and column are parsed.
func TestSyntaxFaultHasItsPlace(t *testing.T) {
	_, err := Parse("s", []byte("{\n  \"instance\" 5}"))
	var faults Faults
	if !errors.As(err, &faults) || faults[0].Line != 2 || faults[0].Column != 14 {
		t.Errorf("got %#v, want a fault at 2:14", err)
	}
}

// TestLoad guards against a missing file and one that is too large being reported as
// invalid settings.
func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.jsonc")
	if _, err := Load(path); !trace.IsNotFound(err) {
		t.Errorf("missing file: got %v, want NotFound", err)
	}
	if err := os.WriteFile(path, []byte(minimal), 0o600); err != nil {
		t.Fatal(err)
	}
	if s, err := Load(path); err != nil || s.Instance != "a" {
		t.Errorf("got instance %q, error %v; want \"a\" and no error", s.Instance, err)
	}
	if err := os.WriteFile(path, make([]byte, MaxFileBytes+1), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path); !trace.IsLimitExceeded(err) {
		t.Errorf("file that is too large: got %v, want LimitExceeded", err)
	}
}

// FuzzParse looks for input that makes Parse panic, or return a fault without a
// line and column.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	for _, name := range []string{ExampleCoop, ExampleAgency} {
		data, err := Example(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := Parse("z", data)
		var faults Faults
		if err == nil || !errors.As(err, &faults) {
			return
		}
		for _, fault := range faults {
			if fault.Line < 1 || fault.Column < 1 {
				t.Errorf("fault without a line and column: %#v", fault)
			}
		}
	})
}
