package relay

import (
	"encoding/binary"
	"net"
	"strings"
	"testing"
	"time"
)

// TestFollowerSendsBytesWithoutEnd guards against a follower that sends a message without end, and keeps the collector from
// answering others.
func TestFollowerSendsBytesWithoutEnd(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(time.Now, nil, nil, func() int { return 1 })
	s.MembersIn = func([]string) []Member { return []Member{{Name: "x"}} }
	go s.Serve(t.Context(), l)
	closed := make(chan error, 1)
	go func() {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			closed <- err
			return
		}
		_, err = c.Write(append(binary.AppendUvarint(nil, 1<<60), `"`...))
		for err == nil {
			_, err = c.Write([]byte(strings.Repeat("x", 4096)))
		}
		closed <- nil
	}()
	self := Member{Name: "self", Domain: "a", Address: "127.0.0.1:1", Cores: 1}
	members := NewMembers(self, 1, time.Now)
	members.Add(Member{Name: "collector", Domain: "a", Address: l.Addr().String(), Cores: 2})
	client := NewClient(members, time.Now)
	defer client.Close()
	for range 20 {
		if got, err := client.Members(t.Context(), []string{"a"}); err != nil || len(got) != 1 {
			t.Fatalf("got %v, %v, want one member", got, err)
		}
	}
	select {
	case err := <-closed:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the connection is still open after 5 s")
	}
}

// TestCollectorSendsBytesWithoutEnd guards against a collector whose answer never ends, and keeps its followers from asking
// the next one.
func TestCollectorSendsBytesWithoutEnd(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	closed := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, err = c.Write(append(binary.AppendUvarint(nil, 1<<60), `"`...))
		for err == nil {
			_, err = c.Write([]byte(strings.Repeat("x", 4096)))
		}
		close(closed)
	}()
	members := NewMembers(Member{Name: "self", Domain: "a", Address: "127.0.0.1:1", Cores: 1}, 1, time.Now)
	members.Add(Member{Name: "collector", Domain: "a", Address: l.Addr().String(), Cores: 2})
	client := NewClient(members, time.Now)
	defer client.Close()
	began := time.Now()
	if _, err := client.Members(t.Context(), []string{"a"}); err == nil {
		t.Error("no error, want one")
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("the call took %v", took)
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the connection is still open after 5 s")
	}
}
