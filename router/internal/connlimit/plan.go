package connlimit

// Bounds are what the connections of one listener may use.
type Bounds struct {
	// Conns is how many may be open; 0 for no bound.
	Conns int
	// Bytes is the memory that they may use, with what was read of requests; 0 for no bound.
	Bytes int64
	// Unread is how many bytes each may have received and not read; 0 for the system's default.
	Unread int
	// Backlog is how many more may wait to be accepted; 0 for the system's default.
	Backlog int
}

// Plan divides what a process may use among its listeners.
type Plan struct {
	// Callers is the listener for callers, Peers that for messages of other instances, Tunnels that for their tunnels and
	// grants. Aux is each listener for readiness, metrics and operators.
	Callers, Peers, Tunnels, Aux Bounds
	// TunnelServers is how many connections to backend servers may be open for tunnels of peers, IdleServers how many without
	// a request.
	TunnelServers, IdleServers int
	// ServerUnread is how many bytes a connection to a backend server or a peer may have received and not read.
	ServerUnread int
}

// Fractions of the descriptors that are not reserved. A caller's request needs a second one for its connection to a backend
// server, so that callers' fraction counts twice. What remains, 0.06, is for connections to the store and to peers.
const (
	callerConns       = 0.3
	tunnelConns       = 0.1
	tunnelServerConns = 0.1
	peerConns         = 0.1
	auxConns          = 0.01
	idleServerConns   = 0.02
)

// Fractions of the process's memory.
const (
	callerBytes = 0.12
	tunnelBytes = 0.03
	peerBytes   = 0.06
	auxBytes    = 0.01
	unreadBytes = 0.06
	// serverUnreadBytes is for the connections to backend servers that callers' requests need.
	serverUnreadBytes = 0.06
)

const (
	// minAuxConns is the least number of connections at a listener for readiness, metrics or operators, unless they were more
	// than maxAuxShare of the descriptors.
	minAuxConns = 8
	maxAuxShare = 0.03
	// auxListeners is for how many such listeners the plan provides.
	auxListeners = 2
	// minUnread and maxUnread bound the receive buffer of a connection. A smaller one delays heads within the usual limits by
	// several round trips; a larger one is of no use for them.
	minUnread = 4 << 10
	maxUnread = 32 << 10
	// minServerUnread and maxServerUnread bound the same of a connection to a backend server, whose responses are longer.
	minServerUnread = 32 << 10
	maxServerUnread = 128 << 10
	// minBacklog and maxBacklog bound the connections that wait to be accepted: those that come while the process waits for
	// the processor.
	minBacklog = 16
	maxBacklog = 512
	// The values for a process whose memory or descriptors are not stated.
	defaultMemory = 512 << 20
	defaultFiles  = 4096
	// reservedFiles is how many descriptors are kept for files.
	reservedFiles = 200
)

// NewPlan returns the plan of a process that may use memory bytes and open files descriptors; 0 means not stated.
func NewPlan(memory int64, files int) Plan {
	if memory <= 0 {
		memory = defaultMemory
	}
	if files <= 0 {
		files = defaultFiles
	}
	free := float64(max(files-reservedFiles, 1))
	conns := func(fraction float64, least int) int { return max(int(fraction*free), least) }
	bytes := func(fraction float64) int64 { return int64(fraction * float64(memory)) }
	p := Plan{
		Callers:       Bounds{Conns: conns(callerConns, 1), Bytes: bytes(callerBytes)},
		Peers:         Bounds{Conns: conns(peerConns, 1), Bytes: bytes(peerBytes)},
		Tunnels:       Bounds{Conns: conns(tunnelConns, 1), Bytes: bytes(tunnelBytes)},
		Aux:           Bounds{Conns: conns(auxConns, min(minAuxConns, conns(maxAuxShare, 1))), Bytes: bytes(auxBytes)},
		TunnelServers: conns(tunnelServerConns, 1), IdleServers: conns(idleServerConns, 1),
	}
	p.ServerUnread = min(max(int(serverUnreadBytes*float64(memory))/p.Callers.Conns, minServerUnread), maxServerUnread)
	listeners := []*Bounds{&p.Callers, &p.Peers, &p.Tunnels, &p.Aux}
	all := (auxListeners - 1) * p.Aux.Conns
	for _, b := range listeners {
		b.Backlog = min(max(b.Conns/2, minBacklog), maxBacklog)
		all += b.Conns + b.Backlog
	}
	unread := min(max(int(unreadBytes*float64(memory))/all, minUnread), maxUnread)
	for _, b := range listeners {
		b.Unread = unread
	}
	return p
}
