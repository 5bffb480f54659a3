package tunnel

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"masticplank.example/decision/reach"
	"masticplank.example/router/internal/connlimit"
)

// backend is a backend server that serves each connection with a function.
type backend struct {
	Target
	// accepted and received count the connections, and those on which anything arrived.
	accepted, received atomic.Int64
	// ended gets a value for each connection that is served to its end, or that ends before any data.
	ended chan struct{}
}

// startBackend starts a backend server. serve gets each connection with the first bytes that arrived.
func startBackend(t *testing.T, serve func(c *net.TCPConn, first string)) *backend {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	b := &backend{Target: Target{ID: "server-1", Address: l.Addr().String()}, ended: make(chan struct{}, 100)}
	go func() {
		for {
			c, err := l.AcceptTCP()
			if err != nil {
				return
			}
			b.accepted.Add(1)
			go func() {
				defer func() { b.ended <- struct{}{} }()
				defer func() { _ = c.Close() }()
				buf := make([]byte, 100)
				n, err := c.Read(buf)
				if err != nil {
					return
				}
				b.received.Add(1)
				serve(c, string(buf[:n]))
			}()
		}
	}()
	return b
}

// echo sends the first bytes back and closes the connection.
func echo(c *net.TCPConn, first string) { _, _ = io.WriteString(c, "echo "+first) }

// startServer serves tunnels, and returns its address and a function that ends it as a kill does.
func startServer(t *testing.T, s *Server) (address string, kill func()) {
	t.Helper()
	if s.Connect == nil {
		s.Connect = func(ctx context.Context, to Target) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", to.Address)
		}
	}
	if s.Limit == 0 {
		s.Limit = 100
	}
	l, err := Listen("127.0.0.1:0", connlimit.Bounds{})
	if err != nil {
		t.Fatal(err)
	}
	srv := s.HTTPServer()
	go func() { _ = srv.Serve(l) }() // returns once it is closed
	kill = func() { _ = srv.Close() }
	t.Cleanup(kill)
	return l.Addr().String(), kill
}

// newDialer returns a dialer that knows the peers at the addresses.
func newTestDialer(addresses ...string) *Dialer {
	peers := NewPeers(time.Now, reach.Peer{Name: "self", Domain: "a"}, nil)
	for i, a := range addresses {
		peers.Add(reach.Peer{Name: fmt.Sprint("peer-", i), Address: a, Domain: "a"})
	}
	return NewDialer(peers)
}

// exchange sends text through a tunnel and reads all that comes back.
func exchange(t *testing.T, c *Conn, text string) (string, error) {
	t.Helper()
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(c)
	return string(got), err
}

// TestTunnelCarriesBothDirections checks the bytes and the orderly end.
func TestTunnelCarriesBothDirections(t *testing.T) {
	b := startBackend(t, echo)
	address, _ := startServer(t, &Server{})
	c, err := newTestDialer(address).Dial(t.Context(), b.Target)
	if err != nil {
		t.Fatal(err)
	}
	if c.Peer() != "peer-0" {
		t.Errorf("through %q, want peer-0", c.Peer())
	}
	if got, err := exchange(t, c, "hello"); got != "echo hello" || err != nil {
		t.Errorf("%q, %v, want the echo and an orderly end", got, err)
	}
}

// TestTunnelIsStreamed guards against data that is held back until more arrives, and against a long request
// whose response begins before it has been sent.
func TestTunnelIsStreamed(t *testing.T) {
	next := make(chan struct{})
	b := startBackend(t, func(c *net.TCPConn, _ string) {
		for i := range 3 {
			_, _ = fmt.Fprintf(c, "event %d;", i)
			<-next
		}
		_, _ = io.Copy(io.Discard, c)
	})
	address, _ := startServer(t, &Server{})
	c, err := newTestDialer(address).Dial(t.Context(), b.Target)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, "begin"); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 100)
	for i := range 3 {
		n, err := c.Read(buf)
		if want := fmt.Sprintf("event %d;", i); string(buf[:n]) != want || err != nil {
			t.Fatalf("%q, %v, want %q", buf[:n], err, want)
		}
		next <- struct{}{}
	}
	if _, err := c.Write(make([]byte, 1<<20)); err != nil {
		t.Errorf("the rest of the request could not be sent: %v", err)
	}
}

