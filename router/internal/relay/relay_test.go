package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"masticplank.example/coordination/keyedlog"
)

// store is a topic in memory that counts its reads.
type store struct {
	mu      sync.Mutex
	records []keyedlog.Record
	reads   int
	err     error
}

func (s *store) Read(_ context.Context, from uint64, _ time.Duration) (keyedlog.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.err != nil {
		return keyedlog.Batch{}, s.err
	}
	return keyedlog.Batch{Records: append([]keyedlog.Record(nil), s.records[from:]...), Next: uint64(len(s.records))}, nil
}

func (s *store) Newest(context.Context) (keyedlog.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.err != nil {
		return keyedlog.Snapshot{}, s.err
	}
	return keyedlog.Snapshot{Records: append([]keyedlog.Record(nil), s.records...), Next: uint64(len(s.records))}, nil
}

func (s *store) Append(_ context.Context, _ uint64, records ...keyedlog.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		r.Offset = uint64(len(s.records))
		s.records = append(s.records, r)
	}
	return s.err
}

func (s *store) put(key, value string) {
	_ = s.Append(context.Background(), keyedlog.Anywhere, keyedlog.Record{Key: key, Value: []byte(value)}) // in memory
}

func (s *store) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

const testTopic = "t"

// instance is one with a collector's server and a follower's log.
type instance struct {
	members *Members
	client  *Client
	cache   *Cache
	log     *Log
	stop    context.CancelFunc
	taken   []keyedlog.Record
	fleet   int
}

// startInstances starts instances of one failure domain on a shared store. They rank in
// order, by their cores.
func startInstances(t *testing.T, st *store, count int, oldest time.Duration) []*instance {
	t.Helper()
	var all []*instance
	var list []Member
	var listeners []net.Listener
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		list = append(list, Member{Name: fmt.Sprint("i", i), Domain: "d", Address: l.Addr().String(), Cores: float64(count - i)})
	}
	for i := range count {
		in := &instance{members: NewMembers(list[i], 1, time.Now)}
		for _, m := range list {
			in.members.Add(m)
		}
		in.client = NewClient(in.members, time.Now)
		in.cache = NewCache(time.Now, nil)
		in.log = NewLog(testTopic, st, in.client, in.cache, oldest, func(string, string) {})
		srv := NewServer(time.Now, map[string]*Cache{testTopic: in.cache}, func(_ string, r []keyedlog.Record) error {
			in.taken = append(in.taken, r...)
			return nil
		}, func() int { return in.fleet })
		ctx, stop := context.WithCancel(context.Background())
		in.stop = stop
		go srv.Serve(ctx, listeners[i])
		t.Cleanup(func() { stop(); in.client.Close() })
		all = append(all, in)
	}
	return all
}

