package stand

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Fault kinds.
const (
	// Down refuses calls before they have any effect.
	Down = "down"
	// Lost closes the connection after the effect.
	Lost = "lost"
	// Slow delays each call by slowness.
	Slow = "slow"
	// Mute stops sending on a connection that stays open.
	Mute = "mute"
	// Cut closes a connection in the middle of a stream.
	Cut = "cut"
	// Double sends a chunk twice.
	Double = "double"
	// Skip leaves a chunk out.
	Skip = "skip"
	// Cross answers with the id of another call.
	Cross = "cross"
)

// slowness is the delay of a slow call.
const slowness = 300 * time.Millisecond

// Faults counts the failures that are still to come. The zero value has none.
type Faults struct {
	mu   sync.Mutex
	left map[string]int
}

// Set has the next count chances of kind fail. A negative count lasts.
func (f *Faults) Set(kind string, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.left == nil {
		f.left = map[string]int{}
	}
	f.left[kind] = count
}

// Take tells whether this chance of kind fails.
func (f *Faults) Take(kind string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.left[kind]
	if n > 0 {
		f.left[kind] = n - 1
	}
	return n != 0
}

// order is the body of a call to the fault handler.
type order struct {
	Kind  string `json:"kind"`
	Count int    `json:"count"`
}

func (f *Faults) handle(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, "send {\"kind\": ..., \"count\": ...}", http.StatusBadRequest)
		return
	}
	f.Set(o.Kind, o.Count)
	w.WriteHeader(http.StatusNoContent)
}

// hangUp closes the connection without an answer.
func hangUp(w http.ResponseWriter) {
	h, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	if conn, _, err := h.Hijack(); err == nil {
		_ = conn.Close()
	}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
