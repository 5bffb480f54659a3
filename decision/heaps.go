package decision

import "time"

// dueHeap orders requests by due, then by id.
type dueHeap []*request

func (h dueHeap) Len() int { return len(h) }
func (h dueHeap) Less(i, j int) bool {
	if h[i].due != h[j].due {
		return h[i].due < h[j].due
	}
	return h[i].ID < h[j].ID
}
func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].duePos = i
	h[j].duePos = j
}
func (h *dueHeap) Push(x any) {
	r := x.(*request)
	r.duePos = len(*h)
	*h = append(*h, r)
}
func (h *dueHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	r.duePos = -1
	return r
}

// wake says when a server's state must be looked at again.
type wake struct {
	at     time.Time
	seq    uint64
	server *server
}

// wakeHeap orders wakes by time, then by age.
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
