package connlimit

import "testing"

// The listeners together, with the connections to backend servers, may use no more than the settings state.
func TestPlanStaysWithinTheSettings(t *testing.T) {
	for _, memory := range []int64{48 << 20, 64 << 20, 144 << 20, 284 << 20, 1 << 30} {
		for _, files := range []int{300, 400, 500, 1024, 4100, 16_384} {
			p := NewPlan(memory, files)
			conns := 2*p.Callers.Conns + p.Tunnels.Conns + p.TunnelServers + p.IdleServers + p.Peers.Conns + auxListeners*p.Aux.Conns
			if conns > files-reservedFiles {
				t.Errorf("%d MB, %d descriptors: %d connections, want at most %d", memory>>20, files, conns, files-reservedFiles)
			}
			var held int64
			for _, l := range []struct {
				Bounds
				n int64
			}{{p.Callers, 1}, {p.Tunnels, 1}, {p.Peers, 1}, {p.Aux, auxListeners}} {
				held += l.n * l.Bytes
				if l.Unread > minUnread {
					held += l.n * int64(l.Unread) * int64(l.Conns+l.Backlog)
				}
			}
			if held > memory*3/10 {
				t.Errorf("%d MB, %d descriptors: %.1f MB for connections, want at most 0.3 of the memory", memory>>20, files, float64(held)/(1<<20))
			}
		}
	}
}

// A head of the size that operators allow, of fields as small as can be, fits beside others on the smallest machine.
func TestPlanHasRoomForHeadsWithinTheLimits(t *testing.T) {
	p := NewPlan(144<<20, 4100)
	const head, smallestField, beside = 16 << 10, 5, 10
	if need := beside * headMemory(head, head/smallestField); need > p.Callers.Bytes {
		t.Errorf("%d bytes for %d heads, want at most %d", need, beside, p.Callers.Bytes)
	}
}

func TestPlanOfUnstatedLimits(t *testing.T) {
	if got, want := NewPlan(0, 0), NewPlan(defaultMemory, defaultFiles); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
