package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/peer"
	"github.com/baobabtally/baobabtally/internal/rpcapi"
	"github.com/baobabtally/baobabtally/internal/stand"
)

// Faults of the connection to an engine must not lose, repeat or mix chunks of a
// stream.
func TestStreamsAreCompleteUnderFaults(t *testing.T) {
	for _, kind := range []string{stand.Truncate, stand.Stall, stand.Duplicate, stand.Skip, stand.WrongRequestID, stand.Down} {
		t.Run(kind, func(t *testing.T) {
			f := newFleet(t, 1, 2)
			for n := range 3 {
				for _, e := range f.engines {
					e.Faults.Set(kind, 2)
				}
				f.checkStream(0, fmt.Sprint("sheet ", n))
			}
		})
	}
}

// When an engine crashes, its streams continue at another engine without a change
// to the text.
func TestStreamContinuesAtAnotherEngine(t *testing.T) {
	f := newFleet(t, 1, 2)
	var callers sync.WaitGroup
	for n := range 10 {
		callers.Go(func() { f.checkStream(0, fmt.Sprint("sheet ", n)) })
	}
	time.Sleep(10 * time.Millisecond)
	f.engines[0].Crash("2")
	callers.Wait()
}

// After a failover the first engine may still generate the stream, so the
// instance must cancel it there.
func TestAbandonedStreamIsCancelledAfterFailover(t *testing.T) {
	f := newFleet(t, 1, 2)
	for _, e := range f.engines {
		e.Faults.Set(stand.Stall, 3)
	}
	f.checkStream(0, "sheet")
	f.eventually(func() bool { return f.engines[0].Cancelled()+f.engines[1].Cancelled() > 0 })
}

// A non-idempotent call runs at the service, but its response is lost. Its
// outcome is reported as unknown, and later calls with the same key, also to
// another instance, don't run it again.
func TestNonIdempotentCallWithLostResponseIsNotRetried(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.service.Faults.Set(stand.LoseResponse, 1)
	header := map[string]string{
		"Idempotency-Key": "k1",
	}
	for n := range 4 {
		status, body := f.post(n%2, "/svc/billing/charge", header, "3")
		require.Equal(t, http.StatusBadGateway, status)
		require.Contains(t, body, `"run":"unknown"`)
	}
	status, body := f.post(0, "/svc/billing/charge", nil, "3")
	require.Equal(t, http.StatusOK, status, body)
	require.Len(t, f.service.Runs(), 2)
}

// A service that answers with the response to another request must not have it
// passed on to the caller.
func TestResponseToAnotherAttemptIsDropped(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.service.Faults.Set(stand.WrongRequestID, 1)
	status, body := f.post(0, "/svc/billing/charge", nil, "3")
	require.Equal(t, http.StatusBadGateway, status, body)
	require.Contains(t, body, `"run":"unknown"`)
}

// Without the table a call with a key can't be claimed. It is refused as not run,
// does not reach the service, and runs once when the table is back.
func TestNonIdempotentCallsAreRefusedWhileTheTableIsDown(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.table.Faults.Set(stand.Down, -1)
	status, body := f.post(0, "/svc/billing/charge", map[string]string{
		"Idempotency-Key": "k1",
	}, "3")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, body, `"run":"not_run"`)
	require.Empty(t, f.service.Runs())
	f.table.Faults.Set(stand.Down, 0)
	f.eventually(func() bool {
		status, _ := f.post(0, "/svc/billing/charge", map[string]string{
			"Idempotency-Key": "k1",
		}, "3")
		return status == http.StatusOK
	})
	require.Len(t, f.service.Runs(), 1)
}

func TestResumeThroughAnotherInstance(t *testing.T) {
	f := newFleet(t, 2, 2)
	status, body := f.post(0, "/v1/chat/completions", nil, chatBody("sheet"))
	require.Equal(t, http.StatusOK, status)
	complete, _, _ := readStream(t, body)
	events := strings.SplitAfter(body, "\n\n")
	head, last, ended := readStream(t, strings.Join(events[:answerTokens/2], ""))
	require.False(t, ended)
	header := map[string]string{
		"Last-Event-ID": last,
	}
	status, body = f.post(1, "/v1/chat/completions", header, chatBody("sheet"))
	require.Equal(t, http.StatusOK, status, body)
	tail, _, ended := readStream(t, body)
	require.True(t, ended)
	require.Equal(t, complete, head+tail)
	header["Authorization"] = "Bearer key-of-braid"
	status, _ = f.post(1, "/v1/chat/completions", header, chatBody("sheet"))
	require.Equal(t, http.StatusUnauthorized, status, "another team's stream")
}

