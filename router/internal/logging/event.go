// Package logging writes an instance's log, with slog, as numbered events. Every
// event is declared in the catalogue; docs/EVENTS.md has the same list.
package logging

import (
	"fmt"
	"log/slog"
	"strings"
)

// Event is one kind of log line. Its ID never changes meaning: the number of a
// retired event is not given to another one.
type Event struct {
	// ID is the number that operators search for.
	ID int
	// Name is short, in snake case, and never changes.
	Name string
	// Level at which the event is logged.
	Level slog.Level
	// Text says what happened and, if operators have to act, what to do.
	Text string
}

// Table renders the catalogue as a table in Markdown, for docs/EVENTS.md.
func Table() string {
	var b strings.Builder
	b.WriteString("| event | name | level | text |\n")
	b.WriteString("| --- | --- | --- | --- |\n")
	for _, ev := range Catalogue() {
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s |\n", ev.ID, ev.Name, strings.ToLower(ev.Level.String()), ev.Text)
	}
	return b.String()
}
