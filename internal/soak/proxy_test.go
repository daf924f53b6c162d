package soak_test

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/soak"
)

// startEchoServer starts a server that sends back what it receives, and returns its address.
func startEchoServer(t *testing.T) string {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

func TestProxyInjectsFaultsAndRecovers(t *testing.T) {
	t.Parallel()
	p, err := soak.NewProxy(t.Context(), startEchoServer(t))
	require.NoError(t, err)
	defer p.Close()
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", p.Addr())
		require.NoError(t, err)
		return c, bufio.NewReader(c)
	}
	say := func(c net.Conn, r *bufio.Reader, wait time.Duration) error {
		_ = c.SetDeadline(time.Now().Add(wait))
		if _, err := c.Write([]byte("x\n")); err != nil {
			return err
		}
		_, err := r.ReadString('\n')
		return err
	}
	c, r := dial()
	require.NoError(t, say(c, r, time.Second))
	for _, m := range []soak.Mode{soak.HoldBoth, soak.HoldServerToClient, soak.HoldClientToServer} {
		p.Set(m)
		require.Error(t, say(c, r, 50*time.Millisecond), m)
		p.Set(soak.Pass)
		_ = c.SetDeadline(time.Now().Add(time.Second))
		_, err := r.ReadString('\n')
		require.NoError(t, err, "held bytes are forwarded after %v", m)
	}
	p.Set(soak.Delay)
	begin := time.Now()
	require.NoError(t, say(c, r, time.Second))
	require.Greater(t, time.Since(begin), 100*time.Millisecond)
	p.Set(soak.Reset)
	require.Error(t, say(c, r, time.Second))
	p.Set(soak.Pass)
	c, r = dial()
	require.NoError(t, say(c, r, time.Second))
}
