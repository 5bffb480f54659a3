package connlimit

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// However a head is cut, its bytes and lines are counted, and what follows its end is not.
func TestHeadCounterCountsTheHead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		end := rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "end")
		lines := rapid.SliceOfN(rapid.StringMatching(`[a-z:]{1,20}`), 1, 20).Draw(t, "lines")
		head := strings.Join(lines, end) + end + end
		text := head + rapid.StringMatching(`[a-z\n]{0,50}`).Draw(t, "rest")
		var h headCounter
		for len(text) > 0 && !h.complete {
			n := rapid.IntRange(1, len(text)).Draw(t, "part")
			h.add([]byte(text[:n]))
			text = text[n:]
		}
		if h.bytes != len(head) || h.lines != len(lines)+1 {
			t.Fatalf("%d bytes and %d lines, want %d and %d", h.bytes, h.lines, len(head), len(lines)+1)
		}
	})
}

func TestEmptyLinesBeforeAHeadCount(t *testing.T) {
	var h headCounter
	for range 10 {
		h.add([]byte(strings.Repeat("\r\n", 100)))
	}
	if h.bytes != 2000 || h.complete {
		t.Errorf("%d bytes, complete %t; want 2000, incomplete", h.bytes, h.complete)
	}
}
