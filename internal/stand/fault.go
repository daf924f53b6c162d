package stand

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Fault kinds.
const (
	// Down fails a call before it has any effect.
	Down = "down"
	// LoseResponse executes a call and closes the connection instead of responding.
	LoseResponse = "lost"
	// Slow delays a call by slowDelay.
	Slow = "slow"
	// Stall stops sending in the middle of a stream and leaves the connection open.
	Stall = "mute"
	// Truncate closes the connection in the middle of a stream.
	Truncate = "cut"
	// Duplicate sends an event of a stream twice.
	Duplicate = "double"
	// Skip omits an event of a stream.
	Skip = "skip"
	// WrongRequestID responds with the request id of another call.
	WrongRequestID = "cross"
)

// slowDelay is how long Slow delays a call.
const slowDelay = 300 * time.Millisecond

// Faults holds the faults that are still to be injected. The zero value has none.
type Faults struct {
	mu        sync.Mutex
	remaining map[string]int
}

// Set injects the fault kind into the next count opportunities, or into all of
// them if count is negative.
func (f *Faults) Set(kind string, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.remaining == nil {
		f.remaining = map[string]int{}
	}
	f.remaining[kind] = count
}

// Inject reports whether to inject the fault kind now, and counts it off if so.
func (f *Faults) Inject(kind string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.remaining[kind]
	if n > 0 {
		f.remaining[kind] = n - 1
	}
	return n != 0
}

// faultRequest is the body of a request to inject a fault.
type faultRequest struct {
	Kind  string `json:"kind"`
	Count int    `json:"count"`
}

func (f *Faults) handle(w http.ResponseWriter, r *http.Request) {
	var o faultRequest
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, "send {\"kind\": ..., \"count\": ...}", http.StatusBadRequest)
		return
	}
	f.Set(o.Kind, o.Count)
	w.WriteHeader(http.StatusNoContent)
}

// closeConnection closes the connection without a response.
func closeConnection(w http.ResponseWriter) {
	h, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	if conn, _, err := h.Hijack(); err == nil {
		_ = conn.Close()
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
