package fair

// itemEntry holds the sort keys of an item, so that comparing does not
// dereference it.
type itemEntry[T any] struct {
	priority int
	seq      uint64
	item     *Item[T]
}

// itemHeap orders a flow's items by priority, then by age.
type itemHeap[T any] []itemEntry[T]

func (h itemHeap[T]) Len() int { return len(h) }
func (h itemHeap[T]) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority > h[j].priority
	}
	return h[i].seq < h[j].seq
}
func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].item.heapIndex = i
	h[j].item.heapIndex = j
}
func (h *itemHeap[T]) Push(x any) {
	it := x.(*Item[T])
	it.heapIndex = len(*h)
	*h = append(*h, itemEntry[T]{priority: it.Priority, seq: it.seq, item: it})
}
func (h *itemHeap[T]) Pop() any {
	last := len(*h) - 1
	it := (*h)[last].item
	(*h)[last] = itemEntry[T]{}
	*h = (*h)[:last]
	return it
}

// flowHeap orders the flows with queued items by key, then by the order in which
// they were added.
type flowHeap[T any] []*Flow[T]

func (h flowHeap[T]) Len() int { return len(h) }
func (h flowHeap[T]) Less(i, j int) bool {
	if h[i].key != h[j].key {
		return h[i].key < h[j].key
	}
	return h[i].index < h[j].index
}
func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}
func (h *flowHeap[T]) Push(x any) {
	f := x.(*Flow[T])
	f.heapIndex = len(*h)
	*h = append(*h, f)
}
func (h *flowHeap[T]) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.heapIndex = -1
	return f
}
