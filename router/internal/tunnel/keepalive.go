package tunnel

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAlive detects a peer that has lost power or is cut off. Its last probe fails after deadPeerTimeout.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// deadPeerTimeout is how long sent data or keep-alive probes may stay unacknowledged. It is also the
// socket's TCP_USER_TIMEOUT, which overrides the number of probes: a shorter one would end connections to
// peers that pause for a moment.
const deadPeerTimeout = 3 * time.Second

// setUserTimeout sets a socket's TCP_USER_TIMEOUT. Where that fails, a dead peer is detected by keep-alive
// probes alone.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(deadPeerTimeout.Milliseconds()))
	})
}

// detectDeadPeer sets both on an accepted connection.
func detectDeadPeer(c *net.TCPConn) {
	_ = c.SetKeepAliveConfig(keepAlive) // without it, the tunnel ends when its request times out
	if raw, err := c.SyscallConn(); err == nil {
		_ = setUserTimeout("", "", raw)
	}
}
