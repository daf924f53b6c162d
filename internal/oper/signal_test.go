package oper_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/oper"
)

// childVariable makes the test binary run the command line in place of the tests.
const childVariable = "BAOBABTALLY_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		os.Exit(oper.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// output is the output of a process.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *output) count(text string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Count(o.buf.String(), text)
}

// openPipe opens a named pipe for writing as soon as a process reads it.
func openPipe(t *testing.T, name string) *os.File {
	t.Helper()
	var pipe *os.File
	require.Eventually(t, func() bool {
		var err error
		pipe, err = os.OpenFile(name, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		return err == nil
	}, 10*time.Second, 5*time.Millisecond)
	return pipe
}

// SIGHUP must not end an instance, neither while it starts or stops nor with unusable
// settings.
func TestHangupDoesNotEndInstance(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	ip := fmt.Sprintf("127.%d.%d.9", 1+os.Getpid()/250%250, 1+os.Getpid()%250)
	settings := fmt.Sprintf("node-name=n1\nzone=a\nlisten.front=%s:21001\nlisten.ready=%s:21002\nlisten.control=%s:21003\n"+
		"platform.address=%s\nbounds.lease-ms=500\nbounds.version-ms=8000\nbounds.grace-s=6\n", ip, ip, ip, l.Addr())
	file := filepath.Join(t.TempDir(), "settings")
	require.NoError(t, syscall.Mkfifo(file, 0o600))
	out := &output{}
	child := exec.Command(os.Args[0], "platform", "--settings", file)
	child.Env = append(os.Environ(), childVariable+"=1")
	child.Stdout, child.Stderr = out, out
	require.NoError(t, child.Start())
	ended := make(chan error, 1)
	go func() { ended <- child.Wait() }()
	t.Cleanup(func() { _ = child.Process.Kill() })
	hangup := func() { require.NoError(t, child.Process.Signal(syscall.SIGHUP)) }
	logged := func(text string, n int) {
		t.Helper()
		require.Eventually(t, func() bool { return out.count(text) >= n }, 10*time.Second, 5*time.Millisecond, text)
	}

	pipe := openPipe(t, file)
	hangup()
	time.Sleep(100 * time.Millisecond)
	_, err = pipe.WriteString(settings)
	require.NoError(t, err)
	require.NoError(t, os.Remove(file))
	require.NoError(t, pipe.Close())
	logged("event=start", 1)
	logged("level=warn event=reload", 1)

	for _, unusable := range []string{"", settings[:40], "\x00\xff="} {
		before := out.count("level=warn event=reload")
		require.NoError(t, os.WriteFile(file, []byte(unusable), 0o600))
		hangup()
		logged("level=warn event=reload", before+1)
	}
	require.NoError(t, os.WriteFile(file, []byte(settings), 0o600))
	logged("level=info event=reload", 1)
	resp, err := http.Get("http://" + ip + ":21002/v1/ready")
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())

	require.NoError(t, child.Process.Signal(syscall.SIGTERM))
	logged("event=stopping", 1)
	for len(ended) == 0 {
		_ = child.Process.Signal(syscall.SIGHUP)
		time.Sleep(time.Millisecond)
	}
	require.NoError(t, <-ended)
	require.Equal(t, 1, out.count("event=stop "))
}

// The end of the process that reads the log must not end an instance.
func TestClosedLogDoesNotEndInstance(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	ip := fmt.Sprintf("127.%d.%d.10", 1+os.Getpid()/250%250, 1+os.Getpid()%250)
	file := writeFile(t, fmt.Sprintf("node-name=n1\nzone=a\nlisten.front=%s:21001\nlisten.ready=%s:21002\nlisten.control=%s:21003\n"+
		"platform.address=%s\nbounds.lease-ms=500\nbounds.version-ms=8000\nbounds.grace-s=6\n", ip, ip, ip, l.Addr()))
	r, w, err := os.Pipe()
	require.NoError(t, err)
	child := exec.Command(os.Args[0], "platform", "--settings", file)
	child.Env = append(os.Environ(), childVariable+"=1")
	child.Stdout, child.Stderr = w, w
	require.NoError(t, child.Start())
	require.NoError(t, w.Close())
	ended := make(chan error, 1)
	go func() { ended <- child.Wait() }()
	t.Cleanup(func() { _ = child.Process.Kill() })
	ready := func() bool {
		resp, err := http.Get("http://" + ip + ":21002/v1/ready")
		return err == nil && resp.Body.Close() == nil
	}
	require.Eventually(t, ready, 10*time.Second, 5*time.Millisecond)
	require.NoError(t, r.Close())

	require.NoError(t, child.Process.Signal(syscall.SIGHUP))
	time.Sleep(500 * time.Millisecond)
	require.True(t, ready())
	require.NoError(t, child.Process.Signal(syscall.SIGTERM))
	require.NoError(t, <-ended)
}
