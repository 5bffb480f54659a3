package standincmd

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
)

// TestEachStandinServesAndStops guards against a stand-in that does not print its
// address as the first line, does not serve /faults, or returns an error when its
// context ends.
func TestEachStandinServesAndStops(t *testing.T) {
	for _, name := range []string{"log", "instances", "engine", "service", "rating"} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			reader, writer := io.Pipe()
			cmd := New()
			cmd.SetArgs([]string{name, "--listen", "127.0.0.1:0"})
			cmd.SetOut(writer)
			done := make(chan error, 1)
			go func() { done <- cmd.ExecuteContext(ctx) }()
			line, err := bufio.NewReader(reader).ReadString('\n')
			if err != nil {
				t.Fatal(err)
			}
			addr, ok := strings.CutPrefix(strings.TrimSpace(line), "listening on ")
			if !ok {
				t.Fatalf("first line %q, want \"listening on ADDRESS\"", line)
			}
			resp, err := http.Get("http://" + addr + "/faults")
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				t.Errorf("GET /faults: status %d, want 200", resp.StatusCode)
			}
			cancel()
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
}

// TestBadFlagsAreRefused guards against a stand-in that ignores a wrong flag or argument
// and starts nevertheless.
func TestBadFlagsAreRefused(t *testing.T) {
	for _, args := range [][]string{
		{"engine", "--version", "small"},
		{"engine", "--version", "small@1,quality=2"},
		{"engine", "--version", "small@1,first=-1s"},
		{"engine", "--version", "small@1,colour=red"},
		{"log", "--listen", "nowhere"},
		{"service", "extra"},
	} {
		cmd := New()
		cmd.SetArgs(args)
		cmd.SetOut(io.Discard)
		cmd.SetErr(io.Discard)
		if err := cmd.ExecuteContext(t.Context()); err == nil {
			t.Errorf("%v: no error, want one", args)
		}
	}
}
