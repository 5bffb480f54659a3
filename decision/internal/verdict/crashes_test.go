package verdict

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a request that crashes more than two servers because its
// quarantine is late, missing or too short, and against a quarantine that
// affects other requests.
func TestCrashingRequest(t *testing.T) {
	cfg := DefaultCrashConfig()
	c := NewCrashes[uint64](cfg)
	if q, _ := c.AttemptEnded(1, false, true, startTime); q {
		t.Fatal("quarantined at the first crash")
	}
	if a, _ := c.Admit(1, startTime); a != CrashAllowed {
		t.Fatalf("after one crash: admission %v, want CrashAllowed", a)
	}
	counted := c.AttemptStarted(1, startTime)
	if a, _ := c.Admit(1, startTime); a != CrashWait {
		t.Fatalf("beside a running copy: admission %v, want CrashWait", a)
	}
	q, until := c.AttemptEnded(1, counted, true, startTime)
	if !q || !until.Equal(startTime.Add(cfg.Quarantine)) {
		t.Fatalf("second crash: quarantine %v until %v, want true until the end of the configured duration", q, until)
	}
	if a, _ := c.Admit(1, until.Add(-1)); a != CrashQuarantined {
		t.Errorf("before the end of the quarantine: admission %v, want CrashQuarantined", a)
	}
	if a, _ := c.Admit(1, until); a != CrashAllowed {
		t.Errorf("after the end of the quarantine: admission %v, want CrashAllowed", a)
	}
	if a, _ := c.Admit(2, startTime); a != CrashAllowed {
		t.Errorf("another request: admission %v, want CrashAllowed", a)
	}
}

// Guards against crashes that count for ever, peers' quarantines that last
// longer than own ones, and memory that grows with the number of fingerprints.
func TestCrashesExpireAndAreBounded(t *testing.T) {
	cfg := DefaultCrashConfig()
	c := NewCrashes[uint64](cfg)
	c.AttemptEnded(1, false, true, startTime)
	if q, _ := c.AttemptEnded(1, false, true, startTime.Add(cfg.CrashTTL+1)); q {
		t.Error("the request was quarantined for a second crash although the first had expired")
	}
	c.ApplyQuarantine(2, startTime.Add(24*time.Hour), startTime)
	if _, until := c.Admit(2, startTime); !until.Equal(startTime.Add(cfg.Quarantine)) {
		t.Errorf("a peer's quarantine lasts until %v, want the end of the configured duration", until)
	}
	c.ApplyQuarantine(3, startTime.Add(-1), startTime)
	for f := range uint64(3 * cfg.MaxFingerprints) {
		c.AttemptEnded(f, false, true, startTime)
	}
	if c.Len() != cfg.MaxFingerprints {
		t.Errorf("%d fingerprints kept, want %d", c.Len(), cfg.MaxFingerprints)
	}
}

// Guards against copies of a crashing request that run at the same time after
// the first crash and together take down more than two servers before the
// quarantine.
func TestCrashLimitProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewCrashes[uint64](DefaultCrashConfig())
		c.AttemptEnded(7, false, true, startTime)
		crashes, running := 1, 0
		for _, start := range rapid.SliceOfN(rapid.Bool(), 1, 100).Draw(t, "steps") {
			if start {
				if a, _ := c.Admit(7, startTime); a == CrashAllowed && c.AttemptStarted(7, startTime) {
					running++
				}
				continue
			}
			if running == 0 {
				continue
			}
			running--
			crashes++
			c.AttemptEnded(7, true, true, startTime)
		}
		if crashes+running > 2 {
			t.Fatalf("%d servers crashed and %d run another copy, want at most 2 in total", crashes, running)
		}
	})
}

func ExampleCrashes() {
	c := NewCrashes[uint64](DefaultCrashConfig())
	for attempt := 1; ; attempt++ {
		if a, _ := c.Admit(42, startTime); a != CrashAllowed {
			break
		}
		counted := c.AttemptStarted(42, startTime)
		quarantine, _ := c.AttemptEnded(42, counted, true, startTime)
		fmt.Println(attempt, quarantine)
	}
	// Output:
	// 1 false
	// 2 true
}
