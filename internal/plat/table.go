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

	"github.com/baobabtally/baobabtally/internal/whole"
	"github.com/baobabtally/baobabtally/pkg/store"
)

const (
	// dialTimeout bounds the time to connect.
	dialTimeout = 500 * time.Millisecond
	// callTimeout bounds a call, including the response's body.
	callTimeout = 1 * time.Second
	// maxBodyBytes is the largest row or object; a longer one is an error.
	maxBodyBytes = 4 << 20
)

// errUnframed means that a response has neither a length nor chunks, so that a part of it
// can't be told from all of it.
const errUnframed = errors.ConstError("the answer has neither a length nor chunks: check who answers at this address")

// Table is the platform's table service.
type Table struct {
	base  string
	http  *http.Client
	cache *conditionalCache
}

// NewTable returns the table at the URL base. Rows with the given keys are cached
// and read by conditional requests, since they are polled: the table does not send
// an unchanged row again.
func NewTable(base string, cachedKeys ...string) Table {
	return Table{
		base:  strings.TrimSuffix(base, "/"),
		http:  newHTTPClient(),
		cache: newConditionalCache(cachedKeys),
	}
}

// conditionalCache holds the last response for each of a fixed set of keys.
type conditionalCache struct {
	mu        sync.Mutex
	responses map[string]response
}

func newConditionalCache(keys []string) *conditionalCache {
	c := &conditionalCache{
		responses: map[string]response{},
	}
	for _, k := range keys {
		c.responses[k] = response{}
	}
	return c
}

// conditions returns the header that makes a read of key conditional.
func (c *conditionalCache) conditions(key string) http.Header {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.responses[key]; r.etag != "" {
		return http.Header{
			"If-None-Match": {r.etag},
		}
	}
	return nil
}

// resolve returns the cached response if r has status 304 (not modified), else r,
// which it caches if key is in the set.
func (c *conditionalCache) resolve(key string, r response) response {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, ok := c.responses[key]
	if r.status == http.StatusNotModified {
		return cached
	}
	if ok && r.status == http.StatusOK {
		c.responses[key] = r
	}
	return r
}

// Close closes idle connections.
func (t Table) Close() { t.http.CloseIdleConnections() }

// Get returns the row that is stored under key.
func (t Table) Get(ctx context.Context, key string) (store.Row, error) {
	resp, _, err := t.call(ctx, http.MethodGet, key, t.cache.conditions(key), nil)
	if err != nil {
		return store.Row{}, errors.Annotate(store.ErrUnavailable, err.Error())
	}
	resp = t.cache.resolve(key, resp)
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

// Put writes row if its version in the table is row.Version, where 0 means that
// the row does not exist, and returns the new version. After store.ErrLost the
// write may have happened, after every other error it has not.
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

// response is the outcome of a completed call.
type response struct {
	status  int
	etag    string
	version int64
	body    []byte
}

// call sends a request for the row of key. It returns what send returns.
func (t Table) call(ctx context.Context, method, key string, header http.Header, body []byte) (response, bool, error) {
	return send(ctx, t.http, method, t.base+"/v1/rows/"+url.PathEscape(key), header, body)
}

// send sends a request and reads the response. If it fails, the second result
// reports whether part of the request may have been sent.
func send(ctx context.Context, client *http.Client, method, target string, header http.Header, body []byte) (response, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return response{}, false, err
	}
	for k, v := range header {
		req.Header[k] = v
	}
	resp, err := client.Do(req)
	if err != nil {
		return response{}, sent.Load(), err
	}
	defer func() { _ = resp.Body.Close() }()
	if !whole.Framed(resp) {
		return response{}, true, errUnframed
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes+1))
	if err != nil {
		return response{}, true, err
	}
	if len(data) > maxBodyBytes {
		return response{}, true, errors.Errorf("the answer is over %d MB: store less under this key", maxBodyBytes>>20)
	}
	version, _ := strconv.ParseInt(strings.Trim(resp.Header.Get("ETag"), `"`), 10, 64)
	return response{
		status:  resp.StatusCode,
		etag:    resp.Header.Get("ETag"),
		version: version,
		body:    data,
	}, true, nil
}

// etag returns the entity tag of a row's version.
func etag(version int64) string { return `"` + strconv.FormatInt(version, 10) + `"` }

func newHTTPClient() *http.Client {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	return &http.Client{
		Transport: whole.Transport(&http.Transport{
			DialContext:         whole.Dial(dialer.DialContext),
			MaxIdleConnsPerHost: 8,
			IdleConnTimeout:     10 * time.Second,
		}),
	}
}
