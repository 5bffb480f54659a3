package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/singleflight"

	"masticplank.example/coordination/keyedlog"
)

const (
	// callTimeout bounds a call in addition to its wait: instances of one failure domain are less
	// than a millisecond apart, and a slow one answers within a few hundred milliseconds.
	callTimeout = 400 * time.Millisecond
)

// Client calls collectors, and limits this instance's reads of the store while it is unreachable.
type Client struct {
	members *Members
	now     func() time.Time
	dial    net.Dialer

	// dials shares one dial among the calls that wait for a connection to the same address.
	dials singleflight.Group

	mu sync.Mutex
	// conns are the open connections by the member's address; closed is true once Close was called.
	conns  map[string]*jsonrpc2.Conn
	closed bool
	// storeUnreachable is true if the store did not answer this instance. While it is true, an
	// instance that does not rank first reads the store only after storeBackoffUntil, except for
	// urgent topics.
	storeUnreachable  bool
	storeBackoffUntil time.Time
	// nextUrgentAt is when a read of an urgent topic may go to the store again.
	nextUrgentAt time.Time
	// probes is the number of reads of the store in this outage, if this instance ranks first.
	// After immediateProbes of them, the next one is allowed at nextProbeAt.
	probes      int
	nextProbeAt time.Time
	// storeBackoff is the current backoff after a failure.
	storeBackoff time.Duration
}

// NewClient returns a client for the collectors among members.
func NewClient(members *Members, now func() time.Time) *Client {
	return &Client{
		members: members, now: now, dial: net.Dialer{Timeout: callTimeout},
		conns: map[string]*jsonrpc2.Conn{},
	}
}

var (
	// errNoCollector means that no collector gave an answer that is recent enough, so that this
	// instance has to read the store itself.
	errNoCollector = errors.New("no collector gave an answer that is recent enough")
	// errNoCollectorReached means that none gave an answer at all: this instance is the first in rank of
	// those that it can reach.
	errNoCollectorReached = fmt.Errorf("%w: none could be reached", errNoCollector)
	// ErrStoreBackoff means that no collector gave an answer that is recent enough, and that the store was
	// not read because it did not answer a short time ago.
	ErrStoreBackoff = fmt.Errorf("%w, and the store is not read again yet", errNoCollector)
)

// collectorAnswer is a collector's answer, its maximum age on arrival, and the collector's name.
type collectorAnswer struct {
	answer
	age       time.Duration
	collector string
}

// call asks the collectors in order of rank until one gives an answer no older than maxAge, so that
// the store is read only if no other instance has the records. Only the first one may wait for a
// record, since that uses up the waiting time; the others answer at once. params returns the
// parameters with the given wait.
func (c *Client) call(ctx context.Context, method string, params func(wait time.Duration) any, wait, maxAge time.Duration) (collectorAnswer, error) {
	return c.callMembers(ctx, c.members.Collectors(), method, params, wait, maxAge)
}

// callMembers asks the given members in order, as call does.
func (c *Client) callMembers(ctx context.Context, members []Member, method string, params func(wait time.Duration) any, wait, maxAge time.Duration) (collectorAnswer, error) {
	failure := errNoCollectorReached
	for _, m := range members {
		start := c.now()
		out, err := c.callMember(ctx, m, method, params(wait), wait+callTimeout)
		age := out.age(c.now().Sub(start))
		var rpcErr *jsonrpc2.Error
		switch {
		case errors.As(err, &rpcErr) && rpcErr.Code == codeTrimmed:
			return collectorAnswer{collector: m.Name}, keyedlog.ErrTrimmed
		case errors.As(err, &rpcErr): // the member does not have the records yet, or failed
			failure = errNoCollector
		case err != nil && ctx.Err() != nil:
			return collectorAnswer{}, ctx.Err()
		case err != nil:
			c.members.Failed(m.Name)
			c.closeConn(m.Address)
		case age <= maxAge:
			c.members.Answered(m.Name)
			c.members.RaiseFleetSize(out.Fleet)
			return collectorAnswer{out, age, m.Name}, nil
		default:
			failure = errNoCollector
		}
		wait = 0
	}
	return collectorAnswer{}, failure
}

// Members asks the collectors for the instances of failure domains. The answer has those that the collector knows, which
// may be none.
func (c *Client) Members(ctx context.Context, domains []string) ([]Member, error) {
	params := func(time.Duration) any { return membersParams{Domains: domains} }
	out, err := c.call(ctx, methodMembers, params, 0, callTimeout)
	return out.Members, err
}

// minStoreBackoff and maxStoreBackoff bound how long an instance that has a collector does not read
// an unreachable store. The collector keeps probing, and its followers read from it as soon as the
// store is back. Without backoff, 81 instances make up to 8,000 calls in an outage of 8 s.
const (
	minStoreBackoff = 2 * time.Second
	maxStoreBackoff = 4 * time.Second
)

// storeFailed records that the store did not answer. It clears the backoffs of all members: one of
// them may still reach the store, and none is a worse source than the store itself.
func (c *Client) storeFailed() {
	c.members.ClearFailures()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.storeUnreachable {
		c.storeBackoff = minStoreBackoff
		c.nextUrgentAt = c.now().Add(minStoreBackoff)
		c.probes = 0
	}
	c.storeUnreachable, c.storeBackoffUntil = true, c.now().Add(c.storeBackoff)
}