// TestResponseBeforeTheEndOfALongRequestIsWhole guards against a response that is cut off because the server
// gave it, and closed the connection, before it had read the request.
func TestResponseBeforeTheEndOfALongRequestIsWhole(t *testing.T) {
	response := strings.Repeat("response ", 500)
	cases := map[string]func(c *net.TCPConn){
		"broken off": func(*net.TCPConn) {},
		"half closed": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(20 * time.Millisecond)
		},
	}
	for name, end := range cases {
		t.Run(name, func(t *testing.T) {
			b := startBackend(t, func(c *net.TCPConn, _ string) {
				time.Sleep(5 * time.Millisecond) // the request fills all buffers
				_, _ = io.WriteString(c, response)
				end(c)
			})
			address, _ := startServer(t, &Server{})
			d := newTestDialer(address)
			dials := map[string]func() (io.ReadWriteCloser, error){
				"directly":       func() (io.ReadWriteCloser, error) { return net.Dial("tcp", b.Address) },
				"through a peer": func() (io.ReadWriteCloser, error) { return d.Dial(t.Context(), b.Target) },
			}
			for way, dial := range dials {
				for i := range 20 {
					c, err := dial()
					if err != nil {
						t.Fatal(err)
					}
					go func() { _, _ = c.Write(make([]byte, 8<<20)) }() // ends with the connection
					got, err := io.ReadAll(c)
					_ = c.Close()
					if string(got) != response {
						t.Fatalf("%s, %d: %d bytes of %d, %v", way, i, len(got), len(response), err)
					}
				}
			}
		})
	}
}

// TestBrokenConnectionsAreNoOrderlyEnd guards against a response without a length that looks complete
// although the server or the peer has broken off, and against a peer's end that is taken for the server's.
func TestBrokenConnectionsAreNoOrderlyEnd(t *testing.T) {
	t.Run("server", func(t *testing.T) {
		b := startBackend(t, func(c *net.TCPConn, _ string) {
			_, _ = io.WriteString(c, "half")
			time.Sleep(50 * time.Millisecond) // so that the reset does not overtake the data
			_ = c.SetLinger(0)
		})
		address, _ := startServer(t, &Server{})
		c, err := newTestDialer(address).Dial(t.Context(), b.Target)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := exchange(t, c, "x"); got != "half" || !errors.Is(err, ErrReset) {
			t.Errorf("%q, %v, want half and %v", got, err, ErrReset)
		}
	})
	t.Run("peer", func(t *testing.T) {
		var kill func()
		b := startBackend(t, func(c *net.TCPConn, _ string) {
			_, _ = io.WriteString(c, "half")
			time.Sleep(50 * time.Millisecond)
			kill()
		})
		var address string
		address, kill = startServer(t, &Server{})
		c, err := newTestDialer(address).Dial(t.Context(), b.Target)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := exchange(t, c, "x"); got != "half" || !errors.Is(err, ErrPeerLost) {
			t.Errorf("%q, %v, want half and %v", got, err, ErrPeerLost)
		}
	})
}

