package engine

import (
	"container/heap"
	"context"
	"errors"
	"sync"
)

// errBusy means that both the slots and the queue are full.
var errBusy = errors.New("engine: slots and queue are full")

// slots admits requests to the running batch: at most limit at once. The others
// wait in order of priority, highest number first, then of arrival. It is safe for
// concurrent use.
type slots struct {
	limit      int
	queueLimit int

	mu      sync.Mutex
	running int
	seq     uint64
	queue   waiters
}

// acquire waits for a slot. It returns errBusy at once if the queue is full, and
// the context's error if ctx ends first. No slot is held after an error.
func (s *slots) acquire(ctx context.Context, priority int) error {
	s.mu.Lock()
	if s.running < s.limit {
		s.running++
		s.mu.Unlock()
		return nil
	}
	if len(s.queue) >= s.queueLimit {
		s.mu.Unlock()
		return errBusy
	}
	s.seq++
	w := &waiter{priority: priority, seq: s.seq, granted: make(chan struct{})}
	heap.Push(&s.queue, w)
	s.mu.Unlock()

	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		s.abandon(w)
		return ctx.Err()
	}
}

// abandon removes w from the queue, or releases the slot if it was granted one
// in the meantime.
func (s *slots) abandon(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&s.queue, w.index)
		return
	}
	s.releaseLocked()
}

// release frees the slot or hands it to the next waiter.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

// releaseLocked is release with s.mu held.
func (s *slots) releaseLocked() {
	if len(s.queue) == 0 {
		s.running--
		return
	}
	next := heap.Pop(&s.queue).(*waiter)
	close(next.granted)
}

// load returns the numbers of running and of waiting requests.
func (s *slots) load() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.queue)
}

// waiter is one request in the queue.
type waiter struct {
	priority int
	seq      uint64
	// index is the position in the heap, -1 after removal.
	index   int
	granted chan struct{}
}

// waiters is a heap ordered by priority, highest number first, then by arrival.
type waiters []*waiter

func (q waiters) Len() int { return len(q) }

func (q waiters) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].seq < q[j].seq
}

func (q waiters) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push implements heap.Interface.
func (q *waiters) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *waiters) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	w.index = -1
	return w
}
