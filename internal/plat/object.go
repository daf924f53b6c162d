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

// Object is the platform's object store.
type Object struct {
	base string
	http *http.Client
}

// NewObject returns the object store at the URL base.
func NewObject(base string) Object {
	return Object{
		base: strings.TrimSuffix(base, "/"),
		http: newHTTP(),
	}
}

// Close drops the connections that are not in use.
func (o Object) Close() { o.http.CloseIdleConnections() }

// Get returns the object key.
func (o Object) Get(ctx context.Context, key string) ([]byte, error) {
	resp, err := o.call(ctx, http.MethodGet, "/v1/objects/"+url.PathEscape(key), nil)
	return resp.body, err
}

// Put writes the object key. Doing it twice is the same as once.
func (o Object) Put(ctx context.Context, key string, value []byte) error {
	_, err := o.call(ctx, http.MethodPut, "/v1/objects/"+url.PathEscape(key), value)
	return err
}

// Delete removes the object key.
func (o Object) Delete(ctx context.Context, key string) error {
	_, err := o.call(ctx, http.MethodDelete, "/v1/objects/"+url.PathEscape(key), nil)
	return err
}

// Last returns up to n keys that start with prefix, the greatest first.
func (o Object) Last(ctx context.Context, prefix string, n string) ([]string, error) {
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

func (o Object) call(ctx context.Context, method, path string, body []byte) (answer, error) {
	resp, _, err := do(ctx, o.http, method, o.base+path, nil, body)
	switch {
	case err != nil:
		return answer{}, errors.Annotate(store.ErrUnavailable, err.Error())
	case resp.status == http.StatusNotFound:
		return answer{}, store.ErrMissing
	case resp.status >= http.StatusBadRequest:
		return answer{}, store.ErrUnavailable
	}
	return resp, nil
}