// TestUnopenedTunnelSendsNothing guards against a request that has been sent although no tunnel was opened.
func TestUnopenedTunnelSendsNothing(t *testing.T) {
	refuse := func(err error) func(context.Context, Target) (net.Conn, error) {
		return func(context.Context, Target) (net.Conn, error) { return nil, err }
	}
	hang := func(ctx context.Context, _ Target) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	draining := func() *Server {
		s := &Server{}
		s.Drain()
		return s
	}
	full := &Server{Limit: 1}
	full.open.Add(1)
	busy := &Server{Busy: func() bool { return true }}
	cases := map[string]struct {
		peers []*Server
		want  error
	}{
		"no peer":                         {nil, ErrNoPeer},
		"peer without a path":             {[]*Server{{Connect: refuse(ErrNoPath)}}, ErrNoPath},
		"server not in the peer's list":   {[]*Server{{Connect: refuse(ErrDeclined)}}, ErrDeclined},
		"declined, and a peer stops":      {[]*Server{draining(), {Connect: refuse(ErrDeclined)}}, ErrDeclined},
		"declined, and no path":           {[]*Server{{Connect: refuse(ErrDeclined)}, {Connect: refuse(ErrNoPath)}}, ErrDeclined},
		"declined, and server down":       {[]*Server{{Connect: refuse(ErrUnreachable)}, {Connect: refuse(ErrDeclined)}}, ErrUnreachable},
		"server down for the peer":        {[]*Server{{Connect: refuse(ErrUnreachable)}}, ErrUnreachable},
		"peer stops":                      {[]*Server{draining()}, ErrNoPeer},
		"peer is full":                    {[]*Server{full}, ErrNoPeer},
		"peer is busy":                    {[]*Server{busy}, ErrNoPeer},
		"peer hangs":                      {[]*Server{{Connect: hang}}, ErrNoPeer},
		"server down for two of three":    {[]*Server{{Connect: refuse(ErrUnreachable)}, {Connect: refuse(ErrUnreachable)}, {Connect: refuse(ErrNoPath)}}, ErrUnreachable},
		"peers without a path, and hangs": {[]*Server{{Connect: refuse(ErrNoPath)}, {Connect: hang}}, ErrNoPath},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := startBackend(t, echo)
			var addresses []string
			for _, s := range c.peers {
				address, _ := startServer(t, s)
				addresses = append(addresses, address)
			}
			if _, err := newTestDialer(addresses...).Dial(t.Context(), b.Target); !errors.Is(err, c.want) {
				t.Errorf("%v, want %v", err, c.want)
			}
			if n := b.received.Load(); n != 0 {
				t.Errorf("the server got data on %d connections, want none", n)
			}
		})
	}
}

// TestOnePeerOfSeveralIsUsed guards against a request that runs twice because two peers have connected to the
// server for it, and against waiting for peers that give no answer.
func TestOnePeerOfSeveralIsUsed(t *testing.T) {
	b := startBackend(t, echo)
	const count = 20
	// A peer connects for a request once another one has been asked for it too.
	var asked [count]atomic.Int64
	var secondAsked [count]chan struct{}
	for i := range secondAsked {
		secondAsked[i] = make(chan struct{})
	}
	connect := func(ctx context.Context, to Target) (net.Conn, error) {
		i, err := strconv.Atoi(to.ID)
		if err != nil {
			return nil, err
		}
		if asked[i].Add(1) == 2 {
			close(secondAsked[i])
		}
		<-secondAsked[i]
		var d net.Dialer
		return d.DialContext(context.WithoutCancel(ctx), "tcp", to.Address) // connects even if another peer was faster
	}
	var addresses []string
	for range 3 {
		address, _ := startServer(t, &Server{Connect: connect})
		addresses = append(addresses, address)
	}
	var requests sync.WaitGroup
	running := make(chan struct{}, 4)
	for i := range count {
		requests.Go(func() {
			running <- struct{}{}
			defer func() { <-running }()
			// A dialer of its own: a peer that was slower for one request is still asked for the others.
			c, err := newTestDialer(addresses...).Dial(t.Context(), Target{ID: strconv.Itoa(i), Address: b.Address})
			if err != nil {
				t.Errorf("tunnel %d: %v", i, err)
				return
			}
			if got, err := exchange(t, c, "hello"); got != "echo hello" || err != nil {
				t.Errorf("tunnel %d: %q, %v", i, got, err)
			}
		})
	}
	requests.Wait()
	for end := time.Now().Add(2 * time.Second); b.accepted.Load() < 2*count; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections to the server, want %d: each request asks a second peer", b.accepted.Load(), 2*count)
		}
	}
	if n := b.received.Load(); n != count {
		t.Errorf("the server got data on %d connections, want %d", n, count)
	}
}

