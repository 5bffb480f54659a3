package settings

import (
	"fmt"
	"slices"
	"strings"
)

// Fault is one error in a settings file.
type Fault struct {
	// File is the name given to Parse.
	File string `json:"file"`
	// Line and Column count from 1; Column counts bytes.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Path names the setting, such as "limits.max_body_bytes"; empty for a syntax
	// error or a fault of the whole file.
	Path string `json:"path,omitempty"`
	// Message says what is wrong and what is allowed.
	Message string `json:"message"`
}

// String returns "file:line:column: path: message".
func (f Fault) String() string {
	prefix := fmt.Sprintf("%s:%d:%d: ", f.File, f.Line, f.Column)
	if f.Path == "" {
		return prefix + f.Message
	}
	return prefix + f.Path + ": " + f.Message
}

// Faults are all errors in a settings file, in the order of the file.
type Faults []Fault

// Error lists the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// faultList collects faults with their byte offsets while a file is read. faulty is
// the set of paths with a fault.
type faultList struct {
	file   string
	data   []byte
	found  []offsetFault
	faulty map[string]bool
}

type offsetFault struct {
	offset        int
	path, message string
}

// add records a fault of the setting at path, and marks the path as faulty, so
// that its value is not checked any further.
func (l *faultList) add(offset int, path, format string, args ...any) {
	l.faulty[path] = true
	l.found = append(l.found, offsetFault{offset, path, fmt.Sprintf(format, args...)})
}

// sorted returns the faults in the order of the file.
func (l *faultList) sorted() Faults {
	slices.SortStableFunc(l.found, func(a, b offsetFault) int { return a.offset - b.offset })
	var out Faults
	for _, f := range l.found {
		line, column := lineColumn(l.data, f.offset)
		out = append(out, Fault{File: l.file, Line: line, Column: column, Path: f.path, Message: f.message})
	}
	return out
}

// lineColumn converts a byte offset into a line and column, both counted from 1.
func lineColumn(data []byte, offset int) (line, column int) {
	before := string(data[:min(offset, len(data))])
	line = 1 + strings.Count(before, "\n")
	column = len(before) - strings.LastIndexByte(before, '\n')
	return line, column
}
