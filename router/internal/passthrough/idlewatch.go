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

// check closes the connection of an attempt that has timed out, else schedules the next check.
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
	wt.timer.Reset(idleCheckInterval)
}

func (wt *idleWatch) stop() {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	wt.done = true
	if wt.timer != nil {
		wt.timer.Stop()
	}
}

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
		PromptTokens: a.exchange.call.caller.PromptTokens, Begun: a.conn.lastReceived.Load() != 0}
	s.AttemptIdle = now.Sub(a.startedAt)
	if at := a.conn.lastReceived.Load(); at != 0 {
		s.AttemptIdle = now.Sub(time.Unix(0, at))
	}
	s.ServerIdle = now.Sub(time.Unix(0, max(a.conn.server.any.Load(), a.startedAt.UnixNano())))
	return s.TimedOut()
}