func (in *instance) newest(t *testing.T) keyedlog.Snapshot {
	t.Helper()
	s, err := in.log.Newest(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestFollowersReadByTheCollector(t *testing.T) {
	st := &store{}
	st.put("a", "1")
	all := startInstances(t, st, 3, time.Minute)
	all[0].newest(t)
	for _, in := range all[1:] {
		if s := in.newest(t); len(s.Records) != 1 || s.Next != 1 || s.Age <= 0 {
			t.Errorf("snapshot %+v", s)
		}
	}
	if n := st.count(); n != 1 {
		t.Errorf("the store was read %d times", n)
	}
	st.put("b", "2")
	done := make(chan keyedlog.Batch)
	go func() {
		b, err := all[1].log.Read(t.Context(), 1, time.Second)
		if err != nil {
			t.Error(err)
		}
		done <- b
	}()
	time.Sleep(20 * time.Millisecond) // the follower's question waits at the collector
	if _, err := all[0].log.Read(t.Context(), 1, 0); err != nil {
		t.Fatal(err)
	}
	if b := <-done; len(b.Records) != 1 || b.Records[0].Key != "b" || b.Next != 2 {
		t.Errorf("batch %+v", b)
	}
}

func TestDeadCollectorCostsOneTimeOut(t *testing.T) {
	st := &store{}
	st.put("a", "1")
	all := startInstances(t, st, 4, time.Minute)
	all[0].newest(t)
	all[0].stop()
	all[1].newest(t) // finds it out and reads the store, being the next
	began := st.count()
	if s := all[2].newest(t); len(s.Records) != 1 {
		t.Errorf("snapshot %+v", s)
	}
	all[2].newest(t) // now by the second
	all[3].newest(t)
	all[3].newest(t)
	if n := st.count() - began; n > 2 {
		t.Errorf("two followers read the store %d times after the collector's death", n)
	}
	if list := all[2].members.Collectors(); len(list) == 0 || list[0].Name != "i1" {
		t.Errorf("collectors %+v", list)
	}
}

func TestOldAnswerIsNotTaken(t *testing.T) {
	st := &store{}
	st.put("a", "1")
	all := startInstances(t, st, 2, 30*time.Millisecond)
	all[0].newest(t)
	time.Sleep(50 * time.Millisecond) // the collector is cut off from the store
	before := st.count()
	if s := all[1].newest(t); s.Age > 30*time.Millisecond {
		t.Errorf("age %v", s.Age)
	}
	if st.count() == before {
		t.Error("the follower took an answer that is too old")
	}
}

// TestAgeIsNeverTooYoung holds that an answer's age covers the time since the collector's
// own read began, however long the question waited on its way.
func TestAgeIsNeverTooYoung(t *testing.T) {
	a := answer{AgeUS: 500_000, TookUS: 200_000}
	if got := a.age(900 * time.Millisecond); got != 1200*time.Millisecond {
		t.Errorf("age %v, want the age at the answer and all of the way", got)
	}
	if got := a.age(100 * time.Millisecond); got != 500*time.Millisecond {
		t.Errorf("age %v, by clocks that run unevenly", got)
	}
}

func TestFollowersRecordsAreHandedOver(t *testing.T) {
	st := &store{}
	all := startInstances(t, st, 2, time.Minute)
	all[0].newest(t)
	if err := all[1].log.Append(t.Context(), keyedlog.Anywhere, keyedlog.Record{Key: "k", Value: []byte("v")}); err != nil {
		t.Fatal(err)
	}
	if len(all[0].taken) != 1 || len(st.records) != 0 {
		t.Errorf("the collector took %v", all[0].taken)
	}
	if err := all[1].log.Append(t.Context(), 0, keyedlog.Record{Key: "k", Value: []byte("v")}); err != nil || len(st.records) != 1 {
		t.Errorf("an append with a condition did not go to the store: %v", err)
	}
}

func TestCache(t *testing.T) {
	now := time.Unix(100, 0)
	same := func(a, b keyedlog.Record) bool { return string(a.Value) == string(b.Value) }
	c := NewCache(func() time.Time { return now }, same)
	ctx := t.Context()
	if _, err := c.Read(ctx, 0, 0); !errors.Is(err, keyedlog.ErrNotDone) {
		t.Errorf("an empty cache answers %v", err)
	}
	c.Replace(keyedlog.Snapshot{Records: []keyedlog.Record{{Key: "a", Value: []byte("1"), Offset: 4}}, Next: 5}, now)
	if _, err := c.Read(ctx, 3, 0); !errors.Is(err, keyedlog.ErrGone) {
		t.Errorf("a read from before: %v", err)
	}
	if _, err := c.Read(ctx, 9, 0); !errors.Is(err, keyedlog.ErrNotDone) {
		t.Errorf("a read from after the end: %v", err)
	}
	now = now.Add(time.Second)
	c.Add(keyedlog.Batch{Next: 8, Records: []keyedlog.Record{
		{Key: "a", Value: []byte("1"), Offset: 5}, {Key: "b", Value: []byte("2"), Offset: 6}, {Key: "a", Offset: 7},
	}}, now.Add(-300*time.Millisecond))
	b, err := c.Read(ctx, 5, 0)
	if err != nil || len(b.Records) != 2 || b.Records[0].Key != "b" || b.Next != 8 || b.Age != 300*time.Millisecond {
		t.Errorf("batch %+v, %v", b, err)
	}
	if b, err := c.Read(ctx, 7, 0); err != nil || len(b.Records) != 1 {
		t.Errorf("batch %+v, %v", b, err)
	}
	if s, err := c.newestAnswer(ctx); err != nil || len(s.Records) != 1 || s.Records[0].Key != "b" {
		t.Errorf("snapshot %+v, %v", s, err)
	}
}

// TestOutageOfTheStoreIsNotMadeWorse holds that followers leave a store alone that gives no
// answer, and learn from their collector when it is back.
func TestOutageOfTheStoreIsNotMadeWorse(t *testing.T) {
	st := &store{}
	st.put("a", "1")
	all := startInstances(t, st, 2, 30*time.Millisecond)
	all[0].newest(t)
	st.mu.Lock()
	st.err = keyedlog.ErrUnknown
	st.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	before := st.count()
	for range 20 {
		if _, err := all[1].log.Read(t.Context(), 1, 0); err == nil {
			t.Fatal("an old answer was taken")
		}
	}
	if n := st.count() - before; n > 1 {
		t.Errorf("a follower asked the store %d times in an outage", n)
	}
	st.mu.Lock()
	st.err = nil
	st.mu.Unlock()
	all[0].newest(t)
	if _, err := all[1].log.Read(t.Context(), 1, 0); err != nil {
		t.Errorf("not by the collector, though it is back: %v", err)
	}
}

func TestInstanceWithoutAnAddressReadsByItself(t *testing.T) {
	st := &store{err: keyedlog.ErrUnknown}
	members := NewMembers(Member{Name: "alone", Domain: "d"}, 1, time.Now)
	client := NewClient(members, time.Now)
	log := NewLog(testTopic, st, client, NewCache(time.Now, nil), time.Minute, func(string, string) {})
	for range 3 {
		if _, err := log.Newest(t.Context()); !errors.Is(err, keyedlog.ErrUnknown) {
			t.Errorf("got %v", err)
		}
	}
	if st.count() != 3 || !members.First() {
		t.Errorf("%d reads, first %v", st.count(), members.First())
	}
}

// TestTheNextInRankIsAskedBeforeTheStore holds that a read whose collector gives no answer,
// or an old one, is answered by the next instance that knows.
func TestTheNextInRankIsAskedBeforeTheStore(t *testing.T) {
	st := &store{}
	st.put("a", "1")
	all := startInstances(t, st, 4, 50*time.Millisecond)
	all[0].newest(t)
	time.Sleep(70 * time.Millisecond) // the first is cut off from the store
	all[1].newest(t)
	before := st.count()
	if s := all[2].newest(t); len(s.Records) != 1 {
		t.Errorf("snapshot %+v", s)
	}
	all[0].stop()
	if s := all[3].newest(t); len(s.Records) != 1 {
		t.Errorf("snapshot %+v", s)
	}
	if n := st.count() - before; n != 0 {
		t.Errorf("the store was read %d times, though the second instance knows", n)
	}
}

// TestQuestionsWaitForACollectorThatIsAboutToKnow holds that instances that start together
// read the store once.
func TestQuestionsWaitForACollectorThatIsAboutToKnow(t *testing.T) {
	st := &store{}
	st.put("a", "1")
	all := startInstances(t, st, 3, time.Minute)
	got := make(chan int)
	for _, in := range all[1:] {
		go func() {
			s, err := in.log.Newest(t.Context())
			if err != nil {
				t.Error(err)
			}
			got <- len(s.Records)
		}()
	}
	time.Sleep(20 * time.Millisecond) // both questions are at the collector
	all[0].newest(t)
	if a, b := <-got, <-got; a != 1 || b != 1 {
		t.Errorf("the followers read %d and %d records", a, b)
	}
	if n := st.count(); n != 1 {
		t.Errorf("the store was read %d times", n)
	}
}

// TestNobodyReadsDirectlyFromASilentStore holds that an instance which finds neither the others nor
// the store does not take itself for the one that writes.
func TestNobodyReadsDirectlyFromASilentStore(t *testing.T) {
	st := &store{err: keyedlog.ErrUnknown}
	all := startInstances(t, st, 1, time.Minute)
	if _, err := all[0].log.Newest(t.Context()); err == nil || all[0].log.Direct() {
		t.Errorf("direct %v after %v", all[0].log.Direct(), err)
	}
	st.mu.Lock()
	st.err = nil
	st.mu.Unlock()
	if all[0].newest(t); !all[0].log.Direct() {
		t.Error("not direct, though the store answered")
	}
}

// TestOneOutageCountsOnce holds that a member that all topics find dead at once is passed
// over for as long as for one failure.
func TestOneOutageCountsOnce(t *testing.T) {
	now := time.Unix(100, 0)
	m := NewMembers(Member{Name: "self", Domain: "d", Address: "a:1"}, 1, func() time.Time { return now })
	m.Add(Member{Name: "first", Domain: "d", Address: "a:2", Cores: 1})
	for range 5 {
		m.Failed("first")
	}
	now = now.Add(failedFor)
	if list := m.Collectors(); len(list) != 1 {
		t.Errorf("collectors %+v after the time of one failure", list)
	}
	m.Failed("first")
	now = now.Add(failedFor)
	if list := m.Collectors(); len(list) != 0 {
		t.Errorf("collectors %+v, though a second failure doubles the time", list)
	}
}

// TestTurnedAwayInstancesReadByThoseThatAreServed holds that an instance that the store
// turns away learns from one that it serves, though the first in rank is turned away too.
func TestTurnedAwayInstancesReadByThoseThatAreServed(t *testing.T) {
	st, away := &store{}, &store{err: keyedlog.ErrUnknown}
	st.put("a", "1")
	all := startInstances(t, st, 4, 50*time.Millisecond)
	all[0].newest(t)
	all[0].log.store, all[2].log.store = away, away
	time.Sleep(70 * time.Millisecond)
	for range 3 {
		all[1].newest(t)
		all[2].newest(t)
	}
	if n := away.count(); n != 0 {
		t.Errorf("%d reads of a store that turns the instance away", n)
	}
}

// slowLink hands one connection after the other on to a target, byte by byte slowly enough
// that an answer takes longer than a usual call.
func slowLink(t *testing.T, target string, delay time.Duration) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				continue
			}
			go func() { _, _ = io.Copy(out, in) }()
			go func() {
				time.Sleep(delay)
				_, _ = io.Copy(in, out)
			}()
		}
	}()
	return l.Addr().String()
}

