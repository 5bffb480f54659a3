package demo

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
)

// Runs the whole product on loopback with a roll-out under load. No promise may
// break, however the requests interleave, with or without faults of the
// platform and the backend servers.
func TestNoPromiseBreaks(t *testing.T) {
	for _, faults := range []bool{false, true} {
		var log bytes.Buffer
		report, err := Run(t.Context(), Config{Requests: 150, Workers: 16, Seed: 1, Faults: faults, Log: &syncWriter{w: &log}})
		if err != nil {
			t.Fatal(err)
		}
		var text strings.Builder
		if err := report.Write(&text); err != nil {
			t.Fatal(err)
		}
		if !report.Held() {
			t.Errorf("faults %v: a promise was broken:\n%s\nlogs:\n%s", faults, text.String(), log.String())
		}
		if report.Bills.Completed < 100 || report.RolloutMS == 0 {
			t.Errorf("faults %v: fewer than 100 requests completed, or no roll-out:\n%s", faults, text.String())
		}
	}
}

// syncWriter serialises the writes of two instances' logs.
type syncWriter struct {
	mu sync.Mutex
	w  io.Writer
}

func (s *syncWriter) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.w.Write(p)
}
