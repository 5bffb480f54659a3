package passthrough

import (
	"testing"

	"masticplank.example/decision/passthrough"
)

// TestBytesOfARestartedServerSayNothingOfItsFormerProcess guards against a request at a server that has died, which is waited
// for as long as the process that took the server's id sends something.
func TestBytesOfARestartedServerSayNothingOfItsFormerProcess(t *testing.T) {
	p := newTestInstance("a", newFakeClock(), &fakeLog{}, &fakeLog{})
	d := newDialer(p.clock, p.driver, nil)
	former, present := passthrough.Server{ID: "s", StartTime: 1}, passthrough.Server{ID: "s", StartTime: 2}
	times := d.timesOf(former)
	d.timesOf(present).any.Store(p.clock.Now().UnixNano())
	if times.any.Load() != 0 {
		t.Error("bytes of the present process count for the former one")
	}
	d.retain(func(string) bool { return false })
	if len(d.lastReceived) > 0 {
		t.Error("servers that are gone are kept")
	}
}
