package passthrough

import (
	"sync"

	"masticplank.example/decision/passthrough"
)

// maxProcesses bounds a processSet. It is more than the servers of the largest planned deployment; beyond it the set
// starts anew.
const maxProcesses = 16384

// processSet is a set of processes of backend servers. It is safe for concurrent use.
type processSet struct {
	mu    sync.Mutex
	known map[processKey]bool
}

// add adds the server's process, and reports whether it was not in the set.
func (p *processSet) add(s passthrough.Server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := keyOfProcess(s)
	if p.known[key] {
		return false
	}
	if p.known == nil || len(p.known) >= maxProcesses {
		p.known = map[processKey]bool{}
	}
	p.known[key] = true
	return true
}
