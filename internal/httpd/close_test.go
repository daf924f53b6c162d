package httpd_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/httpd"
)

// crossListener accepts connections that wait after they have closed their write side.
type crossListener struct {
	net.Listener
	closed, release chan struct{}
}

func newCrossListener() *crossListener {
	return &crossListener{
		closed:  make(chan struct{}),
		release: make(chan struct{}),
	}
}

func (l *crossListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return crossConn{
		TCPConn:  c.(*net.TCPConn),
		listener: l,
	}, nil
}

type crossConn struct {
	*net.TCPConn
	listener *crossListener
}

func (c crossConn) CloseWrite() error {
	err := c.TCPConn.CloseWrite()
	c.listener.closed <- struct{}{}
	<-c.listener.release
	return err
}

// A request that is sent while its connection is closed must leave a line, since nothing
// else shows it.
func TestRequestThatCrossesTheCloseIsLogged(t *testing.T) {
	for reason, crosses := range map[string]bool{
		"idle":   true,
		"unused": false,
		"stop":   true,
	} {
		t.Run(reason, func(t *testing.T) {
			cross := newCrossListener()
			f := newFixture(t, func(l net.Listener) net.Listener {
				cross.Listener = l
				return cross
			}, httpd.WithHeaderTimeout(idleTimeout))
			c := f.dial()
			if reason != "unused" {
				c.write(request)
				c.requireAnswer()
			}
			stopped := make(chan error, 1)
			switch reason {
			case "idle":
				f.idle.Store(int64(idleTimeout))
			case "stop":
				go func() { stopped <- f.server.Stop(t.Context()) }()
			}
			<-cross.closed
			if crosses {
				c.write(request)
			} else {
				require.NoError(t, c.Close())
			}
			close(cross.release)
			if reason == "stop" {
				require.NoError(t, <-stopped)
			} else {
				c.requireClosed()
			}
			require.Eventually(t, func() bool { return f.count("closed "+reason) == 1 }, waitTimeout, pollInterval)
			if crosses {
				require.Eventually(t, func() bool { return f.count("crossed "+reason) == 1 }, waitTimeout, pollInterval)
				require.Contains(t, f.lines(), `"event":"crossed","reason":"`+reason+`"`)
			}
			require.NoError(t, f.server.Close())
			require.Zero(t, f.count("crossed unused"))
		})
	}
}

// A caller that keeps its side of a closed connection open must not delay a stop.
func TestStopDoesNotWaitForCallersToClose(t *testing.T) {
	f := newFixture(t, nil)
	for range 20 {
		c := f.dial()
		c.write(request)
		c.requireAnswer()
	}
	begin := time.Now()
	require.NoError(t, f.server.Stop(t.Context()))
	require.Less(t, time.Since(begin), time.Second)
	require.Equal(t, 20, f.count("closed stop"))
	require.Contains(t, f.lines(), `"event":"closed","reason":"stop"`)
}
