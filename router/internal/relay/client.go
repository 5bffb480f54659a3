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

	// changed is told when another collector answers, or none: "".
	changed func(name string)

	mu   sync.Mutex
	at   string
	conn *jsonrpc2.Conn
	last string
	// quiet ends the time for which this instance leaves the store alone.
	quiet time.Time
}

// NewClient returns a client of the members' collector.
func NewClient(members *Members, now func() time.Time, changed func(name string)) *Client {
	return &Client{members: members, now: now, changed: changed, dial: net.Dialer{Timeout: callTimeout}}
}

// errNoCollector says that this instance reads the store itself.
var errNoCollector = errors.New("no collector to ask")

// call asks the collector. One that gives no answer, or one older than oldest, is passed
// over for a while.
func (c *Client) call(ctx context.Context, method string, params any, wait, oldest time.Duration) (answer, time.Duration, error) {
	m, ok := c.members.Collector()
	c.note(m.Name)
	if !ok {
		return answer{}, 0, errNoCollector
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	began := c.now()
	out, err := c.ask(ctx, m, method, params)
	age := out.age(c.now().Sub(began))
	var answered *jsonrpc2.Error
	switch {
	case errors.As(err, &answered) && answered.Code == codeGone:
		return answer{}, 0, keyedlog.ErrGone
	case errors.As(err, &answered):
		return answer{}, 0, errNoCollector // it does not know yet
	case err == nil && age > oldest && c.isQuiet():
		return answer{}, 0, errNoCollector // the store is away for both
	case err != nil || age > oldest:
		c.members.Failed(m.Name)
		c.drop()
		return answer{}, 0, errors.Join(errNoCollector, err)
	}
	c.members.Answered(m.Name)
	return out, age, nil
}

// storeQuiet is how long an instance with a collector leaves a store alone that gave no
// answer: the collector goes on asking, and tells at once when it is back. Without it, 81
// instances sent 8,000 calls in an outage of 8 s.
const storeQuiet = 2 * time.Second

// storeFailed notes that the store gave this instance no answer either: the collector may
// be as good as any.
func (c *Client) storeFailed() {
	c.members.Forgive()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quiet = c.now().Add(storeQuiet)
}

// mayAskStore says whether this instance may read the store now.
func (c *Client) mayAskStore() bool {
	return c.members.First() || !c.isQuiet()
}

// isQuiet says whether the store gave no answer lately.
func (c *Client) isQuiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now().Before(c.quiet)
}

// note tells of a change of the collector.
func (c *Client) note(name string) {
	c.mu.Lock()
	same := c.last == name
	c.last = name
	c.mu.Unlock()
	if !same {
		c.changed(name)
	}
}

func (c *Client) ask(ctx context.Context, m Member, method string, params any) (answer, error) {
	conn, err := c.connect(ctx, m)
	if err != nil {
		return answer{}, err
	}
	var out answer
	err = conn.Call(ctx, method, params, &out)
	return out, err
}

// connect returns the connection to the member; it is kept from call to call.
func (c *Client) connect(ctx context.Context, m Member) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil && c.at == m.Address {
		return c.conn, nil
	}
	c.dropLocked()
	raw, err := c.dial.DialContext(ctx, "tcp", m.Address)
	if err != nil {
		return nil, err
	}
	// The context given here ends the connection, so it must not be the call's.
	c.conn = jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(raw, jsonrpc2.VarintObjectCodec{}),
		jsonrpc2.HandlerWithError(refuse).SuppressErrClosed(), jsonrpc2.SetLogger(quiet{}))
	c.at = m.Address
	return c.conn, nil
}

// refuse answers questions that come back over a connection of one's own.
func refuse(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no methods here"}
}

func (c *Client) drop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropLocked()
}

func (c *Client) dropLocked() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Close ends the connection.
func (c *Client) Close() { c.drop() }
