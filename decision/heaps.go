package decision

import "time"

// dueEntry is a request and its next timeout. The timeout is the time since the
// world's first tick, which, unlike a time of day, does not jump when the clock is
// set. The entry holds the compared fields, so that ordering reads no row.
type dueEntry struct {
	due     time.Duration
	id      RequestID
	request *request
}

// dueHeap orders requests by due, then by id.
type dueHeap []dueEntry

func (h dueHeap) Len() int { return len(h) }
func (h dueHeap) Less(i, j int) bool {
	if h[i].due != h[j].due {
		return h[i].due < h[j].due
	}
	return h[i].id < h[j].id
}
func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].request.duePos = i
	h[j].request.duePos = j
}
func (h *dueHeap) Push(x any) {
	// x is World.dueBuffer, which is reused: copy it.
	e := *x.(*dueEntry)
	e.request.duePos = len(*h)
	*h = append(*h, e)
}
func (h *dueHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last].request
	(*h)[last] = dueEntry{}
	*h = (*h)[:last]
	r.duePos = -1
	return r
}

// wake is a time at which refreshFree must be called for a server.
type wake struct {
	at     time.Time
	seq    uint64
	server *server
}

// wakeHeap orders wakes by time, then by sequence number.
type wakeHeap []wake

func (h wakeHeap) Len() int { return len(h) }
func (h wakeHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h wakeHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *wakeHeap) Push(x any)   { *h = append(*h, x.(wake)) }
func (h *wakeHeap) Pop() any {
	last := len(*h) - 1
	top := (*h)[last]
	(*h)[last] = wake{}
	*h = (*h)[:last]
	return top
}
