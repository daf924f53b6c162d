package stand

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Service is a stand-in for a plain service such as billing. It executes every
// call that it receives and does not deduplicate by idempotency key.
type Service struct {
	// Faults are the faults to inject.
	Faults Faults
	mux    *http.ServeMux
	mu     sync.Mutex
	runs   []Run
	// running counts calls in flight.
	running atomic.Int64
}

// Run records one call that a stand-in executed.
type Run struct {
	// ID is the request id of the attempt.
	ID string `json:"id"`
	// Key is the idempotency key of a call to a service.
	Key string `json:"key,omitempty"`
	// Path is the path of a call to a service.
	Path string `json:"path,omitempty"`
	// Salt is the cache salt of a generation.
	Salt string `json:"salt,omitempty"`
	// Text is the complete generated text.
	Text string `json:"text,omitempty"`
	// PromptTokens is the length of the prompt, and CachedTokens the part of it
	// that was cached.
	PromptTokens int `json:"prompt,omitempty"`
	CachedTokens int `json:"cached,omitempty"`
}

// NewService returns a service without recorded calls.
func NewService() *Service {
	s := &Service{
		mux: http.NewServeMux(),
	}
	s.mux.HandleFunc("GET /v1/load", s.handleLoad)
	s.mux.HandleFunc("GET /stand/record", s.handleRecord)
	s.mux.HandleFunc("POST /stand/fault", s.Faults.handle)
	s.mux.HandleFunc("/", s.handleCall)
	return s
}

// ServeHTTP executes a call on any path, except the paths for load, record and
// faults.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Runs returns the executed calls.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Running returns the number of calls in flight.
func (s *Service) Running() int64 { return s.running.Load() }

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.Faults.Inject(Slow) {
		time.Sleep(slowDelay)
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
	if s.Faults.Inject(LoseResponse) {
		closeConnection(w)
		return
	}
	w.Header().Set("X-Request-Id", run.ID)
	if s.Faults.Inject(WrongRequestID) {
		w.Header().Set("X-Request-Id", "another")
	}
	writeJSON(w, map[string]any{
		"run":  n,
		"path": run.Path,
		"sent": string(body),
	})
}

func (s *Service) handleLoad(w http.ResponseWriter, _ *http.Request) {
	if s.Faults.Inject(Down) {
		closeConnection(w)
		return
	}
	writeJSON(w, Load{
		Epoch: "service",
		Slots: 32,
	})
}

func (s *Service) handleRecord(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Runs()) }
