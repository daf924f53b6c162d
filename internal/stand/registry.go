package stand

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"

	"github.com/baobabtally/baobabtally/internal/plat"
)

// Registry is a stand-in for the platform's node registry. It has no staleness of
// its own: a change is visible as soon as Set or a request makes it.
type Registry struct {
	// Faults are the faults to inject.
	Faults Faults
	mux    *http.ServeMux
	mu     sync.Mutex
	nodes  map[string]plat.Entry
	// version is incremented by each change and serves as the ETag.
	version int64
}

// NewRegistry returns a registry of the given nodes.
func NewRegistry(nodes ...plat.Entry) *Registry {
	l := &Registry{
		mux:   http.NewServeMux(),
		nodes: map[string]plat.Entry{},
	}
	for _, n := range nodes {
		l.nodes[n.Name] = n
	}
	l.mux.HandleFunc("GET /v1/nodes", l.handleList)
	l.mux.HandleFunc("PUT /stand/nodes/{name}", l.handlePut)
	l.mux.HandleFunc("DELETE /stand/nodes/{name}", l.handleDelete)
	l.mux.HandleFunc("POST /stand/fault", l.Faults.handle)
	return l
}

// ServeHTTP implements the registry's protocol.
func (l *Registry) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// Set adds or replaces a node entry.
func (l *Registry) Set(e plat.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes[e.Name] = e
	l.version++
}

func (l *Registry) handleList(w http.ResponseWriter, r *http.Request) {
	if l.Faults.Inject(Down) {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	w.Header().Set("ETag", etag(l.version))
	if r.Header.Get("If-None-Match") == etag(l.version) {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	out := make([]plat.Entry, 0, len(l.nodes))
	for _, name := range slices.Sorted(maps.Keys(l.nodes)) {
		out = append(out, l.nodes[name])
	}
	writeJSON(w, out)
}

func (l *Registry) handlePut(w http.ResponseWriter, r *http.Request) {
	var e plat.Entry
	if err := json.NewDecoder(r.Body).Decode(&e); err != nil {
		http.Error(w, "send a node", http.StatusBadRequest)
		return
	}
	e.Name = r.PathValue("name")
	l.Set(e)
	w.WriteHeader(http.StatusNoContent)
}

func (l *Registry) handleDelete(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.nodes, r.PathValue("name"))
	l.version++
	w.WriteHeader(http.StatusNoContent)
}
