package fold

import "container/heap"

// bucketWidth is the wheel's step in microseconds. A register may stay in
// memory that long past its expiry; lookups compare the exact time.
const bucketMicros = 1_000_000

// wheel orders references by the second in which they expire. Adding costs one
// map access and collecting one step for each reference, whatever the number
// held: a full scan of a million registers at each entry would not do.
type timingWheel[T any] struct {
	buckets map[int64][]T
	order   bucketHeap
}

func newTimingWheel[T any]() timingWheel[T] {
	return timingWheel[T]{buckets: map[int64][]T{}}
}

// add files ref under the time expires, in microseconds.
func (w *timingWheel[T]) add(expires int64, ref T) {
	b := expires / bucketMicros
	refs, ok := w.buckets[b]
	if !ok {
		heap.Push(&w.order, b)
	}
	w.buckets[b] = append(refs, ref)
}

// collect calls f for each reference in a bucket that lies wholly before now.
func (w *timingWheel[T]) collect(now int64, f func(T)) {
	for len(w.order) > 0 && (w.order[0]+1)*bucketMicros <= now {
		b := heap.Pop(&w.order).(int64)
		refs := w.buckets[b]
		delete(w.buckets, b)
		for _, ref := range refs {
			f(ref)
		}
	}
}

// collectable says whether what expires at that time is due for collection: its
// whole bucket is past. References may be older than what stands behind them,
// so this, and not being referred to, decides; otherwise a reader that started
// from a snapshot, and lacks the old references, would hold another state.
func collectable(expires, now int64) bool {
	return (expires/bucketMicros+1)*bucketMicros <= now
}

// bucketHeap is a min-heap of bucket numbers.
type bucketHeap []int64

func (h bucketHeap) Len() int           { return len(h) }
func (h bucketHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h bucketHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *bucketHeap) Push(x any)        { *h = append(*h, x.(int64)) }
func (h *bucketHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
