package passthrough

import (
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"masticplank.example/decision/passthrough"
	"masticplank.example/decision/reach"
	"masticplank.example/router/internal/tunnel"
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

// TestPeersAreConnectedOnlyToUsableServers guards against an instance that connects its peers to servers which
// get no requests, or to anything else, and against one that is cut off itself and says that a server is down.
func TestPeersAreConnectedOnlyToUsableServers(t *testing.T) {
	unreached := freePort(t)
	cases := map[string]struct {
		prepare func(d *Driver, list []passthrough.Server)
		target  func(list []passthrough.Server) tunnel.Target
		want    error
	}{
		"usable": {want: nil},
		"not listed": {target: func(list []passthrough.Server) tunnel.Target {
			return tunnel.Target{ID: "other", Address: list[0].Address}
		}, want: tunnel.ErrDeclined},
		"other address": {target: func(list []passthrough.Server) tunnel.Target {
			return tunnel.Target{ID: list[0].ID, Address: "127.0.0.1:1"}
		}, want: tunnel.ErrDeclined},
		"leaving": {prepare: func(d *Driver, list []passthrough.Server) {
			d.Handle(passthrough.ServerStated{Server: list[0], Leaving: true})
		}, want: tunnel.ErrDeclined},
		"wants no requests": {prepare: func(d *Driver, list []passthrough.Server) {
			d.Handle(passthrough.ServerStated{Server: list[0], RetryAfter: time.Second})
		}, want: tunnel.ErrDeclined},
		"drained": {prepare: func(d *Driver, list []passthrough.Server) {
			d.Handle(passthrough.DomainsDrained{Domains: []string{list[0].Domain}})
		}, want: tunnel.ErrDeclined},
		"down": {prepare: func(d *Driver, list []passthrough.Server) {
			list[0].Address = unreached
			d.Handle(passthrough.ServersListed{Servers: list})
		}, want: tunnel.ErrUnreachable},
		"cut off itself": {prepare: func(d *Driver, list []passthrough.Server) {
			d.reportDial(list[0], passthrough.DialFailed)
			d.reportDial(list[1], passthrough.DialFailed)
		}, want: tunnel.ErrNoPath},
		"cut off, not noticed yet": {prepare: func(d *Driver, list []passthrough.Server) {
			list[0].Address = unreached
			d.Handle(passthrough.ServersListed{Servers: list})
			d.reportDial(list[1], passthrough.DialFailed)
		}, want: tunnel.ErrNoPath},
		"permit": {target: func(list []passthrough.Server) tunnel.Target {
			return tunnel.Target{ID: list[0].ID, Address: list[0].Address, NeedsPermit: true}
		}, want: nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h, list, _ := newServedHandler(t, signedHeaders{}, nil)
			if c.prepare != nil {
				c.prepare(h.driver, list)
			}
			target := tunnel.Target{ID: list[0].ID, Address: list[0].Address}
			if c.target != nil {
				target = c.target(list)
			}
			conn, err := h.dialer.connectForPeer(t.Context(), target)
			if !errors.Is(err, c.want) {
				t.Errorf("%v, want %v", err, c.want)
			}
			if err == nil {
				_ = conn.Close()
			}
		})
	}
}

// TestPeersGetNoMorePermitsThanThereAre guards against a server that gets more requests of peers than this
// instance has permits for, and against permits that are lost when their tunnels end.
func TestPeersGetNoMorePermitsThanThereAre(t *testing.T) {
	h, list, _ := newServedHandler(t, signedHeaders{}, nil)
	h.driver.Handle(passthrough.ServerStated{Server: list[0], Brittle: true, BrittlePerSecond: 1})
	h.dialer.clock = systemClock{} // permits are awaited in real time
	target := tunnel.Target{ID: list[0].ID, Address: list[0].Address, NeedsPermit: true, WaitsForPermit: true}
	var conns []interface{ Close() error }
	for range list[0].Slots {
		c, err := h.dialer.connectForPeer(t.Context(), target)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	if _, err := h.dialer.connectForPeer(t.Context(), target); !errors.Is(err, tunnel.ErrNoPermit) {
		t.Errorf("connection %d: %v, want %v", len(conns)+1, err, tunnel.ErrNoPermit)
	}
	time.AfterFunc(permitWait/4, func() {
		_ = conns[0].Close()
		_ = conns[0].Close() // a second close gives back nothing
	})
	if _, err := h.dialer.connectForPeer(t.Context(), target); err != nil {
		t.Errorf("a connection that waits for a permit: %v", err)
	}
	if _, err := h.dialer.connectForPeer(t.Context(), target); !errors.Is(err, tunnel.ErrNoPermit) {
		t.Errorf("a connection after that: %v, want %v", err, tunnel.ErrNoPermit)
	}
}

// systemClock is the real time.
type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// TestPermitOfAnInstanceWithoutAPathIsUsed guards against permits that nobody can use as their holder has no path, and
// against a plain tunnel that is passed on a second time.
func TestPermitOfAnInstanceWithoutAPathIsUsed(t *testing.T) {
	withPath, list, _ := newServedHandler(t, signedHeaders{}, nil)
	peer := httptest.NewServer((&tunnel.Server{Connect: withPath.dialer.connectForPeer, Limit: 10}).HTTPServer().Handler)
	t.Cleanup(peer.Close)
	holder, _, _ := newServedHandler(t, signedHeaders{}, nil)
	holder.driver.Handle(passthrough.ServersListed{Servers: list}, passthrough.Neighbours{Self: "a", Names: []string{"a"}}, passthrough.FleetSize{Instances: 1})
	peers := tunnel.NewPeers(holder.clock.Now, reach.Peer{Name: "holder"}, nil)
	peers.Add(reach.Peer{Name: "peer", Address: strings.TrimPrefix(peer.URL, "http://")})
	holder.dialer.tunnels = tunnel.NewDialer(peers)
	refused := errors.New("refused")
	holder.dialer.connect = func(context.Context, string, string) (net.Conn, error) { return nil, refused }
	target := tunnel.Target{ID: list[0].ID, Address: list[0].Address, NeedsPermit: true}
	c, err := holder.dialer.connectForPeer(t.Context(), target)
	if err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
	target.NeedsPermit = false
	if _, err := holder.dialer.connectForPeer(t.Context(), target); err == nil {
		t.Error("a tunnel that needs no permit was passed on")
	}
}
