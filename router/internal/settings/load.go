package settings

import (
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/gravitational/trace"
	"github.com/tailscale/hujson"
)

// MaxFileBytes bounds a settings file, so that a wrong path (a device, a dump)
// ends in an error and not in an exhausted instance.
const MaxFileBytes = 1 << 20

// Load reads and validates the settings file at path. The error is Faults
// where the file could be read.
func Load(path string) (Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Settings{}, trace.ConvertSystemError(err)
	}
	if info.Size() > MaxFileBytes {
		return Settings{}, trace.LimitExceeded("%s has %d bytes, more than %d", path, info.Size(), MaxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, trace.ConvertSystemError(err)
	}
	return Parse(path, data)
}

// Parse reads settings from data: JSON with comments and trailing commas over
// the defaults. name stands for the file in faults. Every fault is reported at
// once, as Faults; then the Settings are zero.
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

// syntaxFault takes the place out of hujson's message, which is its only form.
func syntaxFault(name string, err error) Fault {
	f := Fault{File: name, Line: 1, Column: 1, Message: err.Error()}
	rest := strings.TrimPrefix(err.Error(), "hujson: ")
	if n, _ := fmt.Sscanf(rest, "line %d, column %d:", &f.Line, &f.Column); n == 2 {
		_, f.Message, _ = strings.Cut(rest, ": ")
	}
	return f
}
