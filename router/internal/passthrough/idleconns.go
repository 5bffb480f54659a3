package passthrough

import (
	"errors"
	"io"
	"sync"
	"syscall"

	"masticplank.example/decision/passthrough"
)

// idleConns keeps one idle connection to each of a few plain servers. A server that goes down resets it, so that this
// instance knows at once, and not by a request that is lost. No request is sent on these connections.
type idleConns struct {
	// onReset is called when a server has reset its connection.
	onReset func(passthrough.Server)

	// limit is how many are kept at most.
	limit int

	mu    sync.Mutex
	conns map[processKey]io.Closer
}

// maxIdleConns bounds the idle connections, one descriptor each, also where there are descriptors for more.
const maxIdleConns = 64

// keep keeps the connection, unless there is one to the server already or there are too many. It reports whether it
// has taken the connection over.
func (i *idleConns) keep(s passthrough.Server, c io.ReadCloser) bool {
	key := keyOfProcess(s)
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.conns == nil {
		i.conns = map[processKey]io.Closer{}
	}
	if i.conns[key] != nil || len(i.conns) >= i.limit {
		return false
	}
	i.conns[key] = c
	go i.watch(s, key, c)
	return true
}

// watch waits for the end of the connection. Bytes on it belong to no request: it is closed.
func (i *idleConns) watch(s passthrough.Server, key processKey, c io.ReadCloser) {
	var one [1]byte
	_, err := c.Read(one[:])
	_ = c.Close()
	i.mu.Lock()
	if i.conns[key] == c {
		delete(i.conns, key)
	}
	i.mu.Unlock()
	if errors.Is(err, syscall.ECONNRESET) {
		i.onReset(s)
	}
}

// retain closes the connections to servers for which keep returns false.
func (i *idleConns) retain(keep func(server string) bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for key, c := range i.conns {
		if !keep(key.id) {
			_ = c.Close()
			delete(i.conns, key)
		}
	}
}
