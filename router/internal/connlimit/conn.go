package connlimit

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Limits are what a single client may do.
type Limits struct {
	// HeadBytes bounds the head of a request.
	HeadBytes int
	// HeadTimeout is how long a head may take from its first byte on, IdleTimeout how long a connection may stay idle before
	// that.
	HeadTimeout, IdleTimeout time.Duration
}

const (
	// headSlack is how much longer than the limit a head may take: the time of a lost packet.
	headSlack = 500 * time.Millisecond
	// lateRead is how long a read goes on after its deadline, for what had come by then: a process that stood still finds both
	// the request and its deadline.
	lateRead = 5 * time.Millisecond
	// A refused client gets the refusal even if it still sends: up to maxDrainBytes are dropped for drainTimeout. A connection
	// that is closed with unread bytes is reset, and the client may lose the refusal.
	drainTimeout  = 500 * time.Millisecond
	maxDrainBytes = 256 << 10
	// refuseTimeout bounds the writing of a refusal.
	refuseTimeout = time.Second
)

// reasonNoRoom is the text of a refusal for want of room.
const reasonNoRoom = "connections_at_bound"

// The refusals of heads. A request that is answered with 408 or 503 has not run.
const (
	refusalEnd      = "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n"
	refusalTimeout  = "HTTP/1.1 408 Request Timeout" + refusalEnd + "Content-Length: 13\r\n\r\nhead_timeout\n"
	refusalTooLarge = "HTTP/1.1 431 Request Header Fields Too Large" + refusalEnd + "Content-Length: 15\r\n\r\nhead_too_large\n"
	refusalNoRoom   = "HTTP/1.1 503 Service Unavailable" + refusalEnd + "Retry-After: 0.200\r\nContent-Length: 21\r\n\r\n" + reasonNoRoom + "\n"
)

var errRefused = errors.New("the head of the request was refused")

// Conn is a connection of a Listener. For HTTP it enforces Limits until the head of a request is complete; deadlines of
// reads that net/http sets meanwhile have no effect.
type Conn struct {
	net.Conn
	pool   *pool
	limits func() Limits
	member member

	mu sync.Mutex
	// awaitsHead is true from the end of a request until the next head is complete, headBegun once a part of it was read,
	// headLate once its deadline has passed.
	awaitsHead, headBegun, headLate bool
	head                            headCounter
	// inProgress is true while a request is in progress whose body has been read.
	inProgress bool
	// enlarged is true once the receive buffer is that for long bodies. Only readers of bodies use it.
	enlarged bool
	// charged is what the present request was charged.
	charged int64
	// answered is true once a response was sent.
	answered  atomic.Bool
	closeOnce sync.Once
	closeErr  error
	// done is closed once the connection has given way or is closed.
	done    chan struct{}
	endOnce sync.Once
}

func newConn(raw net.Conn, p *pool, limits func() Limits) *Conn {
	c := &Conn{Conn: raw, pool: p, limits: limits, done: make(chan struct{})}
	c.member.evict = c.giveWay
	return c
}

// giveWay closes the connection, whose goroutine then ends. A response that was sent on it still reaches its client.
func (c *Conn) giveWay() {
	c.endOnce.Do(func() { close(c.done) })
	if c.answered.Load() {
		_ = c.Conn.Close() // the connection is given up in any case
		return
	}
	reset(c.Conn)
}

// start begins the wait for the first head.
func (c *Conn) start() {
	if c.limits == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitsHead = true
	c.setHeadDeadline(c.limits().IdleTimeout)
}

// setHeadDeadline bounds the wait for the next part of a head; 0 for no bound.
func (c *Conn) setHeadDeadline(in time.Duration) {
	var at time.Time
	if in > 0 {
		at = time.Now().Add(in)
	}
	_ = c.Conn.SetReadDeadline(at) // fails only for a connection that is closed
}

// Limited returns the connection itself, also where it is embedded in another one.
func (c *Conn) Limited() *Conn { return c }

// TCP returns the TCP connection, nil if it is another one.
func (c *Conn) TCP() *net.TCPConn {
	t, _ := c.Conn.(*net.TCPConn)
	return t
}

// CloseWrite ends the sending direction, if the connection has such an end.
func (c *Conn) CloseWrite() error {
	if t := c.TCP(); t != nil {
		return t.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SetLinger lets Close reset the connection if sec is 0.
func (c *Conn) SetLinger(sec int) error {
	if t := c.TCP(); t != nil {
		return t.SetLinger(sec)
	}
	return errors.ErrUnsupported
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		c.endOnce.Do(func() { close(c.done) })
		c.closeErr = c.Conn.Close()
		c.pool.remove(&c.member)
	})
	return c.closeErr
}

// SetReadDeadline implements net.Conn. It has no effect while a head is awaited.
func (c *Conn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitsHead {
		return nil
	}
	return c.Conn.SetReadDeadline(at)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(at time.Time) error {
	return errors.Join(c.SetReadDeadline(at), c.SetWriteDeadline(at))
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	refusal := ""
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		n, refusal, err = c.readLate(p)
	}
	if n > 0 {
		refusal = c.observe(p[:n])
	}
	if refusal != "" {
		c.refuse(refusal)
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errRefused}
	}
	return n, err
}

// readLate reads what had come before a deadline that has passed. It returns the refusal of a head that takes too long.
func (c *Conn) readLate(p []byte) (int, string, error) {
	c.mu.Lock()
	awaits, begun, again := c.awaitsHead, c.headBegun, c.headLate
	if awaits && !again {
		c.headLate = true
		c.setHeadDeadline(lateRead)
	}
	c.mu.Unlock()
	n, err := 0, error(os.ErrDeadlineExceeded)
	if awaits && !again {
		n, err = c.Conn.Read(p)
	}
	if awaits && begun && n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, refusalTimeout, nil
	}
	return n, "", err
}

