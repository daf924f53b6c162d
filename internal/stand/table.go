package stand

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Table is a stand-in for the platform's table service.
type Table struct {
	// Faults makes calls fail.
	Faults Faults
	mux    *http.ServeMux
	mu     sync.Mutex
	rows   map[string]row
	reads  int
	writes int
}

type row struct {
	value   []byte
	version int64
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{
		mux:  http.NewServeMux(),
		rows: map[string]row{},
	}
	t.mux.HandleFunc("GET /v1/rows/{key}", t.get)
	t.mux.HandleFunc("PUT /v1/rows/{key}", t.put)
	t.mux.HandleFunc("GET /stand/record", t.record)
	t.mux.HandleFunc("POST /stand/fault", t.Faults.handle)
	return t
}

// ServeHTTP serves the table's protocol.
func (t *Table) ServeHTTP(w http.ResponseWriter, r *http.Request) { t.mux.ServeHTTP(w, r) }

// Seed writes a row past the protocol.
func (t *Table) Seed(key string, value []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows[key] = row{
		value:   value,
		version: t.rows[key].version + 1,
	}
}

// Counts returns how many reads and writes there were.
func (t *Table) Counts() (int, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.writes
}

func (t *Table) get(w http.ResponseWriter, r *http.Request) {
	if t.failing(w) {
		return
	}
	t.mu.Lock()
	t.reads++
	old, ok := t.rows[r.PathValue("key")]
	t.mu.Unlock()
	if !ok {
		http.Error(w, "no such row", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", tagOf(old.version))
	if r.Header.Get("If-None-Match") == tagOf(old.version) {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(old.value)
}

func (t *Table) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(r.Body)
	if err != nil || t.failing(w) {
		return
	}
	version, ok := t.store(r, value)
	switch {
	case !ok:
		http.Error(w, "another version", http.StatusPreconditionFailed)
	case t.Faults.Take(Lost):
		hangUp(w)
	default:
		w.Header().Set("ETag", tagOf(version))
		w.WriteHeader(http.StatusNoContent)
	}
}

// store writes value where the request's condition holds.
func (t *Table) store(r *http.Request, value []byte) (int64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := r.PathValue("key")
	old, ok := t.rows[key]
	if r.Header.Get("If-None-Match") == "*" && ok {
		return 0, false
	}
	if want := r.Header.Get("If-Match"); want != "" && (!ok || want != tagOf(old.version)) {
		return 0, false
	}
	t.writes++
	next := row{
		value:   value,
		version: old.version + 1,
	}
	t.rows[key] = next
	return next.version, true
}

func (t *Table) failing(w http.ResponseWriter) bool {
	if t.Faults.Take(Slow) {
		time.Sleep(slowness)
	}
	if !t.Faults.Take(Down) {
		return false
	}
	http.Error(w, "down", http.StatusServiceUnavailable)
	return true
}

func (t *Table) record(w http.ResponseWriter, _ *http.Request) {
	reads, writes := t.Counts()
	reply(w, map[string]int{
		"reads":  reads,
		"writes": writes,
	})
}

func tagOf(version int64) string { return `"` + strconv.FormatInt(version, 10) + `"` }