func TestDepartingEngineGetsNoNewWork(t *testing.T) {
	f := newFleet(t, 2, 2)
	f.engines[0].Depart()
	f.eventually(func() bool {
		before := len(f.engines[0].Runs())
		for n := range 4 {
			f.checkStream(n%2, fmt.Sprint("sheet ", n))
		}
		return len(f.engines[0].Runs()) == before
	})
}

// unread are the errors of requests that an instance has not read: the listener was
// closed, before the connection was accepted or before it was opened, or the request
// crossed the close of a kept connection. An instance that closes a connection after it
// has read a request causes an EOF.
var unread = regexp.MustCompile("connection refused|connection reset by peer|broken pipe|server closed idle connection")

// A stop must answer each request that the instance has read.
func TestStopCutsNoRequest(t *testing.T) {
	f := newFleet(t, 2, 2)
	var callers sync.WaitGroup
	var answered atomic.Int64
	for n := range 40 {
		callers.Go(func() {
			prompt := fmt.Sprint("sheet ", n)
			status, body := f.post(0, "/v1/chat/completions", nil, chatBody(prompt))
			if status == 0 && unread.MatchString(body) {
				return
			}
			f.requireStream(status, body, prompt)
			answered.Add(1)
		})
	}
	time.Sleep(20 * time.Millisecond)
	f.stops[0]()
	callers.Wait()
	<-f.instances[0].Done()
	require.Positive(t, answered.Load())
	f.checkStream(1, "after")
}

// The first request of a connection must be answered, too, if it comes after the
// instance has stopped accepting connections.
func TestStopAnswersFirstRequestOfOpenConnection(t *testing.T) {
	f := newFleet(t, 1, 1)
	body := chatBody("late")
	conn, err := net.Dial("tcp", f.addr(0))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	f.stops[0]()
	f.eventually(func() bool {
		c, err := net.Dial("tcp", f.addr(0))
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", teamKey, len(body), body)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode, string(data))
	_, _, ended := readStream(t, string(data))
	require.True(t, ended)
}

// TestRollingStopCutsNoRequest replaces all instances one after another while
// callers keep sending requests. Like a load balancer, the callers pick an
// instance that reports ready.
func TestRollingStopCutsNoRequest(t *testing.T) {
	f := newFleet(t, 3, 2)
	current := []int{0, 1, 2}
	var mu sync.Mutex
	pick := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		for {
			n++
			if i := current[n%len(current)]; f.get(i, "/readyz") == http.StatusOK {
				return i
			}
		}
	}
	var callers sync.WaitGroup
	stopCallers := make(chan struct{})
	answered := make([]int, 6)
	for c := range answered {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stopCallers:
					return
				default:
				}
				f.checkStream(pick(c+n), fmt.Sprint("sheet ", c, n))
				answered[c]++
			}
		})
	}
	for i := range 3 {
		f.stops[i]()
		<-f.instances[i].Done()
		f.start(fmt.Sprint("i", i))
		mu.Lock()
		current[i] = 3 + i
		mu.Unlock()
	}
	close(stopCallers)
	callers.Wait()
	for _, n := range answered {
		require.Positive(t, n)
	}
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	f := newFleet(t, 1, 1)
	chat := "/v1/chat/completions"
	cases := map[string]struct {
		path   string
		header map[string]string
		body   string
		status int
	}{
		"no key":         {chat, map[string]string{"Authorization": ""}, chatBody("a"), 401},
		"unknown key":    {chat, map[string]string{"Authorization": "Bearer x"}, chatBody("a"), 401},
		"unknown model":  {chat, nil, strings.Replace(chatBody("a"), "small", "none", 1), 404},
		"unknown svc":    {"/svc/none/x", nil, "", 404},
		"no JSON":        {chat, nil, "{", 400},
		"another JSON":   {chat, nil, "[1]", 400},
		"no UTF-8":       {chat, nil, "{\"model\":\"\xff\"}", 400},
		"no messages":    {chat, nil, `{"model":"small"}`, 400},
		"negative limit": {chat, nil, `{"model":"small","messages":[{"role":"user","content":"a"}],"max_tokens":-1}`, 400},
		"two answers":    {chat, nil, `{"model":"small","messages":[{"role":"user","content":"a"}],"n":2}`, 400},
		"oversized":      {chat, nil, strings.Repeat("x", 5<<20), 413},
		"bad labels":     {chat, map[string]string{"X-Labels": "=,"}, chatBody("a"), 400},
		"bad event id":   {chat, map[string]string{"Last-Event-ID": "x"}, chatBody("a"), 400},
		"long idem key":  {"/svc/billing/x", map[string]string{"Idempotency-Key": strings.Repeat("k", 300)}, "", 400},
		"no prompt":      {"/v1/completions", nil, `{"model":"small"}`, 400},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			status, body := f.post(0, c.path, c.header, c.body)
			require.Equal(t, c.status, status, body)
			require.Contains(t, body, `"run":"not_run"`)
		})
	}
	require.Empty(t, f.engines[0].Runs())
	require.Empty(t, f.service.Runs())
}

