// Package fair shares capacity among teams by weighted max-min fairness, with
// priority within a team, over any number of queues.
//
// It is start-time fair queueing: each team's account carries a tag, the work
// that it was given divided by its weight, and in each queue the account with
// the smallest tag is next. It bounds unfairness as deficit round robin does, but
// needs no quantum, which with costs from 1 to 100,000 tokens would be either
// unfair or slow.
//
// The account is one for all queues: a team that can only use one pool gets more
// of that one, if it gets nothing of the others (max-min fairness with placement
// constraints). Push, Pop and Remove cost O(log flows + log items of the flow).
//
// Nothing here is safe for concurrent use. Equal calls give equal orders.
package fair

import "container/heap"

// Item is one queued piece of work. The owner embeds or keeps it; it may be
// queued in at most one flow at a time.
type Item[T any] struct {
	Value T
	// Cost in the queues' unit, above 0.
	Cost float64
	// Priority within the flow, higher first; equal ones in order of first Push.
	Priority int

	seq       uint64
	heapIndex int
	flow      *Flow[T]
}

// Queued says whether the item is in a queue.
func (it *Item[T]) Queued() bool { return it.flow != nil }

// Flow is one account's part of one queue.
type Flow[T any] struct {
	account *Account
	queue   *Queue[T]
	items   itemHeap[T]
	cost    float64
	// key is the account's tag when the flow was last placed in the heap. Tags
	// only grow, so the heap's top is made true when it is looked at.
	key       float64
	heapIndex int
	index     int
}

// Len is the number of queued items of the flow.
func (f *Flow[T]) Len() int { return len(f.items) }

// Cost is the sum of the queued items' costs.
func (f *Flow[T]) Cost() float64 { return f.cost }

// Weight is the account's weight.
func (f *Flow[T]) Weight() float64 { return f.account.weight }

// Queue is the work that waits for one pool. The zero value is ready.
type Queue[T any] struct {
	active flowHeap[T]
	flows  []*Flow[T]
	cost   float64
	len    int
}

// Init makes f the account's flow of the queue.
func (q *Queue[T]) AddFlow(f *Flow[T], a *Account) {
	*f = Flow[T]{account: a, queue: q, heapIndex: -1, index: len(q.flows)}
	q.flows = append(q.flows, f)
}

// Len is the number of queued items.
func (q *Queue[T]) Len() int { return q.len }

// Cost is the sum of all queued items' costs.
func (q *Queue[T]) Cost() float64 { return q.cost }

// Weight is the sum of all flows' weights.
func (q *Queue[T]) Weight() float64 {
	sum := 0.0
	for _, f := range q.flows {
		sum += f.account.weight
	}
	return sum
}

// ActiveWeight is the sum of the weights of the flows with queued items, and of
// f.
func (q *Queue[T]) ActiveWeight(f *Flow[T]) float64 {
	sum := 0.0
	for _, other := range q.active {
		sum += other.account.weight
	}
	if f.heapIndex < 0 {
		sum += f.account.weight
	}
	return sum
}

// Ahead is the cost that goes before a new item of the flow, by the present
// tags: what the flow has queued, and what each other one has queued up to the
// tag at which the item's turn comes. It costs O(active flows).
func (q *Queue[T]) CostAhead(f *Flow[T]) float64 {
	turn := f.account.startTag() + f.cost/f.account.weight
	sum := f.cost
	for _, other := range q.active {
		if other != f {
			a := other.account
			sum += min(other.cost, max(turn-a.tag, 0)*a.weight)
		}
	}
	return sum
}

// Push queues an item. One that was queued before, here or elsewhere, keeps its
// age: what is tried again does not go to the end.
func (q *Queue[T]) Push(f *Flow[T], it *Item[T]) {
	f.account.itemQueued()
	if it.seq == 0 {
		it.seq = f.account.group.nextSeq()
	}
	it.flow = f
	heap.Push(&f.items, it)
	f.cost += it.Cost
	q.cost += it.Cost
	q.len++
	if f.heapIndex < 0 {
		f.key = f.account.tag
		heap.Push(&q.active, f)
	}
}

// Peek returns the item that Pop would, or nil.
func (q *Queue[T]) Peek() *Item[T] {
	for len(q.active) > 0 {
		f := q.active[0]
		if f.key == f.account.tag {
			return f.items[0].item
		}
		f.key = f.account.tag
		heap.Fix(&q.active, 0)
	}
	return nil
}

// Pop takes the next item and charges its account, or returns nil.
func (q *Queue[T]) Pop() *Item[T] {
	it := q.Peek()
	if it == nil {
		return nil
	}
	a := it.flow.account
	q.removeItem(it)
	a.charge(it.Cost)
	return it
}

// Remove takes an item out without a charge; one that is not queued is left.
func (q *Queue[T]) Remove(it *Item[T]) {
	if it.flow != nil {
		q.removeItem(it)
	}
}

// take removes a queued item and keeps the sums.
func (q *Queue[T]) removeItem(it *Item[T]) {
	f := it.flow
	heap.Remove(&f.items, it.heapIndex)
	it.flow = nil
	f.cost -= it.Cost
	q.cost -= it.Cost
	q.len--
	f.account.itemRemoved()
	if q.len == 0 {
		q.cost = 0 // no rounding is carried on
	}
	if len(f.items) > 0 {
		return
	}
	f.cost = 0
	heap.Remove(&q.active, f.heapIndex)
}
