package daemon_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/tmaxmax/go-sse"
	"go.uber.org/goleak"

	"github.com/baobabtally/baobabtally/internal/daemon"
	"github.com/baobabtally/baobabtally/internal/peer"
	"github.com/baobabtally/baobabtally/internal/plat"
	"github.com/baobabtally/baobabtally/internal/rpcapi"
	"github.com/baobabtally/baobabtally/internal/setup"
	"github.com/baobabtally/baobabtally/internal/stand"
)

const (
	secret       = "a-secret-for-tests-only"
	teamKey      = "key-of-loom"
	answerTokens = 30
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fleet runs instances and stand-ins for endpoints and the platform on loopback.
type fleet struct {
	t       testing.TB
	table   *stand.Table
	object  *stand.ObjectStore
	list    *stand.Registry
	engines []*stand.Engine
	service *stand.Service
	// engineAddrs are the addresses of the engines, and platformAddrs those of the
	// table, the object store and the list.
	engineAddrs   []string
	platformAddrs []string
	// mu guards instanceAddrs, which grows while callers read it.
	mu            sync.Mutex
	instanceAddrs []string
	stops         []context.CancelFunc
	instances     []*daemon.Instance
	http          *http.Client
}

func newFleet(t testing.TB, instances, engines int) *fleet {
	t.Helper()
	t.Setenv("BAOBABTALLY_TEST_SECRET", secret)
	f := &fleet{
		t:       t,
		table:   stand.NewTable(),
		object:  stand.NewObjectStore(),
		list:    stand.NewRegistry(),
		service: stand.NewService(),
		http: &http.Client{
			Transport: &http.Transport{},
		},
	}
	t.Cleanup(f.http.CloseIdleConnections)
	for i := range engines {
		e := stand.NewEngine("1", stand.WithRate(200_000, time.Millisecond))
		f.engines = append(f.engines, e)
		addr := f.serve(e)
		f.engineAddrs = append(f.engineAddrs, addr)
		f.register(fmt.Sprintf("e%d", i), "engine", addr, "small")
	}
	f.register("b0", "service", f.serve(f.service), "billing")
	value, err := peer.MarshalDocument(&rpcapi.Document{
		Version: 1,
		Change:  "first",
		Text:    "[[policy]]\nname = \"usual\"\ncover = \"\"\n",
	})
	require.NoError(t, err)
	f.table.Seed("config", value)
	f.platformAddrs = []string{f.serve(f.table), f.serve(f.object), f.serve(f.list)}
	for i := range instances {
		f.start(fmt.Sprintf("i%d", i))
	}
	return f
}

func (f *fleet) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	f.t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func (f *fleet) register(name, role, addr, model string) {
	f.list.Set(plat.Entry{
		Name:   name,
		Role:   role,
		Addr:   addr,
		Domain: "a",
		Models: []string{model},
	})
}

// start starts an instance and waits until it is ready.
func (f *fleet) start(name string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	s := setup.Defaults()
	s.Name = name
	s.Domain = "a"
	s.Table, s.Object, s.List = "http://"+f.platformAddrs[0], "http://"+f.platformAddrs[1], "http://"+f.platformAddrs[2]
	s.Secret.Env = "BAOBABTALLY_TEST_SECRET"
	s.Gap = setup.Duration(300 * time.Millisecond)
	s.Linger = setup.Duration(100 * time.Millisecond)
	s.Callers = []setup.Caller{
		{
			Hash: daemon.HashKey(teamKey),
			Team: "loom",
		},
		{
			Hash: daemon.HashKey("key-of-braid"),
			Team: "braid",
		},
	}
	f.register(name, "instance", l.Addr().String(), "")
	i, err := daemon.New(s, zerolog.Nop())
	require.NoError(f.t, err)
	ctx, stop := context.WithCancel(context.Background())
	f.mu.Lock()
	f.instanceAddrs = append(f.instanceAddrs, l.Addr().String())
	f.mu.Unlock()
	f.stops = append(f.stops, stop)
	f.instances = append(f.instances, i)
	go func() { _ = i.Run(ctx, l) }()
	f.t.Cleanup(func() {
		stop()
		f.http.CloseIdleConnections()
		<-i.Done()
	})
	at := len(f.instanceAddrs) - 1
	f.eventually(func() bool { return f.get(at, "/readyz") == http.StatusOK })
}

func (f *fleet) addr(i int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instanceAddrs[i]
}

func (f *fleet) eventually(ok func() bool) {
	f.t.Helper()
	require.Eventually(f.t, ok, 10*time.Second, 10*time.Millisecond)
}

func (f *fleet) get(i int, path string) int {
	resp, err := f.http.Get("http://" + f.addr(i) + path)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// post sends a request to instance i and returns the status and the body.
func (f *fleet) post(i int, path string, header map[string]string, body string) (int, string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+f.addr(i)+path, strings.NewReader(body))
	require.NoError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+teamKey)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := f.http.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

func chatBody(prompt string) string {
	data, _ := json.Marshal(map[string]any{
		"model":      "small",
		"stream":     true,
		"max_tokens": answerTokens,
		"messages": []map[string]string{{
			"role":    "user",
			"content": prompt,
		}},
	})
	return string(data)
}

// readStream returns the text of a stream, the id of its last event, and whether
// it has an end marker.
func readStream(t testing.TB, body string) (string, string, bool) {
	t.Helper()
	var text strings.Builder
	last := ""
	for ev, err := range sse.Read(bytes.NewReader([]byte(body)), nil) {
		require.NoError(t, err)
		last = ev.LastEventID
		if ev.Data == "[DONE]" {
			return text.String(), last, true
		}
		var data struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		require.NoError(t, json.Unmarshal([]byte(ev.Data), &data))
		if len(data.Choices) > 0 {
			text.WriteString(data.Choices[0].Delta.Content)
		}
	}
	return text.String(), last, false
}

// checkStream requests a stream from instance i and checks that it has exactly the
// text that engines generate for the prompt.
func (f *fleet) checkStream(i int, prompt string) {
	f.t.Helper()
	status, body := f.post(i, "/v1/chat/completions", nil, chatBody(prompt))
	f.requireStream(status, body, prompt)
}

// requireStream checks that a response is the complete stream for prompt.
func (f *fleet) requireStream(status int, body, prompt string) {
	f.t.Helper()
	require.Equal(f.t, http.StatusOK, status, body)
	text, _, ended := readStream(f.t, body)
	require.True(f.t, ended, body)
	require.Equal(f.t, stand.GeneratedText("user\n"+prompt+"\n", answerTokens), text)
}

// sendRaw sends text over a new connection, closes its write side if closeWrite is
// set, and returns the status line.
func (f *fleet) sendRaw(text string, closeWrite bool) string {
	conn, err := net.Dial("tcp", f.addr(0))
	require.NoError(f.t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, text)
	require.NoError(f.t, err)
	if tcp, ok := conn.(*net.TCPConn); ok && closeWrite {
		require.NoError(f.t, tcp.CloseWrite())
	}
	answer, _ := bufio.NewReader(conn).ReadString('\n')
	return answer
}
