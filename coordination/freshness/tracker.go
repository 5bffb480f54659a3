package freshness

import (
	"sync"
	"time"
)

// maxPendingHeads bounds the heads that wait until they are folded. Long polls
// bring a few a second. Further heads are dropped: if folding lags that much,
// the oldest heads are confirmed first anyway.
const maxPendingHeads = 64

// Tracker derives the Mode of this instance from reported events. It is safe
// for concurrent use. The zero value is not usable; see New. Call Tick several
// times per bound.
type Tracker struct {
	mu    sync.Mutex
	self  string
	bound time.Duration

	// Everything before the offset folded is folded here. pendingHeads are beyond
	// it.
	folded       uint64
	pendingHeads []observedHead
	// confirmedAt is the time of the newest confirmation.
	confirmedAt time.Time

	// readAt is when the newest successful read of the log was sent, failedAt when
	// the newest failed one failed.
	readAt   time.Time
	failedAt time.Time

	// live holds the listed instances other than this one. hasList is false if
	// there is no list or an empty one.
	live    map[string]bool
	hasList bool
	// vouches holds the newest vouch of each listed peer, by its name.
	vouches map[string]receivedVouch

	lastTick time.Time
	// resumedAt is the end of the last pause. Nothing from before it counts.
	resumedAt time.Time
}

// observedHead is a head of the log and the time at which it was read.
type observedHead struct {
	at   time.Time
	head uint64
}

type receivedVouch struct {
	askedAt time.Time
	vouch   Vouch
}

// Report is a Mode and what it is based on.
type Report struct {
	Mode Mode
	// Age is the age of the newest confirmation, negative if there is none.
	Age time.Duration
	// LogUnreachable is how many live instances, including this one, report that
	// they cannot reach the log. Counting stops at a report that rules an outage
	// out; in ModeFresh nothing is counted. LiveInstances is the number of live
	// instances, including this one.
	LogUnreachable int
	LiveInstances  int
}

// New returns a Tracker without any confirmation: its mode is ModeStale.
func New(cfg Config) *Tracker {
	if cfg.Bound <= 0 {
		cfg.Bound = DefaultBound
	}
	return &Tracker{self: cfg.Self, bound: cfg.Bound, vouches: map[string]receivedVouch{}}
}

// HeadRead reports that a read of the log, sent at the time at, returned head.
func (t *Tracker) HeadRead(at time.Time, head uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readAt = latest(t.readAt, at)
	t.observeHead(observedHead{at, head})
}

// ReadFailed reports that a read of the log failed or was abandoned at the time
// at.
func (t *Tracker) ReadFailed(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failedAt = latest(t.failedAt, at)
}

// Folded reports that everything before the offset next is folded here.
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

// Vouched reports the answer v of a peer that was asked at the time at. A vouch
// confirms its head whether or not the peer still reaches the log.
func (t *Tracker) Vouched(at time.Time, v Vouch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v.Peer == t.self || v.Peer == "" {
		return
	}
	if known, ok := t.vouches[v.Peer]; ok && known.askedAt.After(at) {
		return
	}
	if t.live[v.Peer] {
		t.vouches[v.Peer] = receivedVouch{at, v}
	}
	if v.HeadAge >= 0 && v.HeadAge <= t.bound {
		t.observeHead(observedHead{at.Add(-v.HeadAge), v.Head})
	}
}

// SetLiveInstances sets the list of live instances, which may include this one.
// The list lags, so it only determines whose reports on an outage count and how
// many make a majority; any peer can confirm a head.
func (t *Tracker) SetLiveInstances(names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// An empty list is an error of its source, not a fleet of one instance.
	t.hasList = len(names) > 0
	t.live = map[string]bool{}
	for _, name := range names {
		if name != "" && name != t.self {
			t.live[name] = true
		}
	}
	for name := range t.vouches {
		if !t.live[name] {
			delete(t.vouches, name)
		}
	}
}

// Tick reports the time. A gap of more than half the bound between ticks counts
// as a pause.
func (t *Tracker) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observeTick(now)
}

// Mode returns the mode at the time now. It detects a pause too, so that no
// request is dispatched between the end of a pause and the next Tick.
func (t *Tracker) Mode(now time.Time) Mode {
	return t.Report(now).Mode
}

// Report returns the mode at the time now and what it is based on.
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
	outageRuledOut := false
	r.LogUnreachable, outageRuledOut = t.countUnreachable(now)
	if t.hasList && !outageRuledOut && 2*r.LogUnreachable > r.LiveInstances {
		r.Mode = ModeOutage
	}
	return r
}

// countUnreachable counts the instances that now report the log as unreachable.
// outageRuledOut is true if there is no report, or if any report rules an outage
// out: the reporter reaches the log, or knows of a record that is not folded here.
// Such a record may be a manifest, which the reporter will deliver.
func (t *Tracker) countUnreachable(now time.Time) (unreachable int, outageRuledOut bool) {
	if t.recent(now, t.failedAt) && t.failedAt.After(t.readAt) {
		unreachable++
	}
	for _, received := range t.vouches {
		if !t.recent(now, received.askedAt) {
			continue
		}
		if received.vouch.LogReachable || received.vouch.Head > t.folded {
			return unreachable, true
		}
		unreachable++
	}
	return unreachable, unreachable == 0
}

// recent reports whether at is within the bound and not before the last pause.
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

// pauseBetween returns the time between two ticks by whichever clock shows
// more: the monotonic clock stops while a virtual machine is suspended, the
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
