// Package fair shares capacity among teams by weighted max-min fairness, with
// priority within a team, over any number of queues.
//
// It implements start-time fair queueing: each team's account has a tag, the
// work that it was served divided by its weight, and in each queue the account
// with the smallest tag is next. Unfairness is bounded as with deficit round
// robin, but without a quantum: for costs from 1 to 100,000 tokens, any quantum
// would be either unfair or slow.
//
// A team has one account for all queues: a team that can use only one pool gets
// more of that pool, since it gets nothing of the others (max-min fairness with
// placement constraints). Push, Pop and Remove take O(log flows + log items of
// the flow), and time proportional to the active accounts if an account becomes
// active or idle.
//
// Nothing here is safe for concurrent use. Equal sequences of calls give equal
// orders.
package fair

import "container/heap"

// Item is one piece of work. It is allocated by the caller and can be queued in
// at most one flow at a time.
type Item[T any] struct {
	Value T
	// Cost is above 0, in a unit that the caller chooses for all queues of a
	// Group.
	Cost float64
	// Priority orders the items within the flow, higher first; items of equal
	// priority are in the order of their first Push.
	Priority int

	seq       uint64
	heapIndex int
	flow      *Flow[T]
}

// Queued reports whether the item is in a queue.
func (it *Item[T]) Queued() bool { return it.flow != nil }

// Flow holds one account's items in one queue.
type Flow[T any] struct {
	account *Account
	queue   *Queue[T]
	items   itemHeap[T]
	cost    float64
	// key is the account's tag when the flow was last placed in the heap. Tags
	// never decrease, so it is enough to update the key of the heap's top when
	// that is read.
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

// Queue holds the work that waits for one pool. The zero value is ready to use.
type Queue[T any] struct {
	active flowHeap[T]
	flows  []*Flow[T]
	cost   float64
	len    int
}

// AddFlow initializes f as the account's flow of the queue.
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

// ActiveWeight is the sum of the weights of f and of all flows with queued items.
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

// CostAhead is the cost that is served before a new item of the flow, by the
// current tags: the flow's queued cost, and the queued cost of each other flow up
// to the tag at which the new item starts. It takes O(active flows).
func (q *Queue[T]) CostAhead(f *Flow[T]) float64 {
	newItemTag := f.account.startTag() + f.cost/f.account.weight
	sum := f.cost
	for _, other := range q.active {
		if other != f {
			a := other.account
			sum += min(other.cost, max(newItemTag-a.tag, 0)*a.weight)
		}
	}
	return sum
}

// Push queues an item. An item that was queued before, here or in another queue,
// keeps its age, so that a retried one does not go to the end of its flow.
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

// Peek returns the item that Pop would return, or nil.
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

// Pop removes the next item, charges its account and returns it, or returns nil
// if the queue is empty.
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

// Remove removes an item without a charge. It does nothing if the item is not
// queued.
func (q *Queue[T]) Remove(it *Item[T]) {
	if it.flow != nil {
		q.removeItem(it)
	}
}

// removeItem removes a queued item and updates the sums.
func (q *Queue[T]) removeItem(it *Item[T]) {
	f := it.flow
	heap.Remove(&f.items, it.heapIndex)
	it.flow = nil
	f.cost -= it.Cost
	q.cost -= it.Cost
	q.len--
	f.account.itemRemoved()
	if q.len == 0 {
		q.cost = 0 // so that rounding errors do not accumulate
	}
	if len(f.items) > 0 {
		return
	}
	f.cost = 0
	heap.Remove(&q.active, f.heapIndex)
}
