package passthrough

import "time"

// Silence is what was last heard of an attempt that may run again elsewhere.
type Inactivity struct {
	Route *Route
	// Patience of the dispatch; 0 for no bound of its own.
	FirstByteTimeout time.Duration
	// PromptTokens are to be read before the first byte.
	PromptTokens int
	// Begun says that the answer began.
	Begun bool
	// Attempt is the time since the attempt's last byte, or since its start; Server that
	// since the server's last byte on any attempt, at most since this attempt's start.
	AttemptIdle time.Duration
	ServerIdle  time.Duration
}

const (
	// gapTimes is how many times a stream's longest pause in time an attempt may stay
	// silent once it began: a preempted request pauses for longer than the target.
	gapFactor = 2.5
	// gapLeast bounds that from below.
	minGap = 1500 * time.Millisecond
	// darkPart is the part of the target for which a server may be silent on all of its
	// attempts before the first byte: a running server sends events all the time.
	serverIdleFraction = 0.7
	maxServerIdle      = 3 * time.Second
	// readingTime is allowed for each prompt token beside that: a large model reads 19 a
	// millisecond by itself, and less than half of that among others. Without it the
	// largest prompts, of 50,000 tokens, were given up again and again.
	prefillAllowance = 120 * time.Microsecond
	// firstTimes is how many times the target the first byte may take in any case.
	firstByteFactor = 2
)

// GiveUp says whether the attempt should be given up.
//
// Load: servers that go dark or hang, among others that are only busy. Harm prevented: a
// caller who waits for a dead server; and, by moving those of a busy one, prompts that are
// read twice just when there is no time for it.
func (s Inactivity) TimedOut() bool {
	if s.Route.Kind != KindStream {
		return s.FirstByteTimeout > 0 && !s.Begun && s.AttemptIdle > s.FirstByteTimeout
	}
	if s.Begun {
		return s.AttemptIdle > max(time.Duration(gapFactor*float64(s.Route.TargetGap)), minGap)
	}
	prefill := time.Duration(s.PromptTokens) * prefillAllowance
	if s.ServerIdle > min(time.Duration(serverIdleFraction*float64(s.Route.TargetLatency)), maxServerIdle)+prefill {
		return true
	}
	return s.AttemptIdle > firstByteFactor*s.Route.TargetLatency+prefill
}
