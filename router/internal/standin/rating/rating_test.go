package rating

import (
	"math"
	"testing"

	"masticplank.example/router/internal/wire"
)

// The same request must get the same score, within the noise around the quality minus
// the penalty of the task class; the noise must not shift the mean.
func TestScoreFollowsQualityTaskAndBoundedNoise(t *testing.T) {
	s := New(Config{Noise: 0.1, TaskPenalty: map[string]float64{"draft": 0.2}})
	var sum float64
	const n = 2000
	for i := range n {
		r := wire.RateRequest{Task: "draft", Prompt: string(rune(i)), Answer: "q=0.700 x"}
		score := s.score(r)
		if score != s.score(r) {
			t.Fatal("the same request scored differently")
		}
		if math.Abs(score-0.5) > 0.1 {
			t.Fatalf("score %v differs from 0.5 by more than the noise 0.1", score)
		}
		sum += score
	}
	if mean := sum / n; math.Abs(mean-0.5) > 0.01 {
		t.Errorf("mean %v, want 0.5", mean)
	}
	if got := s.score(wire.RateRequest{Task: "draft", Answer: "not from the engine"}); got > 0.1 {
		t.Errorf("unknown text scored %v, want at most 0.1", got)
	}
}
