package plat

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"github.com/juju/errors"

	"github.com/baobabtally/baobabtally/pkg/store"
)

// ObjectStore is the platform's object store.
type ObjectStore struct {
	base string
	http *http.Client
}

// NewObjectStore returns the object store at the URL base.
func NewObjectStore(base string) ObjectStore {
	return ObjectStore{
		base: strings.TrimSuffix(base, "/"),
		http: newHTTPClient(),
	}
}

// Close closes idle connections.
func (o ObjectStore) Close() { o.http.CloseIdleConnections() }

// Get returns the object that is stored under key.
func (o ObjectStore) Get(ctx context.Context, key string) ([]byte, error) {
	resp, err := o.call(ctx, http.MethodGet, "/v1/objects/"+url.PathEscape(key), nil)
	return resp.body, err
}

// Put stores value under key. It is idempotent.
func (o ObjectStore) Put(ctx context.Context, key string, value []byte) error {
	_, err := o.call(ctx, http.MethodPut, "/v1/objects/"+url.PathEscape(key), value)
	return err
}

// Delete removes the object that is stored under key.
func (o ObjectStore) Delete(ctx context.Context, key string) error {
	_, err := o.call(ctx, http.MethodDelete, "/v1/objects/"+url.PathEscape(key), nil)
	return err
}

// Last returns up to n keys that start with prefix, in descending order.
func (o ObjectStore) Last(ctx context.Context, prefix string, n string) ([]string, error) {
	query := url.Values{
		"prefix": {prefix},
		"last":   {n},
	}
	resp, err := o.call(ctx, http.MethodGet, "/v1/objects?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	var keys []string
	err = json.Unmarshal(resp.body, &keys)
	return keys, errors.Annotate(err, "the object store's list is malformed: check its address")
}

// call sends a request and maps the outcome to the errors of package store.
func (o ObjectStore) call(ctx context.Context, method, path string, body []byte) (response, error) {
	resp, _, err := send(ctx, o.http, method, o.base+path, nil, body)
	switch {
	case err != nil:
		return response{}, errors.Annotate(store.ErrUnavailable, err.Error())
	case resp.status == http.StatusNotFound:
		return response{}, store.ErrMissing
	case resp.status >= http.StatusBadRequest:
		return response{}, store.ErrUnavailable
	}
	return resp, nil
}
