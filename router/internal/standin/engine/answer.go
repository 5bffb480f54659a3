package engine

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"masticplank.example/router/internal/wire"
)

// Lengths of answers in tokens, including the first token, which states the
// quality.
const (
	// MaxTokens is the length of the longest answer.
	MaxTokens = 1 << 16
	// The length of an answer without MaxTokens in the request is
	// minDefaultLength plus the hash of version and prompt modulo
	// defaultLengthRange.
	minDefaultLength   = 16
	defaultLengthRange = 48
)

// qualityMark is the prefix of the first token of each answer.
const qualityMark = "q="

// answer generates the tokens of one answer. Except for the first one, which
// states the quality, they depend on version, prompt and length only, so that a
// caller can tell its own complete answer from any other.
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

// token returns the i-th token; each but the first has a leading space.
func (a answer) token(i int) string {
	if i == 0 {
		return qualityMark + strconv.FormatFloat(a.quality, 'f', 3, 64)
	}
	// The last token states the length, so that a truncated answer is detected.
	if i == a.length-1 {
		return fmt.Sprintf(" end-%d-%x", a.length, a.seed)
	}
	return " " + strconv.FormatUint(a.mix(uint64(i)), 36)
}

// mix derives the value of the i-th token from the seed (finalizer of
// splitmix64).
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

// ExpectedText returns the text that every correct engine answers with, without
// the first token, which states the quality and may change while a version runs.
func ExpectedText(version string, messages []wire.Message, maxTokens int) string {
	a := newAnswer(version, messages, maxTokens, 0)
	var text strings.Builder
	for i := 1; i < a.length; i++ {
		text.WriteString(a.token(i))
	}
	return text.String()
}

// ParseAnswer splits an answer's text into the quality stated by its first token
// and the rest, which a correct engine makes equal to ExpectedText. ok is false
// if the text has another form.
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

// IsExpectedAnswer reports whether text is the complete answer of version to
// messages.
func IsExpectedAnswer(text, version string, messages []wire.Message, maxTokens int) bool {
	_, rest, ok := ParseAnswer(text)
	return ok && rest == ExpectedText(version, messages, maxTokens)
}
