package passthrough

import "time"

// Inactivity is how long an attempt and its server have been idle. It is used only for requests
// that may run again elsewhere.
type Inactivity struct {
	Route *Route
	// FirstByteTimeout is that of the dispatch; 0 for no bound of its own.
	FirstByteTimeout time.Duration
	// PromptTokens is how many tokens are to be processed before the first byte.
	PromptTokens int
	// Begun is true if the response has begun.
	Begun bool
	// AttemptIdle is the time since the attempt's last byte, or since its start.
	// ServerIdle is the time since the server's last byte on any attempt, at most since
	// this attempt's start.
	AttemptIdle time.Duration
	ServerIdle  time.Duration
}

const (
	// gapFactor is how many times a stream's TargetGap an attempt may be idle once its
	// response began: a preempted request pauses for longer than the target.
	gapFactor = 2.5
	// minGap is the least idle time after which such an attempt times out.
	minGap = 1500 * time.Millisecond
	// serverIdleFraction is the fraction of the target latency, up to maxServerIdle, for
	// which a server may be idle on all of its attempts before the first byte: a running
	// server sends events all the time.
	serverIdleFraction = 0.7
	maxServerIdle      = 3 * time.Second
	// prefillAllowance is allowed in addition for each prompt token: a large model
	// processes 19 tokens per millisecond by itself, and less than half of that among
	// other prompts. Without the allowance every attempt with one of the largest prompts, of
	// 50,000 tokens, would time out.
	prefillAllowance = 120 * time.Microsecond
	// firstByteFactor is how many times the target latency the first byte may take, besides
	// the prefillAllowance, even if the server is active on other attempts.
	firstByteFactor = 2
)

// TimedOut reports whether to give up on the attempt.
//
// Load: servers that go down or hang, among others that are only busy. Harm prevented: a
// caller who waits for a server that is down; and, if requests are moved away from a busy one,
// prefill that is repeated while the servers have no time for it.
func (in Inactivity) TimedOut() bool {
	if in.Route.Kind != KindStream {
		return in.FirstByteTimeout > 0 && !in.Begun && in.AttemptIdle > in.FirstByteTimeout
	}
	if in.Begun {
		return in.AttemptIdle > max(time.Duration(gapFactor*float64(in.Route.TargetGap)), minGap)
	}
	prefill := time.Duration(in.PromptTokens) * prefillAllowance
	if in.ServerIdle > min(time.Duration(serverIdleFraction*float64(in.Route.TargetLatency)), maxServerIdle)+prefill {
		return true
	}
	return in.AttemptIdle > firstByteFactor*in.Route.TargetLatency+prefill
}
