package relay

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"masticplank.example/coordination/keyedlog"
)

const (
	// callTimeout bounds a call in addition to its wait: instances of one failure domain are less
	// than a millisecond apart, and a slow one answers within a few hundred milliseconds.
	callTimeout = 400 * time.Millisecond
)

// Client calls the collector of this instance's failure domain.
type Client struct {
	members *Members
	now     func() time.Time
	dial    net.Dialer

	mu sync.Mutex
	// conns are the open connections by the member's address.
	conns map[string]*jsonrpc2.Conn
	// storeUnreachable says that the store did not answer this instance; it is not read before
	// storeBackoffUntil.
	storeUnreachable  bool
	storeBackoffUntil time.Time
	// nextUrgentAt is when a read of an urgent topic may go to the store again.
	nextUrgentAt time.Time
	// probes counts the reads that an instance that ranks first has tried in the outage; the next
	// one is allowed at nextProbeAt.
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

// errNoCollector says that no collector answered in time, so that this instance has to read the
// store itself.
var errNoCollector = errors.New("no collector to ask")

// collectorAnswer is a collector's answer, its maximum age on arrival, and the collector's name.
type collectorAnswer struct {
	answer
	age       time.Duration
	collector string
}

// call asks the collector and, if it gives no answer or one older than maxAge, the next ones in
// rank: the store is read only if no other instance knows. Only the first may delay its answer
// until there is a record, since that uses up the waiting time. params makes the parameters for a
// given wait.
func (c *Client) call(ctx context.Context, method string, params func(wait time.Duration) any, wait, maxAge time.Duration) (collectorAnswer, error) {
	return c.callMembers(ctx, c.members.Collectors(), method, params, wait, maxAge)
}

// callMembers asks the given members in order, as call does.
func (c *Client) callMembers(ctx context.Context, members []Member, method string, params func(wait time.Duration) any, wait, maxAge time.Duration) (collectorAnswer, error) {
	for _, m := range members {
		start := c.now()
		out, err := c.callMember(ctx, m, method, params(wait), wait+callTimeout)
		age := out.age(c.now().Sub(start))
		var rpcErr *jsonrpc2.Error
		switch {
		case errors.As(err, &rpcErr) && rpcErr.Code == codeTrimmed:
			return collectorAnswer{collector: m.Name}, keyedlog.ErrTrimmed
		case errors.As(err, &rpcErr): // it does not know yet
		case err != nil && ctx.Err() != nil:
			return collectorAnswer{}, ctx.Err()
		case err != nil:
			c.members.Failed(m.Name)
			c.closeConn(m.Address)
		case age <= maxAge:
			c.members.Answered(m.Name)
			c.members.RaiseFleetSize(out.Fleet)
			return collectorAnswer{out, age, m.Name}, nil
		}
		wait = 0
	}
	return collectorAnswer{}, errNoCollector
}

// minStoreBackoff is how long an instance that has a collector does not read a store that gave no
// answer, and maxStoreBackoff the same after several failures: the collector keeps trying, and its
// followers learn from it at once when the store is back. Without backoff, 81 instances made 8,000
// calls in an outage of 8 s.
const (
	minStoreBackoff = 2 * time.Second
	maxStoreBackoff = 4 * time.Second
)

// storeFailed records that the store did not answer this instance either. Failures of the
// collectors are cleared, since they are then as good a source as any.
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
// first or does not know others yet. It is the interval at which a single topic is tried.
const probeInterval = 350 * time.Millisecond

// immediateProbes is the number of reads tried without a pause at first, so that a call that was
// reset by chance is retried at once.
const immediateProbes = 4

// mayReadStore reports whether this instance may read the store now. While the store is
// unreachable, one topic's read serves as a probe for all of them.
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

// mayProbe reports whether an instance that ranks first may try the next read. The lock must be
// held.
func (c *Client) mayProbe() bool {
	if c.probes >= immediateProbes && c.now().Before(c.nextProbeAt) {
		return false
	}
	c.probes++
	c.nextProbeAt = c.now().Add(probeInterval)
	return true
}

// mayReadStoreUrgently reports the same for a topic whose records must be in force soon after the
// store is back: it does not wait longer than minStoreBackoff.
func (c *Client) mayReadStoreUrgently() bool {
	c.mu.Lock()
	if c.storeUnreachable && !c.now().Before(c.nextUrgentAt) {
		c.nextUrgentAt = c.now().Add(minStoreBackoff)
		c.mu.Unlock()
		return true
	}
	c.mu.Unlock()
	return c.mayReadStore()
}

// isStoreUnreachable reports whether this instance's last read of the store got no answer. The next
// read must not wait for a record then, since all topics wait for its answer.
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

// connect returns the connection to the member, which is kept between calls.
func (c *Client) connect(ctx context.Context, m Member) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[m.Address]; conn != nil {
		return conn, nil
	}
	raw, err := c.dial.DialContext(ctx, "tcp", m.Address)
	if err != nil {
		return nil, err
	}
	// This context ends the connection, so it must not be the call's.
	conn := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(raw, jsonrpc2.VarintObjectCodec{}),
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
	for _, conn := range c.conns {
		_ = conn.Close() // the connection is discarded, so its error does not matter
	}
	clear(c.conns)
}