// TestClosedTunnelEndsAtTheServer guards against a backend server that goes on working after the caller has
// left, and against tunnels that are counted for ever, whether or not the request has reached the server.
func TestClosedTunnelEndsAtTheServer(t *testing.T) {
	for name, awaitsData := range map[string]bool{"at once": false, "once the server has the request": true} {
		t.Run(name, func(t *testing.T) {
			arrived := make(chan struct{})
			b := startBackend(t, func(c *net.TCPConn, _ string) {
				close(arrived)
				_, _ = io.Copy(io.Discard, c)
			})
			s := &Server{}
			address, _ := startServer(t, s)
			d := newTestDialer(address)
			c, err := d.Dial(t.Context(), b.Target)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(c, "x"); err != nil {
				t.Fatal(err)
			}
			if awaitsData {
				<-arrived
			}
			_ = c.Close()
			select {
			case <-b.ended:
			case <-time.After(500 * time.Millisecond):
				t.Error("the server's connection is open half a second after the tunnel was closed")
			}
			for end := time.Now().Add(time.Second); s.Open() > 0; time.Sleep(10 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("%d tunnels open, want none", s.Open())
				}
			}
			if chosen, _ := d.peers.choose(1, "server-1"); chosen[0].own != 0 {
				t.Errorf("%d tunnels counted, want none", chosen[0].own)
			}
		})
	}
}

// TestDrainingServerFinishesOpenTunnels guards against requests of peers that are cut off by a planned stop.
func TestDrainingServerFinishesOpenTunnels(t *testing.T) {
	next := make(chan struct{})
	b := startBackend(t, func(c *net.TCPConn, _ string) {
		<-next
		_, _ = io.WriteString(c, "late")
	})
	s := &Server{}
	address, _ := startServer(t, s)
	d := newTestDialer(address)
	c, err := d.Dial(t.Context(), b.Target)
	if err != nil {
		t.Fatal(err)
	}
	s.Drain()
	if _, err := d.Dial(t.Context(), b.Target); !errors.Is(err, ErrNoPeer) {
		t.Errorf("a new tunnel: %v, want %v", err, ErrNoPeer)
	}
	close(next)
	if got, err := exchange(t, c, "x"); got != "late" || err != nil {
		t.Errorf("the open tunnel: %q, %v, want its response", got, err)
	}
}

// TestTunnelsAreSpreadOverPeers guards against peers that all instances of a failure domain choose, while
// others are idle, and against asking one that has just refused.
func TestTunnelsAreSpreadOverPeers(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPeers(func() time.Time { return now }, reach.Peer{Name: "self", Domain: "a"}, nil)
	for i := range 8 {
		p.Add(reach.Peer{Name: fmt.Sprint("peer-", i), Address: fmt.Sprint("10.0.0.", i, ":1"), Domain: []string{"a", "b"}[i/4]})
	}
	counts := map[string]int{}
	for range 400 {
		chosen, usable := p.choose(peersAsked, "server-1")
		if usable != 8 || len(chosen) != peersAsked {
			t.Fatalf("%d chosen of %d, want %d of 8", len(chosen), usable, peersAsked)
		}
		p.began(chosen[0])
		counts[chosen[0].name]++
	}
	for name, n := range counts {
		if n < 40 || n > 60 {
			t.Errorf("%s got %d of 400 tunnels, want about 50", name, n)
		}
	}
	busy := p.peers["peer-0"]
	p.answered(busy, 1000)
	p.failed(p.peers["peer-1"])
	for range 50 {
		chosen, usable := p.choose(peersAsked, "server-1")
		for _, x := range chosen {
			if x == busy || x.name == "peer-1" {
				t.Fatalf("%s was chosen, although it is busy or has refused", x.name)
			}
		}
		if usable != 7 {
			t.Fatalf("%d usable, want 7", usable)
		}
	}
	now = now.Add(minPeerBackoff + loadTTL)
	if _, usable := p.choose(1, "server-1"); usable != 8 {
		t.Errorf("%d usable after the backoff, want 8", usable)
	}
}

// TestPeerWithoutRoomIsAskedAgainSoon guards against a peer that is left alone for longer and longer, although it answers.
func TestPeerWithoutRoomIsAskedAgainSoon(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPeers(func() time.Time { return now }, reach.Peer{Name: "self", Domain: "a"}, nil)
	p.Add(reach.Peer{Name: "peer-0", Address: "10.0.0.1:1", Domain: "a"})
	for range 10 {
		p.pause(p.peers["peer-0"])
		if _, usable := p.choose(1, "server-1"); usable != 0 {
			t.Fatal("asked again at once")
		}
		now = now.Add(minPeerBackoff)
		if _, usable := p.choose(1, "server-1"); usable != 1 {
			t.Fatalf("not asked again after %v", minPeerBackoff)
		}
	}
}