// TestNewestRecordsMayTakeLong holds that a snapshot which takes longer on its way than a
// usual call still comes from the collector.
func TestNewestRecordsMayTakeLong(t *testing.T) {
	st := &store{}
	st.put("a", "1")
	all := startInstances(t, st, 2, time.Minute)
	all[0].newest(t)
	first := all[1].members.Collectors()[0]
	first.Address = slowLink(t, first.Address, callTimeout+200*time.Millisecond)
	all[1].members.Add(first)
	if s := all[1].newest(t); len(s.Records) != 1 || st.count() != 1 {
		t.Errorf("%d records, %d reads of the store", len(s.Records), st.count())
	}
}

// TestOneReadsHeartbeatsForAllDomains holds that collectors of other failure domains read a far
// topic by the first of all, and the store where that gives no answer.
func TestOneReadsHeartbeatsForAllDomains(t *testing.T) {
	st := &store{}
	st.put("a", "1")
	all := startInstances(t, st, 1, time.Minute)
	all[0].newest(t)
	first := all[0].members.self
	other := startInstances(t, st, 1, time.Minute)[0]
	first.Domain, first.Cores = "elsewhere", other.members.self.Cores+1
	other.members.Add(first)
	before := st.count()
	if s := other.newest(t); len(s.Records) != 1 || st.count() != before+1 {
		t.Errorf("a topic that is not far: %d reads of the store", st.count()-before)
	}
	other.log.Far = true
	before = st.count()
	if s := other.newest(t); len(s.Records) != 1 || st.count() != before || other.log.Direct() {
		t.Errorf("%d records, %d reads of the store, direct %v", len(s.Records), st.count()-before, other.log.Direct())
	}
	all[0].stop()
	if s := other.newest(t); len(s.Records) != 1 || st.count() != before+1 || !other.log.Direct() {
		t.Errorf("the first is gone: %d records, %d reads of the store", len(s.Records), st.count()-before)
	}
}

// waitingStore is a store that keeps a question waiting for as long as it may wait.
type waitingStore struct {
	*store
	waits []time.Duration
}

func (s *waitingStore) Read(ctx context.Context, from uint64, wait time.Duration) (keyedlog.Batch, error) {
	s.waits = append(s.waits, wait)
	return s.store.Read(ctx, from, 0)
}

// TestQuestionThatFindsTheStoreDoesNotWait holds that the one question which is asked while the
// store is away does not wait for a record: all topics wait for its answer. One that waited for
// eight seconds kept the configuration from an instance for five.
func TestQuestionThatFindsTheStoreDoesNotWait(t *testing.T) {
	st := &waitingStore{store: &store{}}
	st.put("a", "1")
	in := startInstances(t, st.store, 1, time.Minute)[0]
	in.log.store = st
	const wait = 8 * time.Second
	for _, away := range []bool{true, false} {
		if away {
			in.log.client.storeFailed()
		}
		if _, err := in.log.Read(t.Context(), 0, wait); err != nil {
			t.Fatal(err)
		}
		want := wait
		if away {
			want = 0
		}
		if got := st.waits[len(st.waits)-1]; got != want {
			t.Errorf("away %v: waits %v, want %v", away, got, want)
		}
	}
}
