package passthrough

import (
	"sync"
	"time"

	"masticplank.example/decision/passthrough"
)

// watch gives up an attempt at a backend server that is silent.
type silenceWatch struct {
	mu    sync.Mutex
	timer *time.Timer
	done  bool
}

// watchEvery is how often an attempt is looked at: a part of the shortest patience, and
// rare beside the events of a stream.
const silenceCheckInterval = 200 * time.Millisecond

// watch starts watching the attempt, if the request may run again elsewhere.
func (a *attempt) watchSilence() *silenceWatch {
	wt := &silenceWatch{}
	if !a.exchange.call.route.Retryable() {
		return wt
	}
	wt.mu.Lock()
	defer wt.mu.Unlock()
	wt.timer = time.AfterFunc(silenceCheckInterval, func() { wt.check(a) })
	return wt
}

func (wt *silenceWatch) check(a *attempt) {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	if wt.done {
		return
	}
	if a.exceedsSilence() {
		a.timedOut.Store(true)
		_ = a.conn.Close()
		return
	}
	wt.timer.Reset(silenceCheckInterval)
}

func (wt *silenceWatch) stop() {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	wt.done = true
	if wt.timer != nil {
		wt.timer.Stop()
	}
}

// isSilent asks the decision, by what was heard of the attempt and of its server.
func (a *attempt) exceedsSilence() bool {
	now := a.exchange.edge.clock.Now()
	s := passthrough.Inactivity{Route: a.exchange.call.route, FirstByteTimeout: a.firstByteTimeout,
		PromptTokens: a.exchange.call.caller.PromptTokens, Begun: a.conn.lastReceived.Load() != 0}
	s.AttemptIdle = now.Sub(a.startedAt)
	if at := a.conn.lastReceived.Load(); at != 0 {
		s.AttemptIdle = now.Sub(time.Unix(0, at))
	}
	s.ServerIdle = now.Sub(time.Unix(0, max(a.conn.serverLastReceived.Load(), a.startedAt.UnixNano())))
	return s.TimedOut()
}
