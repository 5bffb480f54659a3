package passthrough

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"masticplank.example/router/internal/connlimit"
)

// simulateOverload lets connections arrive at load times the capacity for the duration, while the lag is the time to
// process the backlog, and returns the share that is closed unread and the longest backlog in its second half.
func simulateOverload(o *overload, load float64, duration time.Duration) (shed float64, worst time.Duration) {
	const capacity = 100 // connections a second
	backlog, closed, steps := time.Duration(0), 0.0, int(duration/lagInterval)
	for step := range steps {
		accepted := load * (1 - o.fraction())
		closed += load - accepted
		for range int(load * capacity * lagInterval.Seconds()) {
			o.observeConnection()
		}
		backlog = max(backlog+time.Duration((accepted-1)*float64(lagInterval)), 0)
		o.observe(backlog)
		if step >= steps/2 {
			worst = max(worst, backlog)
		}
	}
	return closed / (load * float64(steps)), worst
}

// TestCrowdedInstanceClosesConnectionsUnread guards against an instance that gets eight times the connections that its
// processor can serve, and keeps all of them waiting.
func TestCrowdedInstanceClosesConnectionsUnread(t *testing.T) {
	for _, load := range []float64{1.5, 3, 8} {
		var o overload
		simulateOverload(&o, 0.5, time.Minute)
		shed, worst := simulateOverload(&o, load, 20*time.Second)
		t.Logf("load %.1f: %.2f closed unread, backlog %v at most", load, shed, worst)
		if want := 1 - 1/load; shed < want-0.15 || shed > want+0.15 || worst > time.Second {
			t.Errorf("load %.1f: %.2f of the connections are closed unread with a backlog of up to %v, want about %.2f and less than a second", load, shed, worst, want)
		}
	}
}

// TestConnectionsAreNotClosedWithoutOverload guards against connections that are closed although the processor has
// time for them, or because the process was suspended once.
func TestConnectionsAreNotClosedWithoutOverload(t *testing.T) {
	var o overload
	if shed, _ := simulateOverload(&o, 0.9, 20*time.Second); shed > 0 {
		t.Errorf("load 0.9: %.2f of the connections are closed unread, want none", shed)
	}
	for range 100 {
		o.observeConnection()
	}
	o.observe(5 * time.Second)
	for range lagSamples {
		o.observe(0)
		if o.fraction() > 0 {
			t.Fatalf("after one suspension of 5 s, %.2f of the connections are closed unread, want none", o.fraction())
		}
	}
}

// TestBusyMachineIsNoCrowd guards against connections that are closed because other programs take the processor.
func TestBusyMachineIsNoCrowd(t *testing.T) {
	var o overload
	for range 600 {
		o.observeConnection()
		o.observe(maxLagSample)
		if o.fraction() > 0 {
			t.Fatalf("%.2f of the connections are closed unread at 10 a second, want none", o.fraction())
		}
	}
}

// TestOverloadEnds guards against connections that are closed for long after an overload has ended.
func TestOverloadEnds(t *testing.T) {
	var o overload
	simulateOverload(&o, 8, 10*time.Second)
	for step := 0; o.fraction() > 0; step++ {
		o.observe(0)
		if took := time.Duration(step) * lagInterval; took > 3*time.Second {
			t.Fatalf("%.2f of the connections are closed unread %v after the overload, want none", o.fraction(), took)
		}
	}
}

// TestClosedConnectionsAreUnread checks that a connection is closed before its request is read, or served.
func TestClosedConnectionsAreUnread(t *testing.T) {
	l, err := connlimit.Listen("127.0.0.1:0", connlimit.Bounds{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	closed, o := make(chan bool, 1), &overload{shed: 1}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })}
	l.Refuse = func() bool {
		shed := o.sheds()
		if shed {
			o.observe(0)
			closed <- true
		}
		return shed
	}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	get := func() error {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			return err
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(10 * time.Second)) // a failure shows in the read
		_, _ = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		_, err = http.ReadResponse(bufio.NewReader(c), nil)
		return err
	}
	if err := get(); err == nil || errors.Is(err, io.ErrNoProgress) {
		t.Errorf("the first connection got a response, want it closed unread")
	}
	if err := get(); err != nil {
		t.Errorf("the second connection got %v, want a response", err)
	}
	if len(closed) != 1 {
		t.Errorf("%d connections were closed, want 1", len(closed))
	}
}

// TestBusyInstanceCarriesNothingForPeers guards against callers that wait because their instance carries the requests of
// peers, with a processor that is too busy.
func TestBusyInstanceCarriesNothingForPeers(t *testing.T) {
	var o overload
	for range lagSamples {
		o.observe(time.Millisecond)
	}
	if o.lacksTime() {
		t.Error("lacks time at a lag of 1 ms")
	}
	for range lagSamples {
		o.observe(maxLagSample)
	}
	if !o.lacksTime() {
		t.Errorf("does not lack time at a lag of %v", maxLagSample)
	}
}
