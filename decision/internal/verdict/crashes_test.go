package verdict

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestCrashingRequest(t *testing.T) {
	cfg := DefaultCrashConfig()
	c := NewCrashes[uint64](cfg)
	if q, _ := c.Ended(1, false, true, epoch); q {
		t.Fatal("quarantined at the first crash")
	}
	if a, _ := c.Admit(1, epoch); a != CrashClear {
		t.Fatalf("after one crash %v, want clear", a)
	}
	counted := c.Started(1, epoch)
	if a, _ := c.Admit(1, epoch); a != CrashWait {
		t.Fatalf("beside a running copy %v, want wait", a)
	}
	q, until := c.Ended(1, counted, true, epoch)
	if !q || !until.Equal(epoch.Add(cfg.Quarantine)) {
		t.Fatalf("second crash: %v until %v", q, until)
	}
	if a, _ := c.Admit(1, until.Add(-1)); a != CrashQuarantined {
		t.Errorf("before its end %v, want quarantined", a)
	}
	if a, _ := c.Admit(1, until); a != CrashClear {
		t.Errorf("after its end %v, want clear", a)
	}
	if a, _ := c.Admit(2, epoch); a != CrashClear {
		t.Errorf("another request %v, want clear", a)
	}
}

func TestCrashMemory(t *testing.T) {
	cfg := DefaultCrashConfig()
	c := NewCrashes[uint64](cfg)
	c.Ended(1, false, true, epoch)
	if q, _ := c.Ended(1, false, true, epoch.Add(cfg.Remember+1)); q {
		t.Error("a crash that is long past was counted")
	}
	c.Learn(2, epoch.Add(24*time.Hour), epoch)
	if _, until := c.Admit(2, epoch); !until.Equal(epoch.Add(cfg.Quarantine)) {
		t.Errorf("a peer's quarantine holds until %v", until)
	}
	c.Learn(3, epoch.Add(-1), epoch)
	for f := range uint64(3 * cfg.Limit) {
		c.Ended(f, false, true, epoch)
	}
	if c.Len() != cfg.Limit {
		t.Errorf("%d kept, want %d", c.Len(), cfg.Limit)
	}
}

// A request that crashes whatever runs it takes down at most two servers in
// each quarantine, however its copies overlap after the first crash.
func TestCrashLimitProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewCrashes[uint64](DefaultCrashConfig())
		c.Ended(7, false, true, epoch)
		crashes, running := 1, 0
		for _, start := range rapid.SliceOfN(rapid.Bool(), 1, 100).Draw(t, "steps") {
			if start {
				if a, _ := c.Admit(7, epoch); a == CrashClear && c.Started(7, epoch) {
					running++
				}
				continue
			}
			if running == 0 {
				continue
			}
			running--
			crashes++
			c.Ended(7, true, true, epoch)
		}
		if crashes+running > 2 {
			t.Fatalf("%d servers crashed and %d at risk", crashes, running)
		}
	})
}

func ExampleCrashes() {
	c := NewCrashes[uint64](DefaultCrashConfig())
	for attempt := 1; ; attempt++ {
		if a, _ := c.Admit(42, epoch); a != CrashClear {
			break
		}
		counted := c.Started(42, epoch)
		quarantine, _ := c.Ended(42, counted, true, epoch)
		fmt.Println(attempt, quarantine)
	}
	// Output:
	// 1 false
	// 2 true
}
