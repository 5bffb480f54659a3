package passthrough

import (
	"time"

	"masticplank.example/decision/internal/fair"
)

// queue holds the requests that wait for a service: by priority, and within a priority by
// fair shares of the teams.
//
// Load: a team that sends many times its usual load, and urgent requests that arrive behind
// ones that can wait. Harm prevented: a small team that waits behind a large one's burst, and
// callers of the highest priority that wait behind those of the lowest.
type queue struct {
	group    fair.Group
	accounts map[string]*fair.Account
	classes  []*priorityClass
	// turn counts the requests taken, for lowPriorityTurn.
	turn int
	len  int
}

// priorityClass holds the requests of one priority, by team. Callers that have come back after a refusal are a class of
// their own, if admission is shared.
type priorityClass struct {
	rank  rank
	queue fair.Queue[*queueEntry]
	flows map[string]*fair.Flow[*queueEntry]
}

// rank is the order of the classes: by urgency, and among equal ones those of returned callers first.
type rank struct {
	urgency  int
	returned bool
}

func (a rank) before(b rank) bool {
	return a.urgency < b.urgency || a.urgency == b.urgency && a.returned && !b.returned
}

func (r *request) rank() rank { return rank{r.urgency, r.returned} }

// queueEntry is a request in the queue.
type queueEntry struct {
	item    fair.Item[*queueEntry]
	request *request
	class   *priorityClass
}

// lowPriorityTurn is the interval, in requests taken from the queue, at which a slot goes to
// the lowest priority first, so that a long burst at higher priorities delays it but does not
// starve it.
const lowPriorityTurn = 8

func (q *queue) push(r *request, cost float64) {
	class, flow := q.flow(r)
	entry := &queueEntry{request: r, class: class}
	entry.item.Value, entry.item.Cost = entry, max(cost, 1)
	r.queueEntry = entry
	class.queue.Push(flow, &entry.item)
	q.len++
}

// flow returns the flow of the request's team at its priority.
func (q *queue) flow(r *request) (*priorityClass, *fair.Flow[*queueEntry]) {
	if q.accounts == nil {
		q.accounts = map[string]*fair.Account{}
	}
	account := q.accounts[r.Team]
	if account == nil {
		account = q.group.NewAccount(1)
		q.accounts[r.Team] = account
	}
	class := q.class(r.rank())
	flow := class.flows[r.Team]
	if flow == nil {
		flow = &fair.Flow[*queueEntry]{}
		class.queue.AddFlow(flow, account)
		class.flows[r.Team] = flow
	}
	return class, flow
}

// ahead estimates how many requests would be served before this one.
//
// Load: a queue filled by one large team. Harm prevented: a small team's request refused for
// a wait that it would not have, as it is served by its team's own share.
func (q *queue) ahead(r *request) int {
	if q.len == 0 {
		return 0
	}
	class, flow := q.flow(r)
	count := 0
	for _, other := range q.classes {
		if other.rank.before(r.rank()) {
			count += other.queue.Len()
		}
	}
	if n := class.queue.Len(); n > 0 {
		meanCost := class.queue.Cost() / float64(n)
		count += int(class.queue.CostAhead(flow)/meanCost + 0.5)
	}
	return count
}

// class returns the class of a rank, and adds it if needed; q.classes is sorted by rank.
func (q *queue) class(of rank) *priorityClass {
	at := 0
	for at < len(q.classes) && q.classes[at].rank.before(of) {
		at++
	}
	if at < len(q.classes) && q.classes[at].rank == of {
		return q.classes[at]
	}
	class := &priorityClass{rank: of, flows: map[string]*fair.Flow[*queueEntry]{}}
	q.classes = append(q.classes, nil)
	copy(q.classes[at+1:], q.classes[at:])
	q.classes[at] = class
	return class
}

// next is the request whose turn it is, or nil.
func (q *queue) next() *request {
	if q.len == 0 {
		return nil
	}
	low := q.lowTurn()
	for i := range q.classes {
		class := q.classes[i]
		if low {
			class = q.classes[len(q.classes)-1-i]
		}
		if it := class.queue.Peek(); it != nil {
			return it.Value.request
		}
	}
	return nil
}

// lowTurn reports whether the next slot goes to the lowest priority first.
func (q *queue) lowTurn() bool { return q.turn%lowPriorityTurn == lowPriorityTurn-1 }

// take removes the request whose turn it was, and charges its team.
func (q *queue) take(r *request) {
	r.queueEntry.class.queue.Pop()
	r.queueEntry = nil
	q.turn++
	q.len--
}

// remove removes a request that no longer waits.
func (q *queue) remove(r *request) {
	if r.queueEntry == nil {
		return
	}
	r.queueEntry.class.queue.Remove(&r.queueEntry.item)
	r.queueEntry = nil
	q.len--
}

const (
	// queueWaitFraction is the fraction of the time to a request's target that it may spend
	// in the queue; the rest is the backend server's. Once a request has waited that long, its
	// caller does better to retry, as one refusal with a retry-after time costs less than a
	// response that comes too late.
	queueWaitFraction = 0.4
	// queueWaitCap bounds the wait of requests with distant targets.
	queueWaitCap = 3 * time.Second
)

// MaxQueueWait is how long the request may wait in the queue from now on.
func MaxQueueWait(r *Request, now time.Time) time.Duration {
	return max(min(time.Duration(queueWaitFraction*float64(r.timeLeft(now))), queueWaitCap), 0)
}

// lateWaitFraction is the fraction of the time to the deadline that timeLeft returns once a request's
// target time has passed.
const lateWaitFraction = 0.25

// timeLeft is the time from now until the request's target time, or its deadline if that is
// earlier; once that has passed, a fraction of the time until the deadline.
func (r *Request) timeLeft(now time.Time) time.Duration {
	left := min(r.TargetTime.Sub(now), r.Deadline.Sub(now))
	if left <= 0 {
		left = time.Duration(lateWaitFraction * float64(r.Deadline.Sub(now)))
	}
	return left
}
