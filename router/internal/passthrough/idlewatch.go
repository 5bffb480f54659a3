package passthrough

import (
	"sync"
	"time"

	"masticplank.example/decision/passthrough"
)

// idleWatch closes the connection of an attempt whose backend server has sent nothing for too long.
type idleWatch struct {
	mu    sync.Mutex
	timer *time.Timer
	done  bool
	// recent are the events of a stream at the checks of the last paceWindow, oldest first.
	recent []paceSample
}

// idleCheckInterval is the time between two checks of an attempt: a fraction of the shortest
// first-byte timeout, and long compared with the event interval of a stream.
const idleCheckInterval = 200 * time.Millisecond

// watchIdle starts the watch if the request may be retried elsewhere.
func (a *attempt) watchIdle() *idleWatch {
	wt := &idleWatch{}
	if !a.exchange.call.route.Retryable() {
		return wt
	}
	wt.mu.Lock()
	defer wt.mu.Unlock()
	wt.timer = time.AfterFunc(idleCheckInterval, func() { wt.check(a) })
	return wt
}

// check closes the connection of an attempt that has timed out or is given up, else schedules the next check.
func (wt *idleWatch) check(a *attempt) {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	if wt.done {
		return
	}
	if a.hasTimedOut() {
		a.timedOut.Store(true)
		_ = a.conn.Close()
		return
	}
	if a.waitsForCaller(a.exchange.handler.clock.Now()) {
		wt.recent = nil
	} else if wt.givesUp(a) {
		a.givenUp.Store(true)
		_ = a.conn.Close()
		return
	}
	wt.timer.Reset(idleCheckInterval)
}

// givesUp reports whether the response is not expected to end before the deadline while that of another server is.
func (wt *idleWatch) givesUp(a *attempt) bool {
	if a.forecast <= 0 {
		return false
	}
	p := wt.progress(a)
	why, ok := a.exchange.handler.driver.givesUp(a.exchange.ticket, p)
	if ok {
		a.exchange.handler.telemetry.logGivenUp(a.exchange.call, a.server, p, why)
	}
	return ok
}

// progress returns how far the attempt is.
func (wt *idleWatch) progress(a *attempt) passthrough.Progress {
	now := a.exchange.handler.clock.Now()
	events, first := a.pace.read()
	p := passthrough.Progress{Since: now.Sub(a.startedAt), Events: events}
	if events == 0 && a.conn.lastReceived.Load() != 0 {
		p.Begun = true
		return p
	}
	if events > 1 {
		p.Interval = now.Sub(first) / time.Duration(events-1)
	}
	wt.recent = append(wt.recent, paceSample{now, events})
	for len(wt.recent) > 1 && now.Sub(wt.recent[1].at) >= paceWindow {
		wt.recent = wt.recent[1:]
	}
	if oldest := wt.recent[0]; now.Sub(oldest.at) >= paceWindow && events > oldest.events {
		p.Interval = min(p.Interval, now.Sub(oldest.at)/time.Duration(events-oldest.events))
	}
	return p
}

func (wt *idleWatch) stop() {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	wt.done = true
	if wt.timer != nil {
		wt.timer.Stop()
	}
}

// waitsForCaller reports whether the caller has not taken what the server sent for some time.
func (a *attempt) waitsForCaller(now time.Time) bool { return a.stall.blocksFor(now, blockedWrite) }

// hasTimedOut reports whether the attempt has timed out. decision/passthrough computes this from the
// times since bytes last arrived on the attempt's connection, and on any connection from its server.
func (a *attempt) hasTimedOut() bool {
	if a.stall.isWriting() {
		return false // the caller has not taken what the server sent
	}
	now := a.exchange.handler.clock.Now()
	if a.conn.peer == "" && a.exchange.handler.dialer.directHangs(a.server, now) {
		return true
	}
	s := passthrough.Inactivity{Route: a.exchange.call.route, FirstByteTimeout: a.firstByteTimeout,
		PromptTokens: a.exchange.call.caller.PromptTokens, Begun: a.headRead.Load()}
	s.AttemptIdle = now.Sub(a.startedAt)
	if at := a.conn.lastReceived.Load(); at != 0 && s.Begun {
		s.AttemptIdle = now.Sub(time.Unix(0, at))
	}
	s.ServerIdle = now.Sub(time.Unix(0, max(a.conn.server.any.Load(), a.startedAt.UnixNano())))
	return s.TimedOut()
}
