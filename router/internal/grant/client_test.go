package grant

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"masticplank.example/decision/passthrough"
)

// fakeDecider gives a number of grants.
type fakeDecider struct {
	left    int
	senior  []string
	decline bool
	asked   []passthrough.GrantRequest
}

func (d *fakeDecider) Grant(in passthrough.GrantRequest) (passthrough.Grant, bool) {
	d.asked = append(d.asked, in)
	if d.left == 0 {
		return passthrough.Grant{Wait: time.Second}, !d.decline
	}
	d.left--
	return passthrough.Grant{Given: true, Wait: 3 * time.Millisecond}, true
}

func (d *fakeDecider) SeniorHolders(string) []string { return d.senior }

// fleet is clients by name, which reach each other unless their names are among cut, as "from>to".
type fleet struct {
	addresses map[string]string
	cut       map[string]bool
	silent    []string
}

func newFleet() *fleet { return &fleet{addresses: map[string]string{}, cut: map[string]bool{}} }

// add starts an instance.
func (f *fleet) add(t *testing.T, name string, d Decider) *Client {
	t.Helper()
	address := func(to string) (string, bool) {
		if f.cut[name+">"+to] {
			return "127.0.0.1:1", true
		}
		address, ok := f.addresses[to]
		return address, ok
	}
	c := NewClient(name, d, address, time.Now, func(holder string, _ error) { f.silent = append(f.silent, holder) })
	t.Cleanup(c.Close)
	s := httptest.NewServer(c)
	t.Cleanup(s.Close)
	f.addresses[name] = strings.TrimPrefix(s.URL, "http://")
	return c
}

var question1 = passthrough.GrantRequest{
	Server: "shop/0 &", StartTime: 17, SlowStart: true, Limit: passthrough.RateLimit{Limited: true, PerSecond: 0.125}, LimitAge: 2 * time.Second, MaxWait: 70 * time.Millisecond,
}

// TestHolderAnswers guards against a question that arrives changed, and against answers that are lost on the way.
func TestHolderAnswers(t *testing.T) {
	f := newFleet()
	holder := &fakeDecider{left: 1}
	f.add(t, "holder", holder)
	asking := f.add(t, "asking", &fakeDecider{})
	got, err := asking.Ask(t.Context(), []string{"holder"}, question1)
	if want := (passthrough.Grant{Given: true, Wait: 3 * time.Millisecond}); err != nil || got != want {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
	if holder.asked[0] != question1 {
		t.Errorf("the holder was asked %+v, want %+v", holder.asked[0], question1)
	}
	if got, err = asking.Ask(t.Context(), []string{"holder"}, question1); err != nil || got.Given || got.Wait != time.Second {
		t.Errorf("got %+v, %v, want none for a second", got, err)
	}
	holder.decline = true
	if _, err = asking.Ask(t.Context(), []string{"holder"}, question1); !errors.Is(err, ErrDeclined) {
		t.Errorf("got %v, want %v", err, ErrDeclined)
	}
}

// TestNextInRankAsksTheHolderFirst guards against two instances that give grants for the same server, as the one that asks
// cannot reach the first.
func TestNextInRankAsksTheHolderFirst(t *testing.T) {
	f := newFleet()
	first, second := &fakeDecider{left: 10}, &fakeDecider{left: 10, senior: []string{"first"}}
	f.add(t, "first", first)
	f.add(t, "second", second)
	asking := f.add(t, "asking", &fakeDecider{})
	f.cut["asking>first"] = true
	if _, err := asking.Ask(t.Context(), []string{"first", "second"}, question1); err != nil {
		t.Fatal(err)
	}
	if len(first.asked) != 1 || len(second.asked) != 0 {
		t.Errorf("%d and %d grants by the first and the second in rank, want 1 and 0", len(first.asked), len(second.asked))
	}
	f.cut["second>first"] = true
	if _, err := asking.Ask(t.Context(), []string{"first", "second"}, question1); err != nil || len(second.asked) != 1 {
		t.Errorf("%v, %d grants by the second in rank, want 1", err, len(second.asked))
	}
}

// TestSilentHolderIsNotAskedByEachRequest guards against requests that each wait for a holder without power.
func TestSilentHolderIsNotAskedByEachRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // accepts in the backlog and never answers
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	f := newFleet()
	f.addresses["first"] = l.Addr().String()
	second := &fakeDecider{left: 100}
	f.add(t, "second", second)
	asking := f.add(t, "asking", &fakeDecider{})
	for range 20 {
		if _, err := asking.Ask(t.Context(), []string{"first", "second"}, question1); err != nil {
			t.Fatal(err)
		}
	}
	if len(f.silent) == 0 || len(f.silent) > 10 {
		t.Errorf("the first in rank was found silent %d times by 20 questions, want few", len(f.silent))
	}
	if _, err := asking.Ask(t.Context(), []string{"unknown"}, question1); !errors.Is(err, ErrNoHolder) {
		t.Errorf("got %v, want %v", err, ErrNoHolder)
	}
}

// TestAnswerWithoutEnd guards against a peer whose answer never ends, in its head or its body, and against the memory that
// it would take.
func TestAnswerWithoutEnd(t *testing.T) {
	for name, head := range map[string]string{"head": "HTTP/1.1 200 OK\r\nX: ", "body": "HTTP/1.1 200 OK\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			address := serveWithoutEnd(t, head, closed)
			f := newFleet()
			f.addresses["first"] = address
			asking := f.add(t, "asking", &fakeDecider{left: 1})
			began := time.Now()
			if _, err := asking.Ask(t.Context(), []string{"first", "asking"}, question1); err != nil {
				t.Errorf("the next in rank was not asked: %v", err)
			}
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				t.Errorf("the connection is still open %v later", time.Since(began))
			}
		})
	}
}

// serveWithoutEnd sends the head of a response, and bytes without end after it, on each connection. It closes closed once
// the connection has ended.
func serveWithoutEnd(t *testing.T, head string, closed chan struct{}) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = c.Write([]byte(head))
		for chunk := []byte(strings.Repeat("x", 4096)); ; {
			if _, err := c.Write(chunk); err != nil {
				close(closed)
				return
			}
		}
	}()
	return l.Addr().String()
}

// TestMalformedQuestionIsRejected guards against grants for questions that cannot be read.
func TestMalformedQuestionIsRejected(t *testing.T) {
	f := newFleet()
	d := &fakeDecider{left: 1}
	f.add(t, "holder", d)
	for _, query := range []string{"", "server=a&start=x&max_wait=1", "server=a&start=1&max_wait=", "server=a&start=1&max_wait=1&limit=y&limit_age=1"} {
		resp, err := http.Get("http://" + f.addresses["holder"] + Path + "?" + query)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusBadRequest {
			t.Errorf("%q: status %d, want 400", query, resp.StatusCode)
		}
	}
	if len(d.asked) != 0 {
		t.Errorf("%d grants were asked for, want none", len(d.asked))
	}
}
