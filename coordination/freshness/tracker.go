package freshness

import (
	"sync"
	"time"
)

// maxPending bounds the heads that wait to be folded. Long polls bring a few a
// second; where folding lags by more, the oldest ones are the first to count.
const maxPendingHeads = 64

// Tracker holds what was seen. Safe for concurrent use; the zero value is not
// valid, see New. Call Tick several times in F.
type Tracker struct {
	mu    sync.Mutex
	self  string
	bound time.Duration

	folded       uint64
	pendingHeads []observedHead
	// confirmed is the time of the youngest confirmation.
	confirmedAt time.Time

	readAt   time.Time
	failedAt time.Time

	live    map[string]bool
	hasList bool
	answers map[string]peerAnswer

	lastTick time.Time
	// resumed is when the last pause was found; nothing before it counts.
	resumedAt time.Time
}

// headSeen is a head of the log and when it was read.
type observedHead struct {
	at   time.Time
	head uint64
}

type peerAnswer struct {
	at     time.Time
	status Vouch
}

// Report is a Mode with what it rests on.
type Report struct {
	Mode Mode
	// Age of the youngest confirmation; negative where there is none.
	Age time.Duration
	// Answering counts the live instances, oneself included, that say they
	// can't reach the log; Live is the size of the list.
	LogUnreachable int
	LiveInstances  int
}

// New returns a Tracker that has seen nothing: ModeStale.
func New(cfg Config) *Tracker {
	if cfg.Bound <= 0 {
		cfg.Bound = DefaultBound
	}
	return &Tracker{self: cfg.Self, bound: cfg.Bound, answers: map[string]peerAnswer{}}
}

// HeadRead: the log was asked at the time at, and its head is head.
func (t *Tracker) HeadRead(at time.Time, head uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readAt = latest(t.readAt, at)
	t.observeHead(observedHead{at, head})
}

// ReadFailed: at the time at, a read of the log was given up.
func (t *Tracker) ReadFailed(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failedAt = latest(t.failedAt, at)
}

// Folded: everything before next is folded here.
func (t *Tracker) Folded(next uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if next <= t.folded {
		return
	}
	t.folded = next
	left := t.pendingHeads[:0]
	for _, h := range t.pendingHeads {
		if h.head <= next {
			t.confirmedAt = latest(t.confirmedAt, h.at)
		} else {
			left = append(left, h)
		}
	}
	t.pendingHeads = left
}

// Vouched: a peer that was asked at the time at answered v. A vouch counts for
// the head that it names whether or not the peer still reaches the log.
func (t *Tracker) Vouched(at time.Time, v Vouch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v.Peer == t.self || v.Peer == "" {
		return
	}
	if known, ok := t.answers[v.Peer]; ok && known.at.After(at) {
		return
	}
	if t.live[v.Peer] {
		t.answers[v.Peer] = peerAnswer{at, v}
	}
	if v.HeadAge >= 0 && v.HeadAge <= t.bound {
		t.observeHead(observedHead{at.Add(-v.HeadAge), v.Head})
	}
}

// Live sets the list of live instances; it may name oneself. It lags, which is
// why it only sets how many must answer.
func (t *Tracker) SetLiveInstances(names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// An empty list is a fault of the list, not a fleet of one.
	t.hasList = len(names) > 0
	t.live = map[string]bool{}
	for _, name := range names {
		if name != "" && name != t.self {
			t.live[name] = true
		}
	}
	for name := range t.answers {
		if !t.live[name] {
			delete(t.answers, name)
		}
	}
}

// Tick tells the time; a gap of more than F/2 between ticks is a pause.
func (t *Tracker) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observeTick(now)
}

// Mode is what the instance may do at the time now. It finds a pause too, so
// that no request is dispatched between the resume and the next Tick.
func (t *Tracker) Mode(now time.Time) Mode {
	return t.Report(now).Mode
}

// Report is Mode with what it rests on.
func (t *Tracker) Report(now time.Time) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	if pauseBetween(t.lastTick, now) > t.bound/2 {
		t.observeTick(now)
	}
	r := Report{Age: -1, LiveInstances: len(t.live) + 1}
	if !t.confirmedAt.IsZero() {
		r.Age = now.Sub(t.confirmedAt)
	}
	if t.recent(now, t.confirmedAt) {
		r.Mode = ModeFresh
		return r
	}
	reachable := false
	r.LogUnreachable, reachable = t.countUnreachable(now)
	if t.hasList && !reachable && 2*r.LogUnreachable > r.LiveInstances {
		r.Mode = ModeOutage
	}
	return r
}

// poll counts who says now that the log can't be reached. The second result is
// true if anybody who answered reaches it, or knows of a record that the own
// state lacks: such a record may be a manifest, and comes from that peer first.
func (t *Tracker) countUnreachable(now time.Time) (unreachable int, reachable bool) {
	if t.recent(now, t.failedAt) && t.failedAt.After(t.readAt) {
		unreachable++
	}
	for _, answer := range t.answers {
		if !t.recent(now, answer.at) {
			continue
		}
		if answer.status.LogReachable || answer.status.Head > t.folded {
			return unreachable, true
		}
		unreachable++
	}
	return unreachable, unreachable == 0
}

// recent: at most F ago, and not before the last pause.
func (t *Tracker) recent(now, at time.Time) bool {
	return !at.IsZero() && !at.Before(t.resumedAt) && now.Sub(at) <= t.bound
}

func (t *Tracker) observeHead(h observedHead) {
	if h.head <= t.folded {
		t.confirmedAt = latest(t.confirmedAt, h.at)
		return
	}
	if len(t.pendingHeads) < maxPendingHeads {
		t.pendingHeads = append(t.pendingHeads, h)
	}
}

func (t *Tracker) observeTick(now time.Time) {
	if pauseBetween(t.lastTick, now) > t.bound/2 {
		t.resumedAt = now
	}
	t.lastTick = latest(t.lastTick, now)
}

// pauseOf is the time between two ticks by whichever clock says more: the
// monotonic clock stands still while a virtual machine is suspended, and the
// wall clock does not.
func pauseBetween(before, now time.Time) time.Duration {
	if before.IsZero() {
		return 0
	}
	return max(now.Sub(before), now.Round(0).Sub(before.Round(0)))
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
