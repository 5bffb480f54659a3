package wire

import (
	"slices"
	"strings"
	"testing"
)

// TestPromptBlocksShareExactlyTheCommonPrefix guards against hashes that match
// although the prompts before them differ: requests would be routed to a server for a
// cached prefix that it does not have.
func TestPromptBlocksShareExactlyTheCommonPrefix(t *testing.T) {
	prompt := func(text string) []Message { return []Message{{Role: "user", Content: text}} }
	base := strings.Repeat("abcdefgh", 40)
	full := PromptBlocks(prompt(base))
	if want := (len("user") + 1 + len(base) + 1) / blockBytes; len(full) != want {
		t.Fatalf("%d blocks, want %d", len(full), want)
	}
	longer := PromptBlocks(prompt(base + "more"))
	if !slices.Equal(longer[:len(full)], full) {
		t.Error("a longer prompt does not share its prefix's blocks")
	}
	changed := PromptBlocks(prompt("X" + base[1:]))
	for i := range changed {
		if changed[i] == full[i] {
			t.Errorf("block %d is the same after a change before it", i)
		}
	}
	twoMessages := []Message{{Role: "user", Content: base[:200]}, {Role: "user", Content: base[200:]}}
	if slices.Equal(PromptBlocks(twoMessages), full) {
		t.Error("the boundary between messages does not affect the hashes")
	}
	if got := PromptBlocks(prompt("short")); len(got) != 0 {
		t.Errorf("a partial block has hashes %v, want none", got)
	}
}
