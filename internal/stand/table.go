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
	// Faults are the faults to inject.
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
	t.mux.HandleFunc("GET /v1/rows/{key}", t.handleGet)
	t.mux.HandleFunc("PUT /v1/rows/{key}", t.handlePut)
	t.mux.HandleFunc("GET /stand/record", t.handleRecord)
	t.mux.HandleFunc("POST /stand/fault", t.Faults.handle)
	return t
}

// ServeHTTP implements the table's protocol.
func (t *Table) ServeHTTP(w http.ResponseWriter, r *http.Request) { t.mux.ServeHTTP(w, r) }

// Seed writes a row directly, without the protocol or faults.
func (t *Table) Seed(key string, value []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows[key] = row{
		value:   value,
		version: t.rows[key].version + 1,
	}
}

// Counts returns the number of reads and of successful writes.
func (t *Table) Counts() (int, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.writes
}

func (t *Table) handleGet(w http.ResponseWriter, r *http.Request) {
	if t.injectFault(w) {
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
	w.Header().Set("ETag", etag(old.version))
	if r.Header.Get("If-None-Match") == etag(old.version) {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(old.value)
}

func (t *Table) handlePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(r.Body)
	if err != nil || t.injectFault(w) {
		return
	}
	version, ok := t.putIfMatch(r, value)
	switch {
	case !ok:
		http.Error(w, "another version", http.StatusPreconditionFailed)
	case t.Faults.Inject(LoseResponse):
		closeConnection(w)
	default:
		w.Header().Set("ETag", etag(version))
		w.WriteHeader(http.StatusNoContent)
	}
}

// putIfMatch writes value if the request's If-Match or If-None-Match condition
// holds, and returns the new version.
func (t *Table) putIfMatch(r *http.Request, value []byte) (int64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := r.PathValue("key")
	old, ok := t.rows[key]
	if r.Header.Get("If-None-Match") == "*" && ok {
		return 0, false
	}
	if want := r.Header.Get("If-Match"); want != "" && (!ok || want != etag(old.version)) {
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

// injectFault injects Slow and Down, and reports whether the call failed.
func (t *Table) injectFault(w http.ResponseWriter) bool {
	if t.Faults.Inject(Slow) {
		time.Sleep(slowDelay)
	}
	if !t.Faults.Inject(Down) {
		return false
	}
	http.Error(w, "down", http.StatusServiceUnavailable)
	return true
}

func (t *Table) handleRecord(w http.ResponseWriter, _ *http.Request) {
	reads, writes := t.Counts()
	writeJSON(w, map[string]int{
		"reads":  reads,
		"writes": writes,
	})
}

func etag(version int64) string { return `"` + strconv.FormatInt(version, 10) + `"` }
