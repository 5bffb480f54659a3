package tunnel

import (
	"errors"
	"net/url"
)

// path is the path of the requests that open tunnels, with the backend server in the query.
const path = "/tunnel"

// The parameters of the query.
const (
	paramServer  = "server"
	paramAddress = "address"
	paramPermit  = "permit"
	paramWait    = "wait"
)

// maxHeadBytes bounds the head of a request or response between instances.
const maxHeadBytes = 16 << 10

// headerOpen states how many tunnels are open at a peer. trailerEnd states how the backend server ended
// its connection, trailerForwarded how many bytes were written to it.
const (
	headerOpen       = "Tunnels-Open"
	trailerEnd       = "Tunnel-End"
	trailerForwarded = "Tunnel-Forwarded"
)

// The values of trailerEnd.
const (
	endClosed = "closed"
	endReset  = "reset"
)

// Target is a backend server that a tunnel leads to.
type Target struct {
	ID      string
	Address string
	// NeedsPermit is true if the peer must use one of its permits for the server, WaitsForPermit if it waits for a free one.
	NeedsPermit    bool
	WaitsForPermit bool
}

func (t Target) query() string {
	q := url.Values{paramServer: {t.ID}, paramAddress: {t.Address}}
	if t.NeedsPermit {
		q.Set(paramPermit, "1")
	}
	if t.WaitsForPermit {
		q.Set(paramWait, "1")
	}
	return q.Encode()
}

func targetOf(q url.Values) Target {
	return Target{ID: q.Get(paramServer), Address: q.Get(paramAddress), NeedsPermit: q.Has(paramPermit), WaitsForPermit: q.Has(paramWait)}
}

// Errors of tunnels. After the first six, nothing was sent to a backend server.
var (
	// ErrNoPeer means that no peer could be asked: none is known, answers and has room.
	ErrNoPeer = errors.New("no peer could be asked for a tunnel")
	// ErrNoPath means that the peers that were asked have no path to the backend servers either.
	ErrNoPath = errors.New("the peers have no path to the backend servers either")
	// ErrNoPermit means that all permits of the peer for the backend server are in use.
	ErrNoPermit = errors.New("the peer has no free permit for the backend server")
	// ErrUnreachable means that a peer, which has a path, could not connect to the backend server.
	ErrUnreachable = errors.New("a peer could not connect to the backend server")
	// ErrDoubtful means that a peer could not connect to the backend server, and has reached no other one lately.
	ErrDoubtful = errors.New("a peer that may have no path could not connect to the backend server")
	// ErrDeclined means that the peer's list does not have the backend server, or not as one that may get
	// requests.
	ErrDeclined = errors.New("the peer does not send to the backend server")
	// ErrReset means that the backend server broke its connection to the peer.
	ErrReset = errors.New("the backend server broke its connection to the peer")
	// ErrPeerLost means that the connection to the peer broke, which says nothing about the server.
	ErrPeerLost = errors.New("the connection to the peer broke")
)
