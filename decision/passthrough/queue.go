package passthrough

import (
	"time"

	"masticplank.example/decision/internal/fair"
)

// queue holds the requests that wait for a service: by rank, and within a rank by fair
// shares of the teams.
//
// Load: one team that sends many times its usual, and urgent work behind work that can
// wait. Harm prevented: a small team that waits behind a large one's burst, and a caller
// of the first rank behind callers of the last.
type queue struct {
	group    fair.Group
	accounts map[string]*fair.Account
	classes  []*priorityClass
	turn     int
	len      int
}

type priorityClass struct {
	priority int
	queue    fair.Queue[*queueEntry]
	flows    map[string]*fair.Flow[*queueEntry]
}

// waiter is a request's place in the queue.
type queueEntry struct {
	item    fair.Item[*queueEntry]
	request *request
	class   *priorityClass
}

// lowTurn gives each so many-th place to the last rank first, so that work of a low rank
// is slowed by a long rush of the higher ones and not stopped.
const lowPriorityTurn = 8

func (q *queue) push(r *request, cost float64) {
	rq, flow := q.flow(r)
	entry := &queueEntry{request: r, class: rq}
	entry.item.Value, entry.item.Cost = entry, max(cost, 1)
	r.queueEntry = entry
	rq.queue.Push(flow, &entry.item)
	q.len++
}

// flow finds the part of the queue that the request's team has at its rank.
func (q *queue) flow(r *request) (*priorityClass, *fair.Flow[*queueEntry]) {
	if q.accounts == nil {
		q.accounts = map[string]*fair.Account{}
	}
	account := q.accounts[r.Team]
	if account == nil {
		account = q.group.NewAccount(1)
		q.accounts[r.Team] = account
	}
	rq := q.class(r.Priority)
	flow := rq.flows[r.Team]
	if flow == nil {
		flow = &fair.Flow[*queueEntry]{}
		rq.queue.Init(flow, account)
		rq.flows[r.Team] = flow
	}
	return rq, flow
}

// ahead estimates how many requests would go before this one.
//
// Load: a queue that one large team has filled. Harm prevented: a small team's requests
// refused for a wait that is not theirs, as their turn comes by their own share.
func (q *queue) ahead(r *request) int {
	if q.len == 0 {
		return 0
	}
	rq, flow := q.flow(r)
	count := 0
	for _, other := range q.classes {
		if other.priority < r.Priority {
			count += other.queue.Len()
		}
	}
	if n := rq.queue.Len(); n > 0 {
		usual := rq.queue.Cost() / float64(n)
		count += int(rq.queue.Ahead(flow)/usual + 0.5)
	}
	return count
}

// rank finds the queue of a rank; the ranks stand in order.
func (q *queue) class(priority int) *priorityClass {
	at := 0
	for at < len(q.classes) && q.classes[at].priority < priority {
		at++
	}
	if at < len(q.classes) && q.classes[at].priority == priority {
		return q.classes[at]
	}
	rq := &priorityClass{priority: priority, flows: map[string]*fair.Flow[*queueEntry]{}}
	q.classes = append(q.classes, nil)
	copy(q.classes[at+1:], q.classes[at:])
	q.classes[at] = rq
	return rq
}

// next is the request whose turn it is, or nil.
func (q *queue) next() *request {
	if q.len == 0 {
		return nil
	}
	low := q.turn%lowPriorityTurn == lowPriorityTurn-1
	for i := range q.classes {
		rq := q.classes[i]
		if low {
			rq = q.classes[len(q.classes)-1-i]
		}
		if it := rq.queue.Peek(); it != nil {
			return it.Value.request
		}
	}
	return nil
}

// take removes the request whose turn it was, and charges its team.
func (q *queue) take(r *request) {
	r.queueEntry.class.queue.Pop()
	r.queueEntry = nil
	q.turn++
	q.len--
}

// remove takes a request out that need not wait any more.
func (q *queue) remove(r *request) {
	if r.queueEntry == nil {
		return
	}
	r.queueEntry.class.queue.Remove(&r.queueEntry.item)
	r.queueEntry = nil
	q.len--
}

const (
	// waitPart is the part of the time to a request's target that it may spend in the
	// queue: the rest is the backend server's. Past it a caller does better to come
	// back, as one refusal with a time costs less than an answer that comes too late.
	queueWaitFraction = 0.4
	// waitMost bounds the wait of requests with distant targets.
	queueWaitCap = 3 * time.Second
)

// MaxWait is how long the request may wait in the queue from now.
func MaxQueueWait(r *Request, now time.Time) time.Duration {
	return max(min(time.Duration(queueWaitFraction*float64(r.timeLeft(now))), queueWaitCap), 0)
}

// lateWait is the part of the time to the deadline that a request may still wait for once its
// target has passed.
const lateWaitFraction = 0.25

// timeLeft is how long the request has from now for an answer in time, or, where it is too
// late for that, for one at all.
func (r *Request) timeLeft(now time.Time) time.Duration {
	room := min(r.TargetTime.Sub(now), r.Deadline.Sub(now))
	if room <= 0 {
		room = time.Duration(lateWaitFraction * float64(r.Deadline.Sub(now)))
	}
	return room
}
