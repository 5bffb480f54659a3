package fold

import "container/heap"

// bucketMicros is the width of a bucket of the timing wheel in microseconds. A
// register may stay in memory that long past its expiry; lookups compare the
// exact time.
const bucketMicros = 1_000_000

// timingWheel groups references by the second in which they expire. Adding one
// costs a map access (and a heap insertion for the first of a bucket), and
// collecting one a single step, however many are held; scanning a million
// registers at each entry would be too slow.
type timingWheel[T any] struct {
	buckets map[int64][]T
	order   bucketHeap
}

func newTimingWheel[T any]() timingWheel[T] {
	return timingWheel[T]{buckets: map[int64][]T{}}
}

// add stores ref under its expiry in Unix microseconds.
func (w *timingWheel[T]) add(expires int64, ref T) {
	b := expires / bucketMicros
	refs, ok := w.buckets[b]
	if !ok {
		heap.Push(&w.order, b)
	}
	w.buckets[b] = append(refs, ref)
}

// collect removes the buckets that end at or before now and calls f for each of
// their references.
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

// collectable reports whether a row or tombstone with that expiry is due for
// collection, which is once its whole bucket is past. A reference may be older
// than the row that it points to, so the existence of a reference must not
// decide: a reader restored from a snapshot lacks the old references and would
// hold a different state.
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
