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
	// callTimeout bounds a call beyond its wait: instances of one failure domain are less
	// than a millisecond apart, and a slowed one answers within a few hundred.
	callTimeout = 400 * time.Millisecond
)

// Client asks the collector of this instance's failure domain.
type Client struct {
	members *Members
	now     func() time.Time
	dial    net.Dialer

	mu sync.Mutex
	// conns are the kept connections by the member's address.
	conns map[string]*jsonrpc2.Conn
	// away says that the store gave this instance no answer, quiet until when it is left
	// alone.
	storeUnreachable  bool
	storeBackoffUntil time.Time
	// urgentAt is when an urgent topic may ask it again.
	nextUrgentAt time.Time
	// probes is how many questions an instance that ranks first has asked in the outage, probeAt
	// when it may ask another one.
	probes      int
	nextProbeAt time.Time
	// span is how long it is left alone after a failure.
	storeBackoff time.Duration
}

// NewClient returns a client of the members' collector.
func NewClient(members *Members, now func() time.Time) *Client {
	return &Client{
		members: members, now: now, dial: net.Dialer{Timeout: callTimeout},
		conns: map[string]*jsonrpc2.Conn{},
	}
}

// errNoCollector says that this instance reads the store itself.
var errNoCollector = errors.New("no collector to ask")

// told is what a collector answered, how old that is at the latest, and who it was.
type collectorAnswer struct {
	answer
	age       time.Duration
	collector string
}

// call asks the collector, and those that rank next where it gives no answer or one that is
// older than oldest: the store is read only when no other instance knows. Only the first
// is kept waiting for a record, since it uses up the time. params makes the question.
func (c *Client) call(ctx context.Context, method string, params func(wait time.Duration) any, wait, maxAge time.Duration) (collectorAnswer, error) {
	return c.callMembers(ctx, c.members.Collectors(), method, params, wait, maxAge)
}

// callAny asks the members given, in order, as call does.
func (c *Client) callMembers(ctx context.Context, members []Member, method string, params func(wait time.Duration) any, wait, maxAge time.Duration) (collectorAnswer, error) {
	for _, m := range members {
		start := c.now()
		out, err := c.callMember(ctx, m, method, params(wait), wait+callTimeout)
		age := out.age(c.now().Sub(start))
		var answered *jsonrpc2.Error
		switch {
		case errors.As(err, &answered) && answered.Code == codeGone:
			return collectorAnswer{collector: m.Name}, keyedlog.ErrTrimmed
		case errors.As(err, &answered): // it does not know yet
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

// storeQuiet is how long an instance with a collector leaves a store alone that gave no answer,
// and storeQuietMost how long it does after several: the collector goes on asking, and tells at
// once when it is back. Without it, 81 instances sent 8,000 calls in an outage of 8 s.
const (
	minStoreBackoff = 2 * time.Second
	maxStoreBackoff = 4 * time.Second
)

// storeFailed notes that the store gave this instance no answer either: the collector may
// be as good as any.
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

// storeAnswered notes that it did.
func (c *Client) storeAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeUnreachable = false
}

// probeEvery is how often an instance that ranks first, or knows nobody yet, asks a store that
// gave no answer: as often as one topic is tried.
const probeInterval = 350 * time.Millisecond

// freeProbes is how many questions it asks first without a pause: a call that was reset by chance
// is tried again at once.
const immediateProbes = 4

// mayAskStore says whether this instance may read the store now. While the store is away
// one topic asks for all of them.
//
// Load: instances that start in an outage of the store, know nobody, and try five topics each.
// Harm prevented: five questions in the place of one, at a store that comes back.
func (c *Client) mayReadStore() bool {
	first := c.members.RanksFirst()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.storeUnreachable {
		return true
	}
	if first {
		return c.mayProbe()
	}
	if c.now().Before(c.storeBackoffUntil) {
		return false
	}
	c.storeBackoff = min(2*c.storeBackoff, maxStoreBackoff)
	c.storeBackoffUntil = c.now().Add(c.storeBackoff)
	return true
}

// mayProbe says whether the time for the next question of a first one has come. It is called with
// the lock held.
func (c *Client) mayProbe() bool {
	if c.probes >= immediateProbes && c.now().Before(c.nextProbeAt) {
		return false
	}
	c.probes++
	c.nextProbeAt = c.now().Add(probeInterval)
	return true
}

// mayAskUrgently says the same for a topic whose records must be in force soon after the store is
// back: it is not kept waiting for longer than storeQuiet.
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

// storeAway says whether the store gave this instance no answer lately: a question must not wait
// for a record then, since its answer is what all topics wait for.
func (c *Client) isStoreUnreachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeUnreachable
}

// ask asks one member, and waits for as long as limit.
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

// connect returns the connection to the member; it is kept from call to call.
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
	// The context given here ends the connection, so it must not be the call's.
	conn := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(raw, jsonrpc2.VarintObjectCodec{}),
		jsonrpc2.HandlerWithError(rejectRequest).SuppressErrClosed(), jsonrpc2.SetLogger(discardLogger{}))
	c.conns[m.Address] = conn
	return conn, nil
}

// refuse answers questions that come back over a connection of one's own.
func rejectRequest(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no methods here"}
}

// drop closes the connection to an address.
func (c *Client) closeConn(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[address]; conn != nil {
		_ = conn.Close() // it is given up
		delete(c.conns, address)
	}
}

// Close ends the connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close() // it is given up
	}
	clear(c.conns)
}