// observe counts what was read of a head, and returns the refusal if it is too long or there is no room; else "".
func (c *Conn) observe(p []byte) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.awaitsHead {
		// While a request is in progress, net/http reads one byte of the next one, to notice a client that disconnects.
		if c.inProgress && len(p) == 1 {
			c.head.add(p)
		}
		return ""
	}
	limits := c.limits()
	now := time.Now()
	if !c.headBegun {
		c.headBegun = true
		if c.member.phase == phaseIdle {
			c.pool.enter(&c.member, phaseReading, now)
		}
		c.setHeadDeadline(limits.HeadTimeout + headSlack)
	}
	before := c.head.memory()
	c.head.add(p)
	if limits.HeadBytes > 0 && c.head.bytes > limits.HeadBytes {
		return refusalTooLarge
	}
	cost := c.head.memory() - before
	if !c.pool.charge(&c.member, cost, now) {
		return refusalNoRoom
	}
	c.charged += cost
	return ""
}

// refuse writes the refusal and drops what the client still sends, for a time. Nobody else writes before the head of a
// request is complete.
func (c *Conn) refuse(text string) {
	c.pool.markExpendable(&c.member)
	c.answered.Store(true)
	_ = c.SetWriteDeadline(time.Now().Add(refuseTimeout))
	if _, err := io.WriteString(c.Conn, text); err != nil || c.CloseWrite() != nil {
		return // the client has disconnected
	}
	c.setHeadDeadline(drainTimeout)
	_, _ = io.CopyN(io.Discard, c.Conn, maxDrainBytes) // what has not come by then is lost
}

// headRead records that net/http has read a head, or has given up reading it.
func (c *Conn) headRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.awaitsHead {
		return
	}
	c.awaitsHead, c.headBegun, c.headLate = false, false, false
	c.head = headCounter{}
	c.setHeadDeadline(0)
}

// requestBegun records a request whose parsed head takes memory bytes, and reports whether there is room for it.
func (c *Conn) requestBegun(memory int64, hasBody bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if more := memory - c.charged; more > 0 && !c.pool.charge(&c.member, more, time.Now()) {
		return false
	} else if more < 0 {
		c.pool.refund(&c.member, -more)
	}
	c.charged = memory
	to := phaseRunning
	if hasBody {
		to = phaseBody
	}
	c.inProgress = !hasBody
	c.pool.enter(&c.member, to, time.Now())
	return true
}

// bodyBuffer is the receive buffer of a connection with long bodies. A client at a distance of some milliseconds sends no more
// than the buffer holds in a round trip.
const bodyBuffer = 64 << 10

// enlargeBuffer enlarges the receive buffer, if there is room without idle connections giving way. It stays so until the
// connection is closed: a window that shrinks makes clients wait for seconds.
func (c *Conn) enlargeBuffer() {
	t := c.TCP()
	if c.enlarged || t == nil || !c.pool.chargeIfRoom(&c.member, bodyBuffer, time.Now()) {
		return
	}
	c.enlarged = true
	if raw, err := t.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			setReceiveBuffer(fd, bodyBuffer)
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, bodyBuffer)
		})
	}
}

// bodyRead records that the body of the request has been read.
func (c *Conn) bodyRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inProgress = true
	c.pool.enter(&c.member, phaseRunning, time.Now())
}

// Running records that the request is passed on, so that the connection gives way to no other.
func (c *Conn) Running() { c.pool.enter(&c.member, phaseRunning, time.Now()) }

// requestEnded records the end of a request.
func (c *Conn) requestEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered.Store(true)
	c.pool.refund(&c.member, c.charged)
	c.charged = 0
	c.pool.enter(&c.member, phaseIdle, time.Now())
	c.awaitsHead, c.inProgress = true, false
	c.setHeadDeadline(c.limits().IdleTimeout)
}

// CloseLingering ends the sending direction, so that the client gets all that was sent, and closes the connection once the
// client has closed its own or some time has passed. It does not block.
func (c *Conn) CloseLingering() error {
	c.answered.Store(true)
	c.pool.markExpendable(&c.member)
	if err := c.CloseWrite(); err != nil {
		_ = c.Close() // the connection is broken already
		return err
	}
	c.setHeadDeadline(drainTimeout)
	go func() {
		_, _ = io.Copy(io.Discard, c.Conn) // ends when the client closes its side
		_ = c.Close()
	}()
	return nil
}

// Done returns a channel that is closed once the connection has given way or is closed.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Charge adds n bytes to what the present request takes, until it has ended, and reports whether there is room.
func (c *Conn) Charge(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.pool.charge(&c.member, n, time.Now()) {
		return false
	}
	c.charged += n
	return true
}

// Reserve reserves n bytes for a message that is read, and reports whether there is room.
func (c *Conn) Reserve(n int64) bool { return c.pool.charge(&c.member, n, time.Now()) }

// ReserveAnswer reserves n bytes for a message that is sent, and reports whether there is room.
func (c *Conn) ReserveAnswer(n int64) bool { return c.pool.chargeIfRoom(&c.member, n, time.Now()) }

// Release gives bytes back that were reserved.
func (c *Conn) Release(n int64) { c.pool.refund(&c.member, n) }

// MessageBegun records that a message between instances is read. Connections that carry messages are never in progress: both
// sides repeat what they lose.
func (c *Conn) MessageBegun() { c.pool.enter(&c.member, phaseReading, time.Now()) }

// MessageRead records that a message between instances is complete.
func (c *Conn) MessageRead() { c.pool.enter(&c.member, phaseIdle, time.Now()) }
