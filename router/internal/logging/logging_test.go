package logging

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"log/slog"
	"os"
	"slices"
	"strings"
	"testing"

	"masticplank.example/router/internal/settings"
)

// TestEventsPageHoldsTheCatalogue guards against a page for operators that is out of date
// with the catalogue.
func TestEventsPageHoldsTheCatalogue(t *testing.T) {
	page, err := os.ReadFile("../../../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.HasSuffix(string(page), Table()) {
		t.Errorf("docs/EVENTS.md must end with:\n%s", Table())
	}
}

// TestNumbersAndNamesAreUnique guards against an event that operators mistake for another
// one, because it has the number or name of that one or a retired number, and against an
// event without a text.
func TestNumbersAndNamesAreUnique(t *testing.T) {
	names := map[string]bool{}
	last := 0
	for _, ev := range Catalogue() {
		if ev.ID <= last {
			t.Errorf("%d %s: number not above that of the event listed before", ev.ID, ev.Name)
		}
		if slices.Contains(Retired(), ev.ID) {
			t.Errorf("%d %s has a retired number", ev.ID, ev.Name)
		}
		if names[ev.Name] || ev.Text == "" {
			t.Errorf("%d %s: name used twice or text missing", ev.ID, ev.Name)
		}
		last = ev.ID
		names[ev.Name] = true
	}
}

// TestEveryDeclaredEventIsInTheCatalogue guards against an event that is declared
// but missing in Catalogue, and so logged without documentation. It counts the
// declarations in the source.
func TestEveryDeclaredEventIsInTheCatalogue(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "catalogue.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	declared := 0
	ast.Inspect(file, func(n ast.Node) bool {
		if spec, ok := n.(*ast.ValueSpec); ok && strings.HasPrefix(spec.Names[0].Name, "Event") {
			declared++
		}
		return true
	})
	if declared != len(Catalogue()) {
		t.Errorf("%d events declared, %d in the catalogue, want the same number", declared, len(Catalogue()))
	}
}

// TestEmit guards against events below the level that are written, against a line without
// its attributes in either format, and against a nil Logger that panics.
func TestEmit(t *testing.T) {
	var out bytes.Buffer
	log := New(&out, settings.Log{Format: settings.FormatJSON, Level: settings.LevelInfo}).
		With(slog.String(KeyInstance, "a"))
	ctx := context.Background()
	log.Emit(ctx, EventRequestRefused)
	log.Emit(ctx, EventPeerLost, slog.String("peer", "b"), Err(errors.New("gone")))
	var got map[string]any
	if err := json.Unmarshal(out.Bytes(), &got); err != nil {
		t.Fatalf("%v in %q", err, out.String())
	}
	delete(got, slog.TimeKey)
	want := map[string]any{
		"level": "WARN", "msg": EventPeerLost.Text, "event": 501.0, "name": "peer_lost",
		"instance": "a", "peer": "b", "error": "gone",
	}
	for k, v := range want {
		if got[k] != v {
			t.Errorf("%s: got %v, want %v", k, got[k], v)
		}
	}
	out.Reset()
	text := New(&out, settings.Log{Format: settings.FormatText, Level: settings.LevelDebug})
	text.Emit(ctx, EventRequestRefused, Err(nil))
	if !strings.Contains(out.String(), "event=300 name=request_refused") {
		t.Errorf("got %q, want a line with event=300 name=request_refused", out.String())
	}
	var none *Logger
	none.With().Emit(ctx, EventStart)
}
