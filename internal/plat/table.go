package plat

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/baobabtally/baobabtally/pkg/store"
)

const (
	// dialLimit is how long a connection may take.
	dialLimit = 500 * time.Millisecond
	// callLimit is how long a call may take.
	callLimit = 1 * time.Second
	// maxRow is the longest row or object, in bytes.
	maxRow = 4 << 20
)

// Table is the platform's table service.
type Table struct {
	base string
	http *http.Client
	seen *seen
}

// NewTable returns the table at the URL base. Rows with the given keys are read
// again and again, so that an unchanged one is not sent again.
func NewTable(base string, again ...string) Table {
	return Table{
		base: strings.TrimSuffix(base, "/"),
		http: newHTTP(),
		seen: newSeen(again),
	}
}

// seen keeps the last answer for each of a few keys.
type seen struct {
	mu      sync.Mutex
	answers map[string]answer
}

func newSeen(keys []string) *seen {
	s := &seen{
		answers: map[string]answer{},
	}
	for _, k := range keys {
		s.answers[k] = answer{}
	}
	return s
}

// header returns the condition for reading key.
func (s *seen) header(key string) http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.answers[key]; a.etag != "" {
		return http.Header{
			"If-None-Match": {a.etag},
		}
	}
	return nil
}

// settle returns a, or the last answer where a says that it still holds.
func (s *seen) settle(key string, a answer) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, kept := s.answers[key]
	if a.status == http.StatusNotModified {
		return old
	}
	if kept && a.status == http.StatusOK {
		s.answers[key] = a
	}
	return a
}

// Close drops the connections that are not in use.
func (t Table) Close() { t.http.CloseIdleConnections() }

// Get returns the row key.
func (t Table) Get(ctx context.Context, key string) (store.Row, error) {
	resp, _, err := t.call(ctx, http.MethodGet, key, t.seen.header(key), nil)
	if err != nil {
		return store.Row{}, errors.Annotate(store.ErrUnavailable, err.Error())
	}
	resp = t.seen.settle(key, resp)
	switch resp.status {
	case http.StatusOK:
		return store.Row{
			Key:     key,
			Value:   resp.body,
			Version: resp.version,
		}, nil
	case http.StatusNotFound:
		return store.Row{}, store.ErrMissing
	}
	return store.Row{}, store.ErrUnavailable
}

// Put writes row if the table's version is row.Version, where 0 means that
// there is no such row. It returns the new version.
func (t Table) Put(ctx context.Context, row store.Row) (int64, error) {
	header := http.Header{}
	if row.Version == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", etag(row.Version))
	}
	resp, sent, err := t.call(ctx, http.MethodPut, row.Key, header, row.Value)
	switch {
	case err != nil && sent:
		return 0, errors.Annotate(store.ErrLost, err.Error())
	case err != nil:
		return 0, errors.Annotate(store.ErrUnavailable, err.Error())
	}
	switch resp.status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return resp.version, nil
	case http.StatusPreconditionFailed:
		return 0, store.ErrConflict
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return 0, store.ErrUnavailable
	}
	return 0, store.ErrLost
}

// answer is a call's outcome.
type answer struct {
	status  int
	etag    string
	version int64
	body    []byte
}

// call returns the answer, or an error and whether any byte may have left.
func (t Table) call(ctx context.Context, method, key string, header http.Header, body []byte) (answer, bool, error) {
	return do(ctx, t.http, method, t.base+"/v1/rows/"+url.PathEscape(key), header, body)
}

func do(ctx context.Context, client *http.Client, method, target string, header http.Header, body []byte) (answer, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return answer{}, false, err
	}
	for k, v := range header {
		req.Header[k] = v
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{}, sent.Load(), err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxRow))
	if err != nil {
		return answer{}, true, err
	}
	version, _ := strconv.ParseInt(strings.Trim(resp.Header.Get("ETag"), `"`), 10, 64)
	return answer{
		status:  resp.StatusCode,
		etag:    resp.Header.Get("ETag"),
		version: version,
		body:    data,
	}, true, nil
}

func etag(version int64) string { return `"` + strconv.FormatInt(version, 10) + `"` }

func newHTTP() *http.Client {
	dialer := &net.Dialer{
		Timeout: dialLimit,
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: 8,
			IdleConnTimeout:     10 * time.Second,
		},
	}
}
