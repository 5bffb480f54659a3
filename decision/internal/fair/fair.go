// Package fair is a queue that shares one pool's capacity among teams by
// weighted max-min fairness, with priority within a team.
//
// It is start-time fair queueing: each flow carries a tag, the work that it was
// given divided by its weight, and the flow with the smallest tag is next. It
// bounds unfairness as deficit round robin does, but needs no quantum, which
// with costs from 1 to 100,000 tokens would be either unfair or slow. Push, Pop
// and Remove cost O(log flows + log items of the flow).
//
// A Queue is not safe for concurrent use. Equal calls give equal orders.
package fair

import "container/heap"

// Item is one queued piece of work. The owner embeds or keeps it; it may be
// queued in at most one flow at a time.
type Item[T any] struct {
	Value T
	// Cost in the queue's unit, above 0.
	Cost float64
	// Priority within the flow, higher first; equal ones in order of Push.
	Priority int

	seq  uint64
	pos  int
	flow *Flow[T]
}

// Queued says whether the item is in a queue.
func (it *Item[T]) Queued() bool { return it.flow != nil }

// Flow is one team's part of a queue.
type Flow[T any] struct {
	items  itemHeap[T]
	weight float64
	tag    float64
	cost   float64
	pos    int
	order  int
}

// Len is the number of queued items of the flow.
func (f *Flow[T]) Len() int { return len(f.items) }

// Cost is the sum of the queued items' costs.
func (f *Flow[T]) Cost() float64 { return f.cost }

// Weight is the flow's weight.
func (f *Flow[T]) Weight() float64 { return f.weight }

// Queue is a set of flows. The zero value is ready.
type Queue[T any] struct {
	active  flowHeap[T]
	virtual float64
	weight  float64
	cost    float64
	len     int
	seq     uint64
	flows   int
}

// Init makes f a flow of the queue. A weight under 1 counts as 1.
func (q *Queue[T]) Init(f *Flow[T], weight int) {
	q.flows++
	*f = Flow[T]{weight: atLeastOne(weight), pos: -1, order: q.flows}
	q.weight += f.weight
}

// SetWeight changes a flow's weight for the work that follows.
func (q *Queue[T]) SetWeight(f *Flow[T], weight int) {
	next := atLeastOne(weight)
	q.weight += next - f.weight
	f.weight = next
}

// Len is the number of queued items.
func (q *Queue[T]) Len() int { return q.len }

// Cost is the sum of all queued items' costs.
func (q *Queue[T]) Cost() float64 { return q.cost }

// Weight is the sum of all flows' weights.
func (q *Queue[T]) Weight() float64 { return q.weight }

// Ahead is the cost that goes before a new item of the flow, by the present
// tags: what the flow has queued, and what each other one has queued up to the
// tag at which the item's turn comes. It costs O(active flows).
func (q *Queue[T]) Ahead(f *Flow[T]) float64 {
	turn := f.tag
	if f.pos < 0 {
		turn = max(turn, q.virtual)
	}
	turn += f.cost / f.weight
	sum := f.cost
	for _, other := range q.active {
		if other != f {
			sum += min(other.cost, max(turn-other.tag, 0)*other.weight)
		}
	}
	return sum
}

// ActiveWeight is the sum of the weights of the flows with queued items, and of
// f.
func (q *Queue[T]) ActiveWeight(f *Flow[T]) float64 {
	sum := 0.0
	for _, other := range q.active {
		sum += other.weight
	}
	if f.pos < 0 {
		sum += f.weight
	}
	return sum
}

// Push queues an item. A flow that was idle starts at the queue's present tag:
// it gets its share from now on, and no credit for the time it asked nothing.
func (q *Queue[T]) Push(f *Flow[T], it *Item[T]) {
	q.seq++
	it.seq = q.seq
	it.flow = f
	heap.Push(&f.items, it)
	f.cost += it.Cost
	q.cost += it.Cost
	q.len++
	if f.pos >= 0 {
		return
	}
	f.tag = max(f.tag, q.virtual)
	heap.Push(&q.active, f)
}

// Peek returns the item that Pop would, or nil.
func (q *Queue[T]) Peek() *Item[T] {
	if len(q.active) == 0 {
		return nil
	}
	return q.active[0].items[0]
}

// Pop takes the next item and charges its flow, or returns nil.
func (q *Queue[T]) Pop() *Item[T] {
	it := q.Peek()
	if it == nil {
		return nil
	}
	f := it.flow
	q.virtual = f.tag
	f.tag += it.Cost / f.weight
	q.take(it)
	return it
}

// Remove takes an item out without a charge; one that is not queued is left.
func (q *Queue[T]) Remove(it *Item[T]) {
	if it.flow != nil {
		q.take(it)
	}
}

// Charge corrects a flow after the fact by the difference between the true and
// the estimated cost, so that a team gains nothing by a wrong estimate. It never
// goes below the queue's present tag: no credit is saved up.
func (q *Queue[T]) Charge(f *Flow[T], delta float64) {
	f.tag = max(f.tag+delta/f.weight, q.virtual)
	if f.pos >= 0 {
		heap.Fix(&q.active, f.pos)
	}
}

// take removes a queued item and keeps the sums.
func (q *Queue[T]) take(it *Item[T]) {
	f := it.flow
	heap.Remove(&f.items, it.pos)
	it.flow = nil
	f.cost -= it.Cost
	q.cost -= it.Cost
	q.len--
	if q.len == 0 {
		q.cost = 0 // no rounding is carried on
	}
	if len(f.items) > 0 {
		heap.Fix(&q.active, f.pos)
		return
	}
	f.cost = 0
	heap.Remove(&q.active, f.pos)
}

func atLeastOne(weight int) float64 { return float64(max(weight, 1)) }

// itemHeap orders a flow's items by priority, then by age.
type itemHeap[T any] []*Item[T]

func (h itemHeap[T]) Len() int { return len(h) }
func (h itemHeap[T]) Less(i, j int) bool {
	if h[i].Priority != h[j].Priority {
		return h[i].Priority > h[j].Priority
	}
	return h[i].seq < h[j].seq
}
func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos = i
	h[j].pos = j
}
func (h *itemHeap[T]) Push(x any) {
	it := x.(*Item[T])
	it.pos = len(*h)
	*h = append(*h, it)
}
func (h *itemHeap[T]) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return it
}

// flowHeap orders the flows with queued items by tag, then by age.
type flowHeap[T any] []*Flow[T]

func (h flowHeap[T]) Len() int { return len(h) }
func (h flowHeap[T]) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].order < h[j].order
}
func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos = i
	h[j].pos = j
}
func (h *flowHeap[T]) Push(x any) {
	f := x.(*Flow[T])
	f.pos = len(*h)
	*h = append(*h, f)
}
func (h *flowHeap[T]) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.pos = -1
	return f
}
