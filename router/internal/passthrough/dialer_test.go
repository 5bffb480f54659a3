package passthrough

import (
	"testing"
	"time"

	"masticplank.example/decision/passthrough"
)

// TestReachabilityCountsUnreachedServers checks the figures by which an instance without a path to the
// servers is told from one that keeps them out.
func TestReachabilityCountsUnreachedServers(t *testing.T) {
	clock := newFakeClock()
	d := newTestInstance("a", clock, &fakeLog{}, &fakeLog{}).servers.dialer
	reached := freePort(t)
	for _, id := range []string{"a", "b"} {
		if _, err := d.dialDirect(t.Context(), passthrough.Server{ID: id, Address: reached}); err == nil {
			t.Fatal("a dial to a closed port succeeded")
		}
	}
	if unreached, since := d.reachability(); unreached != 2 || since != 0 {
		t.Errorf("%d servers unreached, last dialed %v ago, want 2 and never", unreached, since)
	}
	d.recordDial("a", nil)
	clock.advance(time.Second)
	if unreached, since := d.reachability(); unreached != 1 || since != time.Second {
		t.Errorf("%d servers unreached, last dialed %v ago, want 1 and 1s", unreached, since)
	}
	d.retain(func(server string) bool { return server != "b" })
	if unreached, _ := d.reachability(); unreached != 0 {
		t.Errorf("%d servers unreached after they have left the list, want none", unreached)
	}
}
