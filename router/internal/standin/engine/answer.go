package engine

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"masticplank.example/router/internal/wire"
)

// Lengths of answers in tokens, of which the first names the quality.
const (
	// MaxTokens is the longest answer.
	MaxTokens = 1 << 16
	// minOwnLength and ownLengthSpread shape the length of an answer whose
	// request names none: from minOwnLength up, by the prompt's hash.
	minDefaultLength   = 16
	defaultLengthRange = 48
)

// qualityMark starts the first token of each answer.
const qualityMark = "q="

// answer generates the tokens of one answer. They depend on version and prompt
// only, so that a caller can tell its own whole answer from any other.
type answer struct {
	seed       uint64
	length     int
	quality    float64
	naturalEnd bool
}

func newAnswer(version string, messages []wire.Message, maxTokens int, quality float64) answer {
	sum := xxhash.New()
	fmt.Fprintf(sum, "%q", version)
	for _, m := range messages {
		fmt.Fprintf(sum, "%q%q", m.Role, m.Content)
	}
	a := answer{seed: sum.Sum64(), quality: quality}
	if maxTokens > 0 {
		a.length = min(maxTokens, MaxTokens)
		return a
	}
	a.length = minDefaultLength + int(a.seed%defaultLengthRange)
	a.naturalEnd = true
	return a
}

// token returns the i-th token, with the space that parts it from the last.
func (a answer) token(i int) string {
	if i == 0 {
		return qualityMark + strconv.FormatFloat(a.quality, 'f', 3, 64)
	}
	// The length stands in the last token, so that a shortened answer shows.
	if i == a.length-1 {
		return fmt.Sprintf(" end-%d-%x", a.length, a.seed)
	}
	return " " + strconv.FormatUint(a.mix(uint64(i)), 36)
}

// mix derives the i-th word from the seed (the finalizer of splitmix64).
func (a answer) mix(i uint64) uint64 {
	z := a.seed + i*0x9e3779b97f4a7c15
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return (z ^ (z >> 31)) & 0xffffff
}

func (a answer) finishReason() string {
	if a.naturalEnd {
		return "stop"
	}
	return "length"
}

// Expected returns the text that every sound engine answers with, without the
// first token, which names the quality and may change while a version runs.
func ExpectedText(version string, messages []wire.Message, maxTokens int) string {
	a := newAnswer(version, messages, maxTokens, 0)
	var text strings.Builder
	for i := 1; i < a.length; i++ {
		text.WriteString(a.token(i))
	}
	return text.String()
}

// Split parts an answer's text into the quality that its first token names and
// the rest, which Expected gives. It reports false for a text of another form.
func ParseAnswer(text string) (quality float64, rest string, ok bool) {
	marked, found := strings.CutPrefix(text, qualityMark)
	if !found {
		return 0, "", false
	}
	number, _, _ := strings.Cut(marked, " ")
	quality, err := strconv.ParseFloat(number, 64)
	if err != nil {
		return 0, "", false
	}
	return quality, marked[len(number):], true
}

// Check reports whether text is the whole answer of version to messages.
func IsExpectedAnswer(text, version string, messages []wire.Message, maxTokens int) bool {
	_, rest, ok := ParseAnswer(text)
	return ok && rest == ExpectedText(version, messages, maxTokens)
}
