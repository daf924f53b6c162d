package stand

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Service is a stand-in for a plain service such as billing. It runs every
// call that reaches it and knows nothing of idempotency keys.
type Service struct {
	// Faults makes calls fail.
	Faults Faults
	mux    *http.ServeMux
	mu     sync.Mutex
	runs   []Run
	// running counts the calls under way.
	running atomic.Int64
}

// Run is one call that a stand-in ran.
type Run struct {
	// ID is the attempt's id.
	ID string `json:"id"`
	// Key is the idempotency key of a call to a service.
	Key string `json:"key,omitempty"`
	// Path is the path of a call to a service.
	Path string `json:"path,omitempty"`
	// Salt is the cache salt of a generation.
	Salt string `json:"salt,omitempty"`
	// Text is the whole generated text.
	Text string `json:"text,omitempty"`
	// Prompt is the tokens of the prompt, and Cached how many were cached.
	Prompt int `json:"prompt,omitempty"`
	Cached int `json:"cached,omitempty"`
}

// NewService returns a service that ran nothing.
func NewService() *Service {
	s := &Service{
		mux: http.NewServeMux(),
	}
	s.mux.HandleFunc("GET /v1/load", s.load)
	s.mux.HandleFunc("GET /stand/record", s.record)
	s.mux.HandleFunc("POST /stand/fault", s.Faults.handle)
	s.mux.HandleFunc("/", s.serve)
	return s
}

// ServeHTTP serves any path.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Runs returns what ran.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Running returns how many calls are under way.
func (s *Service) Running() int64 { return s.running.Load() }

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.Faults.Take(Slow) {
		time.Sleep(slowness)
	}
	run := Run{
		ID:   r.Header.Get("X-Request-Id"),
		Key:  r.Header.Get("Idempotency-Key"),
		Path: r.Method + " " + r.URL.Path,
	}
	s.mu.Lock()
	s.runs = append(s.runs, run)
	n := len(s.runs)
	s.mu.Unlock()
	if s.Faults.Take(Lost) {
		hangUp(w)
		return
	}
	w.Header().Set("X-Request-Id", run.ID)
	if s.Faults.Take(Cross) {
		w.Header().Set("X-Request-Id", "another")
	}
	reply(w, map[string]any{
		"run":  n,
		"path": run.Path,
		"sent": string(body),
	})
}

func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	if s.Faults.Take(Down) {
		hangUp(w)
		return
	}
	reply(w, Load{
		Epoch: "service",
		Slots: 32,
	})
}

func (s *Service) record(w http.ResponseWriter, _ *http.Request) { reply(w, s.Runs()) }
