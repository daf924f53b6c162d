package stand

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"

	"github.com/baobabtally/baobabtally/internal/plat"
)

// List is a stand-in for the platform's list of nodes. It lags only as far as
// whoever writes to it does.
type List struct {
	// Faults makes calls fail.
	Faults Faults
	mux    *http.ServeMux
	mu     sync.Mutex
	nodes  map[string]plat.Entry
	// version grows with each change.
	version int64
}

// NewList returns a list of the given nodes.
func NewList(nodes ...plat.Entry) *List {
	l := &List{
		mux:   http.NewServeMux(),
		nodes: map[string]plat.Entry{},
	}
	for _, n := range nodes {
		l.nodes[n.Name] = n
	}
	l.mux.HandleFunc("GET /v1/nodes", l.get)
	l.mux.HandleFunc("PUT /stand/nodes/{name}", l.put)
	l.mux.HandleFunc("DELETE /stand/nodes/{name}", l.remove)
	l.mux.HandleFunc("POST /stand/fault", l.Faults.handle)
	return l
}

// ServeHTTP serves the list's protocol.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// Set adds or replaces a node.
func (l *List) Set(e plat.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes[e.Name] = e
	l.version++
}

func (l *List) get(w http.ResponseWriter, r *http.Request) {
	if l.Faults.Take(Down) {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	w.Header().Set("ETag", tagOf(l.version))
	if r.Header.Get("If-None-Match") == tagOf(l.version) {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	out := make([]plat.Entry, 0, len(l.nodes))
	for _, name := range slices.Sorted(maps.Keys(l.nodes)) {
		out = append(out, l.nodes[name])
	}
	reply(w, out)
}

func (l *List) put(w http.ResponseWriter, r *http.Request) {
	var e plat.Entry
	if err := json.NewDecoder(r.Body).Decode(&e); err != nil {
		http.Error(w, "send a node", http.StatusBadRequest)
		return
	}
	e.Name = r.PathValue("name")
	l.Set(e)
	w.WriteHeader(http.StatusNoContent)
}

func (l *List) remove(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.nodes, r.PathValue("name"))
	l.version++
	w.WriteHeader(http.StatusNoContent)
}