// TestFullPeersAreNoServerThatIsDown guards against servers that are left alone because the peers with a path have no room.
func TestFullPeersAreNoServerThatIsDown(t *testing.T) {
	b := startBackend(t, echo)
	var busy atomic.Bool
	address, _ := startServer(t, &Server{Busy: busy.Load})
	d := newTestDialer(address)
	c, err := d.Dial(t.Context(), b.Target)
	if err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
	busy.Store(true)
	for range 3 {
		began := time.Now()
		if _, err := d.Dial(t.Context(), b.Target); !errors.Is(err, ErrNoPeer) {
			t.Errorf("%v, want %v", err, ErrNoPeer)
		}
		if took := time.Since(began); took >= openTimeout {
			t.Errorf("known after %v, want at once", took)
		}
	}
}

// TestSilentPeerIsLeftAlone guards against each request waiting for a peer that has no power, or has lost its own
// path and not noticed, while others answer.
func TestSilentPeerIsLeftAlone(t *testing.T) {
	b := startBackend(t, echo)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = silent.Close() })
	var asked atomic.Int64
	go func() {
		for {
			c, err := silent.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			asked.Add(1)
		}
	}()
	first, _ := startServer(t, &Server{})
	second, _ := startServer(t, &Server{})
	d := newTestDialer(silent.Addr().String(), first, second)
	const count, maxAsked = 60, 3
	began := time.Now()
	for range count {
		c, err := d.Dial(t.Context(), b.Target)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := exchange(t, c, "hello"); got != "echo hello" || err != nil {
			t.Fatalf("%q, %v, want the echo", got, err)
		}
	}
	// A peer is asked again after its backoff, which matters on a machine that is busy.
	if allowed := maxAsked + int64(time.Since(began)/minPeerBackoff); asked.Load() > allowed {
		t.Errorf("%d of %d requests asked the silent peer, want %d at most", asked.Load(), count, allowed)
	}
}

// TestFailedPeersAreAskedLast guards against instances that were replaced for good, and outnumber those that
// run, being asked first again and again.
func TestFailedPeersAreAskedLast(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPeers(func() time.Time { return now }, reach.Peer{Name: "self", Domain: "a"}, nil)
	for i := range 20 {
		p.Add(reach.Peer{Name: fmt.Sprint("peer-", i), Address: fmt.Sprint("10.0.0.", i, ":1"), Domain: "a"})
	}
	for i := range 16 {
		p.failed(p.peers[fmt.Sprint("peer-", i)])
	}
	now = now.Add(maxPeerBackoff)
	for range 50 {
		chosen, usable := p.choose(peersAsked, "server-1")
		if usable != 20 {
			t.Fatalf("%d usable after the backoff, want 20", usable)
		}
		for _, x := range chosen {
			if x.backoff > 0 {
				t.Fatalf("%s was chosen, whose latest tunnel failed, before peers that have not failed", x.name)
			}
		}
	}
	p.answered(p.peers["peer-0"], 0)
	for range 200 {
		if chosen, _ := p.choose(1, "server-1"); chosen[0].name == "peer-0" {
			return
		}
	}
	t.Error("a peer that answers again was not chosen in 200 cases")
}

// TestOthersAreLookedForWhileFewPeersAreUsable guards against an instance that knows only peers which are cut
// off like itself.
func TestOthersAreLookedForWhileFewPeersAreUsable(t *testing.T) {
	b := startBackend(t, echo)
	address, _ := startServer(t, &Server{})
	d := newTestDialer()
	d.FindPeers = func() { d.peers.Add(reach.Peer{Name: "remote", Address: address, Domain: "b"}) }
	c, err := d.Dial(t.Context(), b.Target)
	if errors.Is(err, ErrNoPeer) { // others were not known yet
		c, err = d.Dial(t.Context(), b.Target)
	}
	if err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
}

