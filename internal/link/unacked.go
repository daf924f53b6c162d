package link

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// unackedInterval is how often a connection with unacknowledged bytes is
	// examined.
	unackedInterval = userTimeout / 8
	// probeInterval limits the time between two probes of a closed receive
	// window.
	probeInterval = userTimeout / 2
	// probeTimeout is how long a probe or a retransmission must have been
	// unanswered before the link counts as cut.
	probeTimeout = userTimeout / 2
)

// errUnacked means that the link to the endpoint is cut.
const errUnacked = errors.ConstError("the endpoint acknowledges nothing: check the network")

// unackedGuard replaces TCP_USER_TIMEOUT while a long body is sent. The kernel
// counts the time for which the receive window is closed as unacknowledged, even if
// its probes are answered, and some of it also after the window has opened again.
//
// The guard extends the timeout while acknowledgements arrive, and ends the
// connection if they don't. The kernel sends the next probe no later than the
// timeout, so extending it a little at a time also bounds the interval of the
// probes, which would otherwise double with each one.
type unackedGuard struct {
	nc  net.Conn
	raw syscall.RawConn
	// cut is true once the guard has ended the connection, and extended once it has
	// changed the timeout. The connection is not reused then, as the kernel may count
	// an earlier time at the next closed window.
	cut      atomic.Bool
	extended atomic.Bool
	// mu guards the fields below.
	mu sync.Mutex
	// writing is true while a request is being written, and armed while a call of
	// examine is due.
	writing bool
	armed   bool
	// since is when the guard was armed, and unanswered since when a probe or a
	// retransmission has been unanswered; zero if none is.
	since      time.Time
	unanswered time.Time
}

// newUnackedGuard returns a guard of nc, or nil if nc is no socket.
func newUnackedGuard(nc net.Conn) *unackedGuard {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	return &unackedGuard{
		nc:  nc,
		raw: raw,
	}
}

// beginWrite guards the connection until endWrite was called and all sent bytes are
// acknowledged, or until it is closed.
func (g *unackedGuard) beginWrite() {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.writing = true
	if g.armed {
		return
	}
	g.armed, g.since, g.unanswered = true, time.Now(), time.Time{}
	time.AfterFunc(unackedInterval, g.examine)
}

// endWrite ends what beginWrite began.
func (g *unackedGuard) endWrite() {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.writing = false
}

// reusable reports whether the connection can take another request.
func (g *unackedGuard) reusable() bool { return g == nil || !g.extended.Load() }

// cause returns errUnacked instead of the error that the guard provoked.
func (g *unackedGuard) cause(err error) error {
	if g != nil && g.cut.Load() {
		return errUnacked
	}
	return err
}

// examine extends the timeout or ends the connection.
func (g *unackedGuard) examine() {
	g.mu.Lock()
	defer g.mu.Unlock()
	var (
		pending int
		info    *unix.TCPInfo
		sockErr error
	)
	err := g.raw.Control(func(fd uintptr) {
		if pending, sockErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); sockErr != nil {
			return
		}
		if info, sockErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); sockErr != nil {
			return
		}
		if pending == 0 {
			g.unanswered = time.Time{}
			return
		}
		limit := g.timeout(time.Now(), info)
		if limit <= userTimeout {
			return
		}
		g.extended.Store(true)
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	if err != nil || sockErr != nil || pending == 0 && !g.writing {
		g.armed = false
		return
	}
	if g.cut.Load() {
		g.armed = false
		_ = g.nc.SetDeadline(time.Unix(1, 0))
		return
	}
	time.AfterFunc(unackedInterval, g.examine)
}

// timeout returns the new timeout, or 0 to leave it as it is. It sets cut if the link
// is cut. The caller holds mu.
func (g *unackedGuard) timeout(now time.Time, info *unix.TCPInfo) time.Duration {
	switch {
	case info.Probes == 0 && info.Retransmits == 0:
		g.unanswered = time.Time{}
	case g.unanswered.IsZero():
		g.unanswered = now
	}
	// An acknowledgement from before the start says nothing about these bytes.
	silent := min(time.Duration(info.Last_ack_recv)*time.Millisecond, now.Sub(g.since))
	if silent < userTimeout {
		return now.Sub(g.since) + min(userTimeout-silent, probeInterval)
	}
	if !g.unanswered.IsZero() && now.Sub(g.unanswered) >= probeTimeout {
		g.cut.Store(true)
	}
	return 0
}