// storeAnswered records that the store answered.
func (c *Client) storeAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeUnreachable = false
}

// probeInterval is the time between reads of a store that gave no answer, by an instance that ranks
// first or does not know others yet. It is about the longest delay between two failed reads of one
// topic, so that the probes for all topics are hardly more frequent than the reads of one.
const probeInterval = 350 * time.Millisecond

// immediateProbes is the number of reads tried without a pause at first, so that a call whose
// connection was reset is retried at once.
const immediateProbes = 4

// mayReadStore reports whether this instance may read the store now. If so, the caller must then
// read it, since in an outage the read is counted here. While the store is unreachable, one topic's
// read serves as a probe for all of them.
//
// Load: instances that start during an outage of the store, know no others, and try five topics
// each. Harm prevented: five calls instead of one to a store that is recovering.
func (c *Client) mayReadStore() bool {
	ranksFirst := c.members.RanksFirst()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.storeUnreachable {
		return true
	}
	if ranksFirst {
		return c.mayProbe()
	}
	if c.now().Before(c.storeBackoffUntil) {
		return false
	}
	c.storeBackoff = min(2*c.storeBackoff, maxStoreBackoff)
	c.storeBackoffUntil = c.now().Add(c.storeBackoff)
	return true
}

// mayProbe reports whether an instance that ranks first may try the next read. If so, the read is
// counted, and the caller must make it. The lock must be held.
func (c *Client) mayProbe() bool {
	if c.probes >= immediateProbes && c.now().Before(c.nextProbeAt) {
		return false
	}
	c.probes++
	c.nextProbeAt = c.now().Add(probeInterval)
	return true
}

// mayReadStoreUrgently does the same as mayReadStore for a topic whose records must be in force
// soon after the store is back: it does not wait longer than minStoreBackoff, and no longer than
// probeInterval if no collector could be reached.
//
// Load: the first-ranked instance of a failure domain is cut off or killed while the store loses
// answers. Harm prevented: the next in rank leaves the probes to an instance that cannot pass on
// their result, and works by an old configuration for seconds beside a store that answers.
func (c *Client) mayReadStoreUrgently(collectorReached bool) bool {
	c.mu.Lock()
	if c.storeUnreachable && !collectorReached {
		defer c.mu.Unlock()
		return c.mayProbe()
	}
	if c.storeUnreachable && !c.now().Before(c.nextUrgentAt) {
		c.nextUrgentAt = c.now().Add(minStoreBackoff)
		c.mu.Unlock()
		return true
	}
	c.mu.Unlock()
	return c.mayReadStore()
}

// isStoreUnreachable reports whether this instance's last read of the store got no answer. If so,
// the next read must not wait for a record, since all topics wait for its answer.
func (c *Client) isStoreUnreachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeUnreachable
}

// callMember calls one member, with a timeout.
func (c *Client) callMember(ctx context.Context, m Member, method string, params any, timeout time.Duration) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := c.connect(ctx, m)
	if err != nil {
		return answer{}, err
	}
	var out answer
	if err := conn.Call(ctx, method, params, &out); err != nil {
		return answer{}, err
	}
	return out, out.unpackRecords()
}

// connect returns the connection to the member, which is kept between calls. No lock is held during the
// dial.
//
// Load: several members lose power at once, and all topics call them. Harm prevented: each topic would
// wait for the dials of the others, to each member in turn, and read nothing for seconds.
func (c *Client) connect(ctx context.Context, m Member) (*jsonrpc2.Conn, error) {
	if conn := c.openConn(m.Address); conn != nil {
		return conn, nil
	}
	// The dial must not end with one caller's context, since others share it; c.dial bounds it.
	dialed := c.dials.DoChan(m.Address, func() (any, error) { return c.dialMember(m) })
	select {
	case result := <-dialed:
		if result.Err != nil {
			return nil, result.Err
		}
		return result.Val.(*jsonrpc2.Conn), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// openConn returns the open connection to an address, nil for none.
func (c *Client) openConn(address string) *jsonrpc2.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conns[address]
}

// dialMember opens the connection to the member and keeps it.
func (c *Client) dialMember(m Member) (*jsonrpc2.Conn, error) {
	if conn := c.openConn(m.Address); conn != nil {
		return conn, nil // opened since the caller looked
	}
	raw, err := c.dial.DialContext(context.Background(), "tcp", m.Address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = raw.Close() // nobody uses it
		return nil, net.ErrClosed
	}
	// This context ends the connection, so it must not be the call's.
	conn := jsonrpc2.NewConn(context.Background(), newStream(raw, nil),
		jsonrpc2.HandlerWithError(rejectRequest).SuppressErrClosed(), jsonrpc2.SetLogger(discardLogger{}))
	c.conns[m.Address] = conn
	return conn, nil
}

// rejectRequest answers requests received on a connection that this instance opened.
func rejectRequest(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no methods here"}
}

// closeConn closes the connection to an address.
func (c *Client) closeConn(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[address]; conn != nil {
		_ = conn.Close() // the connection is discarded, so its error does not matter
		delete(c.conns, address)
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.conns {
		_ = conn.Close() // the connection is discarded, so its error does not matter
	}
	clear(c.conns)
}