// TestDeadPeerIsDetected guards against tunnels that hang for minutes after a peer has lost power, and against
// a user timeout that ends a connection before its keep-alive probes are used up.
func TestDeadPeerIsDetected(t *testing.T) {
	accepted := make(chan net.Conn, 1)
	address, _ := startServer(t, &Server{Connect: func(context.Context, Target) (net.Conn, error) { return nil, ErrNoPeer }})
	l, err := Listen("127.0.0.1:0", connlimit.Bounds{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		if c, err := l.Accept(); err == nil {
			accepted <- c.(*lingeringConn).TCP()
		}
	}()
	opened, err := newTestDialer(address).transport.DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]net.Conn{"opened": opened, "accepted": <-accepted} {
		option := func(level, option int) time.Duration {
			raw, err := c.(syscall.Conn).SyscallConn()
			if err != nil {
				t.Fatal(err)
			}
			var value int
			_ = raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), level, option) })
			if err != nil {
				t.Fatal(err)
			}
			return time.Duration(value)
		}
		userTimeout := option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) * time.Millisecond
		idle, interval, count := option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)*time.Second, option(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)*time.Second, option(unix.IPPROTO_TCP, unix.TCP_KEEPCNT)
		if userTimeout != deadPeerTimeout {
			t.Errorf("%s: user timeout %v, want %v", name, userTimeout, deadPeerTimeout)
		}
		if probes := idle + count*interval; option(unix.SOL_SOCKET, unix.SO_KEEPALIVE) == 0 || probes != deadPeerTimeout {
			t.Errorf("%s: a dead peer is detected after %v by probes, want %v", name, probes, deadPeerTimeout)
		}
		_ = c.Close()
	}
}

// TestLongRequestOutlastsASilentSecond guards against a user timeout that ends the tunnel of a long request while
// a sound server reads nothing for a moment.
func TestLongRequestOutlastsASilentSecond(t *testing.T) {
	const size = 16 << 20 // more than all buffers on the way
	b := startBackend(t, func(c *net.TCPConn, first string) {
		time.Sleep(1500 * time.Millisecond)
		n, _ := io.CopyN(io.Discard, c, size-int64(len(first)))
		_, _ = fmt.Fprint(c, n+int64(len(first)))
	})
	address, _ := startServer(t, &Server{})
	c, err := newTestDialer(address).Dial(t.Context(), b.Target)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := exchange(t, c, strings.Repeat("x", size)); got != strconv.Itoa(size) || err != nil {
		t.Errorf("the server got %q bytes, %v, want %d", got, err, size)
	}
}

// TestPeerThatStopsReadingIsDetected guards against a long request that waits for its deadline at a peer which has
// stopped: the user timeout ends the tunnel, and nothing before it does.
func TestPeerThatStopsReadingIsDetected(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			first := make([]byte, 4<<10)
			n, _ := c.Read(first)
			if strings.HasPrefix(string(first[:n]), "GET ") { // it is asked for a path
				_, _ = io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
				continue
			}
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
		}
	}()
	c, err := newTestDialer(l.Addr().String()).Dial(t.Context(), Target{ID: "server-1", Address: "127.0.0.1:1"})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	began := time.Now()
	// The window is probed at intervals that double, so that the timeout is noticed late.
	const limit = 3 * deadPeerTimeout
	time.AfterFunc(limit, func() { _ = c.Close() })
	_, err = c.Write(make([]byte, 16<<20))
	if took := time.Since(began); err == nil || took < deadPeerTimeout-100*time.Millisecond || took >= limit {
		t.Errorf("%v after %v, want an error after %v, and before %v", err, took, deadPeerTimeout, limit)
	}
}

// TestOnlyTunnelsAreServed guards against an instance that can be used to reach anything.
func TestOnlyTunnelsAreServed(t *testing.T) {
	b := startBackend(t, echo)
	address, _ := startServer(t, &Server{Connect: func(context.Context, Target) (net.Conn, error) { return nil, ErrDeclined }})
	for _, target := range []string{"/tunnel?" + b.query(), "/tunnel", "/other", "/tunnel/?" + b.query()} {
		resp, err := http.Post("http://"+address+target, "", strings.NewReader("x"))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusNotFound {
			t.Errorf("%s: status %d, want 404", target, resp.StatusCode)
		}
	}
	if n := b.accepted.Load(); n != 0 {
		t.Errorf("%d connections to the server, want none", n)
	}
}

