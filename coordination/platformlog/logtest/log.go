// Package logtest provides an in-memory log for tests that simulates the faults
// of a log service: outages, slow calls, lost replies to appends that have or have
// not taken effect, refused and delayed appends, trimmed and wiped records,
// disconnected clients, and entries without a time.
package logtest

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"masticplank.example/coordination/platformlog"
)

// Log is the simulated log service. Safe for concurrent use. It takes its times
// from time.Now, which testing/synctest replaces.
type Log struct {
	mu      sync.Mutex
	first   uint64
	entries []platformlog.Entry
	// changed is closed and replaced whenever a waiting read must check again.
	changed      chan struct{}
	faults       faults
	disconnected map[string]bool
	appendCount  int
}

// faults holds the faults that are simulated now.
type faults struct {
	down      bool
	omitTimes bool
	slow      time.Duration
	// appends holds the faults of the next appends, in order.
	appends []AppendFault
}

// AppendFault is the fault of one append.
type AppendFault uint8

const (
	// AppendOK means no fault: the append takes effect and the reply arrives.
	AppendOK AppendFault = iota
	// AppendRefused means that the append has no effect and the reply says so.
	AppendRefused
	// AppendLost means that the append has no effect and no reply arrives.
	AppendLost
	// AppendReplyLost means that the append takes effect and no reply arrives.
	AppendReplyLost
	// AppendDelayed means that no reply arrives and the append takes effect
	// AppendDelay later.
	AppendDelayed
)

// AppendDelay is the time after which an append with AppendDelayed takes effect.
const AppendDelay = 3 * time.Second

// New returns an empty log without faults.
func New() *Log {
	return &Log{changed: make(chan struct{}), disconnected: map[string]bool{}}
}

// Client is one instance's connection to the log. It implements platformlog.Log.
type Client struct {
	log  *Log
	name string
}

var _ platformlog.Log = (*Client)(nil)

// Client returns a connection for the instance called name.
func (l *Log) Client(name string) *Client {
	return &Client{log: l, name: name}
}

// SetDown makes every call of every client fail while down is true. A failed
// append has no effect.
func (l *Log) SetDown(down bool) {
	l.update(func() { l.faults.down = down })
}

// SetSlow delays each append, before it takes effect, and each read by d.
func (l *Log) SetSlow(d time.Duration) {
	l.update(func() { l.faults.slow = d })
}

// SetOmitTimes makes entries appended from now on carry no time.
func (l *Log) SetOmitTimes(omit bool) {
	l.update(func() { l.faults.omitTimes = omit })
}

// FailAppends sets the faults of the next appends that reach the log, in order;
// later ones have no fault.
func (l *Log) FailAppends(next ...AppendFault) {
	l.update(func() { l.faults.appends = next })
}

// LoseReplies lets the next n appends take effect and loses their replies.
func (l *Log) LoseReplies(n int) { l.FailAppends(slices.Repeat([]AppendFault{AppendReplyLost}, n)...) }

// LoseAppends loses the next n appends before they take effect; the client can't
// distinguish them from lost replies.
func (l *Log) LoseAppends(n int) { l.FailAppends(slices.Repeat([]AppendFault{AppendLost}, n)...) }

// RefuseAppends refuses the next n appends, which have no effect.
func (l *Log) RefuseAppends(n int) { l.FailAppends(slices.Repeat([]AppendFault{AppendRefused}, n)...) }

// SetDisconnected makes the calls of one client fail while disconnected is
// true. A failed append has no effect.
func (l *Log) SetDisconnected(client string, disconnected bool) {
	l.update(func() { l.disconnected[client] = disconnected })
}

// Trim removes the entries before offset first.
func (l *Log) Trim(first uint64) {
	l.update(func() {
		head := l.first + uint64(len(l.entries))
		first = min(max(first, l.first), head)
		l.entries = slices.Clone(l.entries[first-l.first:])
		l.first = first
	})
}

