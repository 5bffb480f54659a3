package api

import (
	"testing"

	"masticplank.example/decision"
	"masticplank.example/router/internal/outcome"
)

// TestCrashOfNonIdempotentRequestIsUnknown guards against answering a reservation as
// failed although it took effect and only its reply was lost; "masticplank demo
// --faults" produces such losses.
func TestCrashOfNonIdempotentRequestIsUnknown(t *testing.T) {
	tests := []struct {
		result     decision.AttemptResult
		idempotent bool
		want       outcome.Kind
	}{
		{decision.AttemptFailed, true, outcome.Failed},
		{decision.AttemptFailed, false, outcome.Failed},
		{decision.AttemptCrashed, true, outcome.Failed},
		{decision.AttemptCrashed, false, outcome.Unknown},
		{decision.AttemptUnknown, true, outcome.Unknown},
		{decision.AttemptUnknown, false, outcome.Unknown},
	}
	for _, tt := range tests {
		if got := failureOutcome(tt.result, tt.idempotent).Kind; got != tt.want {
			t.Errorf("result %v, idempotent %v: outcome %s, want %s", tt.result, tt.idempotent, got, tt.want)
		}
	}
}