// TestTunnelWithPermitAsksPeersInTurn guards against a request that holds the permits of several peers at once,
// and against one that is sent without a permit.
func TestTunnelWithPermitAsksPeersInTurn(t *testing.T) {
	b := startBackend(t, echo)
	var asked [3]atomic.Int64
	var held, most atomic.Int64
	connect := func(i int, err error) func(ctx context.Context, to Target) (net.Conn, error) {
		return func(ctx context.Context, to Target) (net.Conn, error) {
			asked[i].Add(1)
			if !to.NeedsPermit {
				t.Error("the peer is not told that the request needs a permit")
			}
			if err != nil {
				return nil, err
			}
			most.Store(max(most.Load(), held.Add(1)))
			defer held.Add(-1)
			var d net.Dialer
			return d.DialContext(ctx, "tcp", to.Address)
		}
	}
	var addresses []string
	for i, err := range []error{ErrNoPermit, ErrNoPath, nil} {
		address, _ := startServer(t, &Server{Connect: connect(i, err)})
		addresses = append(addresses, address)
	}
	d := newTestDialer(addresses...)
	target := Target{ID: b.ID, Address: b.Address, NeedsPermit: true}
	c, err := d.DialWithPermit(t.Context(), target, []string{"peer-0", "peer-1", "unknown", "peer-2"})
	if err != nil {
		t.Fatal(err)
	}
	if got, err := exchange(t, c, "hello"); got != "echo hello" || err != nil || c.Peer() != "peer-2" {
		t.Errorf("%q, %v through %s, want the echo through peer-2", got, err, c.Peer())
	}
	if asked[0].Load() != 1 || asked[1].Load() != 1 || asked[2].Load() != 1 || most.Load() != 1 {
		t.Errorf("asked %d, %d and %d times, %d connections at once, want one each", asked[0].Load(), asked[1].Load(), asked[2].Load(), most.Load())
	}
	if _, err := d.DialWithPermit(t.Context(), target, []string{"peer-0", "peer-1"}); !errors.Is(err, ErrNoPermit) {
		t.Errorf("%v, want %v", err, ErrNoPermit)
	}
	if asked[1].Load() != 1 {
		t.Error("a peer without a path is asked again at once")
	}
}

// TestSlowPeerWithPermitsIsAskedAgainSoon guards against permits that nobody asks for, for up to 15 s, as their holder was
// slow to connect for others again and again.
func TestSlowPeerWithPermitsIsAskedAgainSoon(t *testing.T) {
	b := startBackend(t, echo)
	slow, _ := startServer(t, &Server{Connect: func(ctx context.Context, _ Target) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}})
	d := newTestDialer(slow)
	target := Target{ID: b.ID, Address: b.Address, NeedsPermit: true}
	for range 3 {
		if _, err := d.DialWithPermit(t.Context(), target, []string{"peer-0"}); !errors.Is(err, ErrNoPermit) {
			t.Fatalf("%v, want %v", err, ErrNoPermit)
		}
		time.Sleep(minPeerBackoff)
		if _, usable := d.peers.choose(1, target.ID); usable != 1 {
			t.Fatalf("not asked again after %v", minPeerBackoff)
		}
	}
}

// TestPeerThatDeclinesAServerIsAskedForOthers guards against a peer that is left alone, and against a service
// that is taken for full, because peers do not send to one of its servers.
func TestPeerThatDeclinesAServerIsAskedForOthers(t *testing.T) {
	b := startBackend(t, echo)
	connect := func(ctx context.Context, to Target) (net.Conn, error) {
		if to.ID == "declined" {
			return nil, ErrDeclined
		}
		var d net.Dialer
		return d.DialContext(ctx, "tcp", to.Address)
	}
	address, _ := startServer(t, &Server{Connect: connect})
	d := newTestDialer(address)
	names := []string{"peer-0"}
	declined := Target{ID: "declined", Address: b.Address, NeedsPermit: true}
	if _, err := d.DialWithPermit(t.Context(), declined, names); !errors.Is(err, ErrDeclined) {
		t.Errorf("%v, want %v", err, ErrDeclined)
	}
	if _, err := d.Dial(t.Context(), declined); !errors.Is(err, ErrDeclined) {
		t.Errorf("%v, want %v", err, ErrDeclined)
	}
	for range 2 {
		c, err := d.DialWithPermit(t.Context(), Target{ID: b.ID, Address: b.Address, NeedsPermit: true}, names)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := exchange(t, c, "hello"); got != "echo hello" || err != nil {
			t.Errorf("%q, %v, want the echo", got, err)
		}
	}
}