// Wipe removes all entries and starts again at offset 0, like a log service that
// was recreated empty.
func (l *Log) Wipe() {
	l.update(func() { l.first, l.entries = 0, nil })
}

// Inject appends data as another writer would and returns the offset of the new
// entry. SetOmitTimes is the only fault that affects it.
func (l *Log) Inject(data []byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.append(data)
}

// Entries returns a copy of the entries that the log keeps.
func (l *Log) Entries() []platformlog.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.entries)
}

// AppendCount returns the number of appends that took effect, including those by
// Inject.
func (l *Log) AppendCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appendCount
}

func (l *Log) update(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
	l.wake()
}

func (l *Log) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Log) append(data []byte) uint64 {
	e := platformlog.Entry{
		Offset: l.first + uint64(len(l.entries)),
		Data:   slices.Clone(data),
	}
	if !l.faults.omitTimes {
		e.Time = time.Now()
	}
	l.entries = append(l.entries, e)
	l.appendCount++
	l.wake()
	return e.Offset
}

// Append implements platformlog.Log.
func (c *Client) Append(ctx context.Context, data []byte) (uint64, error) {
	if err := c.delay(ctx); err != nil {
		return 0, fmt.Errorf("%w: %w", platformlog.ErrUnknown, err)
	}
	l := c.log
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.down || l.disconnected[c.name] {
		return 0, fmt.Errorf("%w: no connection", platformlog.ErrNotAppended)
	}
	switch l.nextFault() {
	case AppendRefused:
		return 0, fmt.Errorf("%w: refused", platformlog.ErrNotAppended)
	case AppendLost:
		return 0, fmt.Errorf("%w: connection reset", platformlog.ErrUnknown)
	case AppendReplyLost:
		l.append(data)
		return 0, fmt.Errorf("%w: connection reset", platformlog.ErrUnknown)
	case AppendDelayed:
		time.AfterFunc(AppendDelay, func() { l.Inject(data) })
		return 0, fmt.Errorf("%w: connection reset", platformlog.ErrUnknown)
	default:
		return l.append(data), nil
	}
}

func (l *Log) nextFault() AppendFault {
	if len(l.faults.appends) == 0 {
		return AppendOK
	}
	f := l.faults.appends[0]
	l.faults.appends = l.faults.appends[1:]
	return f
}

// Read implements platformlog.Log.
func (c *Client) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (platformlog.Page, error) {
	if err := c.delay(ctx); err != nil {
		return platformlog.Page{}, fmt.Errorf("%w: %w", platformlog.ErrUnavailable, err)
	}
	page, changed, err := c.readPage(from, limit)
	if err != nil || len(page.Entries) > 0 || wait <= 0 {
		// A timer that has expired before its channel is read crashes the race detector in a synctest bubble whose
		// goroutines run on several threads.
		return page, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-changed:
		case <-timer.C:
			page, _, err = c.readPage(from, limit)
			return page, err
		case <-ctx.Done():
			return page, fmt.Errorf("%w: %w", platformlog.ErrUnavailable, ctx.Err())
		}
		page, changed, err = c.readPage(from, limit)
		if err != nil || len(page.Entries) > 0 {
			return page, err
		}
	}
}

func (c *Client) readPage(from uint64, limit int) (platformlog.Page, <-chan struct{}, error) {
	l := c.log
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.down || l.disconnected[c.name] {
		return platformlog.Page{}, nil, platformlog.ErrUnavailable
	}
	page := platformlog.Page{First: l.first, Head: l.first + uint64(len(l.entries))}
	if from < l.first {
		return page, nil, platformlog.ErrTrimmed
	}
	if from < page.Head {
		rest := l.entries[from-l.first:]
		page.Entries = slices.Clone(rest[:min(limit, len(rest))])
	}
	return page, l.changed, nil
}

func (c *Client) delay(ctx context.Context) error {
	c.log.mu.Lock()
	d := c.log.faults.slow
	c.log.mu.Unlock()
	if d == 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
