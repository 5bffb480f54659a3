package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"masticplank.example/coordination/keyedlog"
)

// fakeStore is an in-memory topic that counts its reads.
type fakeStore struct {
	mu          sync.Mutex
	records     []keyedlog.Record
	reads       int
	newestReads int // reads of the newest records
	err         error
	era         uint64
}

// newestReadCount returns the number of reads of the newest records.
func (s *fakeStore) newestReadCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newestReads
}

// end returns the position at the end of the topic. The lock must be held.
func (s *fakeStore) end() keyedlog.Position {
	return keyedlog.Position{Era: s.era, Offset: uint64(len(s.records))}
}

// restore truncates the topic to its first records and starts a new era.
func (s *fakeStore) restore(records int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = s.records[:records:records]
	s.era++
}

func (s *fakeStore) Read(_ context.Context, from keyedlog.Position, _ time.Duration) (keyedlog.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.err != nil {
		return keyedlog.Batch{}, s.err
	}
	if !from.MatchesEra(s.era) {
		return keyedlog.Batch{}, keyedlog.ErrRestored
	}
	return keyedlog.Batch{Records: append([]keyedlog.Record(nil), s.records[from.Offset:]...), Next: s.end()}, nil
}

func (s *fakeStore) Newest(context.Context) (keyedlog.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	s.newestReads++
	if s.err != nil {
		return keyedlog.Snapshot{}, s.err
	}
	return keyedlog.Snapshot{Records: append([]keyedlog.Record(nil), s.records...), Next: s.end()}, nil
}

func (s *fakeStore) Append(_ context.Context, _ keyedlog.Position, records ...keyedlog.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		r.Offset = uint64(len(s.records))
		s.records = append(s.records, r)
	}
	return s.err
}

func (s *fakeStore) put(key, value string) {
	_ = s.Append(context.Background(), keyedlog.AnyPosition, keyedlog.Record{Key: key, Value: []byte(value)}) // cannot fail in memory
}

func (s *fakeStore) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

const testTopic = "t"

// testInstance has a collector's server and a follower's log.
type testInstance struct {
	members *Members
	client  *Client
	cache   *Cache
	log     *Log
	// stop stops the server, and returns after it has closed its listener and all connections.
	stop      func()
	appended  []keyedlog.Record
	fleetSize int
}

// startInstances starts instances of one failure domain on a shared store. They rank in order, by
// their cores.
func startInstances(t *testing.T, st *fakeStore, count int, maxAge time.Duration) []*testInstance {
	t.Helper()
	var all []*testInstance
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
		in := &testInstance{members: NewMembers(list[i], 1, time.Now)}
		for _, m := range list {
			in.members.Add(m)
		}
		in.client = NewClient(in.members, time.Now)
		in.cache = NewCache(time.Now, nil)
		in.log = NewLog(testTopic, st, in.client, in.cache, maxAge, func(string, string) {})
		srv := NewServer(time.Now, map[string]*Cache{testTopic: in.cache}, func(_ string, r []keyedlog.Record) error {
			in.appended = append(in.appended, r...)
			return nil
		}, func() int { return in.fleetSize })
		ctx, cancel := context.WithCancel(context.Background())
		served := make(chan struct{})
		go func() {
			defer close(served)
			srv.Serve(ctx, listeners[i])
		}()
		in.stop = func() {
			t.Helper()
			cancel()
			waitUntilStopped(t, srv, served)
		}
		t.Cleanup(in.client.Close)
		t.Cleanup(in.stop) // runs first
		all = append(all, in)
	}
	return all
}

// maxStopTime bounds how long a server may take to stop.
const maxStopTime = 10 * time.Second

// waitUntilStopped waits until a server whose context has ended gives no more answers: Serve has
// returned, which closes served, and all connections are closed.
func waitUntilStopped(t *testing.T, srv *Server, served <-chan struct{}) {
	t.Helper()
	deadline := time.Now().Add(maxStopTime)
	select {
	case <-served: // no connection is added any more
	case <-time.After(maxStopTime):
		t.Fatalf("Serve has not returned %v after the stop", maxStopTime)
	}
	for {
		srv.mu.Lock()
		open := len(srv.conns)
		srv.mu.Unlock()
		if open == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d connections are open %v after the stop", open, maxStopTime)
		}
		time.Sleep(time.Millisecond)
	}
}

func (in *testInstance) newest(t *testing.T) keyedlog.Snapshot {
	t.Helper()
	s, err := in.log.Newest(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// startSlowLink starts a proxy that forwards connections to a target and delays the answers.
func startSlowLink(t *testing.T, target string, delay time.Duration) string {
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

// waitingStore records how long each read may wait for a record.
type waitingStore struct {
	*fakeStore
	waits []time.Duration
}

func (s *waitingStore) Read(ctx context.Context, from keyedlog.Position, wait time.Duration) (keyedlog.Batch, error) {
	s.waits = append(s.waits, wait)
	return s.fakeStore.Read(ctx, from, 0)
}