func TestTruncatedBodyAndSlowHeadersAreRejected(t *testing.T) {
	f := newFleet(t, 1, 1)
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + teamKey + "\r\n"
	require.Contains(t, f.sendRaw(head+"Content-Length: 1000\r\n\r\n{\"model\":", true), "400")
	// A header that never ends is cut off by the read timeout, either without a
	// response or with an error.
	require.NotContains(t, f.sendRaw(head, false), "200")
	require.Empty(t, f.engines[0].Runs())
}

func TestPolicyThatSelectsNoEndpointIsReported(t *testing.T) {
	f := newFleet(t, 1, 1)
	value, err := peer.MarshalDocument(&rpcapi.Document{
		Version: 2,
		Change:  "second",
		Text:    "[[policy]]\nname = \"usual\"\ncover = \"\"\nserve = \"gpu=none\"\n",
	})
	require.NoError(t, err)
	f.table.Seed("config", value)
	f.eventually(func() bool {
		status, body := f.post(0, "/v1/chat/completions", nil, chatBody("a"))
		return status == http.StatusForbidden && strings.Contains(body, "selects no endpoint") && strings.Contains(body, "not_run")
	})
}

func TestAdminAPIRequiresTheSecret(t *testing.T) {
	f := newFleet(t, 1, 1)
	_, err := rpcapi.NewAdminProtobufClient("http://"+f.addr(0), f.http).Get(t.Context(), &rpcapi.Nothing{})
	require.Error(t, err)
	client := peer.NewHTTPClient([]byte(secret))
	t.Cleanup(client.CloseIdleConnections)
	doc, err := rpcapi.NewAdminProtobufClient("http://"+f.addr(0), client).Get(t.Context(), &rpcapi.Nothing{})
	require.NoError(t, err)
	require.EqualValues(t, 1, doc.GetVersion())
}

// BenchmarkPath sends requests alternately to an engine and through an instance,
// and reports the direct latency and the latency that the instance adds.
func BenchmarkPath(b *testing.B) {
	f := newFleet(b, 1, 1)
	body := `{"model":"small","stream":true,"max_tokens":1,"messages":[{"role":"user","content":"a"}]}`
	var times [2]*hdrhistogram.Histogram
	targets := []string{f.engineAddrs[0], f.addr(0)}
	for i := range times {
		times[i] = hdrhistogram.New(1, 10_000_000, 3)
	}
	n := 0
	for b.Loop() {
		for i, target := range targets {
			n++
			begin := time.Now()
			req, err := http.NewRequest(http.MethodPost, "http://"+target+"/v1/chat/completions", strings.NewReader(body))
			require.NoError(b, err)
			req.Header.Set("Authorization", "Bearer "+teamKey)
			req.Header.Set("X-Request-Id", fmt.Sprint(n))
			resp, err := f.http.Do(req)
			require.NoError(b, err)
			_, err = io.Copy(io.Discard, resp.Body)
			require.NoError(b, err)
			_ = resp.Body.Close()
			_ = times[i].RecordValue(time.Since(begin).Microseconds())
		}
	}
	for _, q := range []float64{50, 99} {
		direct, through := times[0].ValueAtQuantile(q), times[1].ValueAtQuantile(q)
		b.ReportMetric(float64(direct), fmt.Sprintf("p%.0f-direct-µs", q))
		b.ReportMetric(float64(through-direct), fmt.Sprintf("p%.0f-added-µs", q))
	}
}

// TestSlowServiceCallsRunConcurrently checks that calls to a slow plain service
// don't wait for each other.
func TestSlowServiceCallsRunConcurrently(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.service.Faults.Set(stand.Slow, -1)
	var callers sync.WaitGroup
	var maxRunning atomic.Int64
	for n := range 12 {
		callers.Go(func() {
			status, body := f.post(0, "/svc/billing/balance", map[string]string{
				"Idempotency-Key": fmt.Sprint("k", n),
			}, "")
			require.Equal(t, http.StatusOK, status, body)
		})
	}
	f.eventually(func() bool {
		maxRunning.Store(max(maxRunning.Load(), f.service.Running()))
		return maxRunning.Load() == 12
	})
	callers.Wait()
}
