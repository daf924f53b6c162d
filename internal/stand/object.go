package stand

import (
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// ObjectStore is a stand-in for the platform's object store.
type ObjectStore struct {
	// Faults are the faults to inject.
	Faults  Faults
	mux     *http.ServeMux
	mu      sync.Mutex
	objects map[string][]byte
}

// NewObjectStore returns an empty object store.
func NewObjectStore() *ObjectStore {
	o := &ObjectStore{
		mux:     http.NewServeMux(),
		objects: map[string][]byte{},
	}
	o.mux.HandleFunc("GET /v1/objects", o.handleList)
	o.mux.HandleFunc("GET /v1/objects/{key}", o.handleGet)
	o.mux.HandleFunc("PUT /v1/objects/{key}", o.handlePut)
	o.mux.HandleFunc("DELETE /v1/objects/{key}", o.handleDelete)
	o.mux.HandleFunc("POST /stand/fault", o.Faults.handle)
	return o
}

// ServeHTTP implements the object store's protocol.
func (o *ObjectStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/v1/") && o.Faults.Inject(Down) {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	o.mux.ServeHTTP(w, r)
}

func (o *ObjectStore) handleGet(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	value, ok := o.objects[r.PathValue("key")]
	o.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	_, _ = w.Write(value)
}

func (o *ObjectStore) handlePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	o.mu.Lock()
	o.objects[r.PathValue("key")] = value
	o.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (o *ObjectStore) handleDelete(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	delete(o.objects, r.PathValue("key"))
	o.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (o *ObjectStore) handleList(w http.ResponseWriter, r *http.Request) {
	last, err := strconv.Atoi(r.URL.Query().Get("last"))
	if err != nil || last < 1 {
		http.Error(w, "give last=N", http.StatusBadRequest)
		return
	}
	o.mu.Lock()
	keys := slices.Sorted(maps.Keys(o.objects))
	o.mu.Unlock()
	slices.Reverse(keys)
	found := []string{}
	for _, k := range keys {
		if strings.HasPrefix(k, r.URL.Query().Get("prefix")) && len(found) < last {
			found = append(found, k)
		}
	}
	writeJSON(w, found)
}
