package passthrough

import (
	"sync"
	"time"

	"masticplank.example/decision/passthrough"
)

// watch gives up an attempt at a backend server that is silent.
type watch struct {
	mu    sync.Mutex
	timer *time.Timer
	done  bool
}

// watchEvery is how often an attempt is looked at: a part of the shortest patience, and
// rare beside the events of a stream.
const watchEvery = 200 * time.Millisecond

// watch starts watching the attempt, if the request may run again elsewhere.
func (a *attempt) watch() *watch {
	wt := &watch{}
	if !a.exchange.call.route.Retryable() {
		return wt
	}
	wt.mu.Lock()
	defer wt.mu.Unlock()
	wt.timer = time.AfterFunc(watchEvery, func() { wt.look(a) })
	return wt
}

func (wt *watch) look(a *attempt) {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	if wt.done {
		return
	}
	if a.isSilent() {
		a.silent.Store(true)
		_ = a.conn.Close()
		return
	}
	wt.timer.Reset(watchEvery)
}

func (wt *watch) stop() {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	wt.done = true
	if wt.timer != nil {
		wt.timer.Stop()
	}
}

// isSilent asks the decision, by what was heard of the attempt and of its server.
func (a *attempt) isSilent() bool {
	now := a.exchange.edge.clock.Now()
	s := passthrough.Inactivity{Route: a.exchange.call.route, FirstByteTimeout: a.patience,
		PromptTokens: a.exchange.call.caller.PromptTokens, Begun: a.conn.heard.Load() != 0}
	s.AttemptIdle = now.Sub(a.began)
	if at := a.conn.heard.Load(); at != 0 {
		s.AttemptIdle = now.Sub(time.Unix(0, at))
	}
	s.ServerIdle = now.Sub(time.Unix(0, max(a.conn.server.Load(), a.began.UnixNano())))
	return s.TimedOut()
}
