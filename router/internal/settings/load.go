package settings

import (
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/gravitational/trace"
	"github.com/tailscale/hujson"
)

// MaxFileBytes bounds a settings file, so that a wrong path, such as that of a dump,
// gives an error instead of exhausting the instance's memory. It is compared with the
// size that the file system states. A device such as /dev/zero states 0, so it passes
// and is read without a bound.
const MaxFileBytes = 1 << 20

// Load reads and validates the settings file at path. An error is Faults if the
// file could be read but is invalid; otherwise a trace error, LimitExceeded for a
// file of more than MaxFileBytes.
func Load(path string) (Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Settings{}, trace.ConvertSystemError(err)
	}
	if info.Size() > MaxFileBytes {
		return Settings{}, trace.LimitExceeded("%s has %d bytes, at most %d are allowed", path, info.Size(), MaxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, trace.ConvertSystemError(err)
	}
	return Parse(path, data)
}

// Parse reads settings from data: JSON with comments and trailing commas, over
// the defaults. name is the file's name in faults. If there are faults, all are
// returned together as an error of type Faults, and the Settings are zero.
func Parse(name string, data []byte) (Settings, error) {
	faults := &faultList{file: name, data: data, faulty: map[string]bool{}}
	root, err := hujson.Parse(data)
	if err != nil {
		return Settings{}, Faults{syntaxFault(name, err)}
	}
	d := &decoder{faults: faults, offsets: map[string]int{}}
	s := Default()
	d.value(root, reflect.ValueOf(&s).Elem(), "")
	if !faults.faulty[""] {
		d.checkRanges(&s)
		d.checkConsistency(&s)
	}
	if faults := faults.sorted(); len(faults) > 0 {
		return Settings{}, faults
	}
	return s, nil
}

// syntaxFault parses the line and column out of hujson's message, the only place
// where hujson gives them.
func syntaxFault(name string, err error) Fault {
	f := Fault{File: name, Line: 1, Column: 1, Message: err.Error()}
	rest := strings.TrimPrefix(err.Error(), "hujson: ")
	if n, _ := fmt.Sscanf(rest, "line %d, column %d:", &f.Line, &f.Column); n == 2 {
		_, f.Message, _ = strings.Cut(rest, ": ")
	}
	return f
}
