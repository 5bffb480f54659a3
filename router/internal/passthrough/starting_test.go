package passthrough

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestCallersWaitUntilTheProcessKnows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStartGate()
		began := time.Now()
		go func() {
			time.Sleep(80 * time.Millisecond)
			s.loaded(prerequisiteConfig)
			s.loaded(prerequisiteConfig)
			time.Sleep(20 * time.Millisecond)
			s.loaded(prerequisiteServers)
			s.loaded(prerequisiteServers)
		}()
		s.wait(t.Context())
		if took := time.Since(began); took != 100*time.Millisecond {
			t.Errorf("held for %v, want until both are learnt", took)
		}
		s.wait(t.Context())
		if took := time.Since(began); took != 100*time.Millisecond {
			t.Errorf("held again, %v after the start", took)
		}
	})
}

func TestCallersAreNotHeldForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStartGate()
		began := time.Now()
		s.loaded(prerequisiteServers) // the configuration does not come
		time.Sleep(startTimeout / 2)
		s.wait(t.Context())
		if took := time.Since(began); took != startTimeout {
			t.Errorf("held until %v after the start", took)
		}
		s.wait(t.Context())
		gone, cancel := context.WithCancel(t.Context())
		cancel()
		newStartGate().wait(gone)
		if took := time.Since(began); took != startTimeout {
			t.Errorf("held past the end, or for a caller who has gone: %v", took)
		}
	})
}
