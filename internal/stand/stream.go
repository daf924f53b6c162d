package stand

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// stream buffers the events of one response, so that it can be resumed.
type stream struct {
	id   string
	chat bool
	mu   sync.Mutex
	// events holds the data of all events so far.
	events []string
	ended  bool
	// changed is closed and replaced when events are appended.
	changed chan struct{}
	// readers is the number of connections that read the stream, and orphanedSince
	// is when that number last changed.
	readers       int
	orphanedSince time.Time
	// cancelled is closed by cancelOnce when the stream is cancelled.
	cancelled  chan struct{}
	cancelOnce sync.Once
}

func newStream(id string, chat bool) *stream {
	return &stream{
		id:            id,
		chat:          chat,
		changed:       make(chan struct{}),
		orphanedSince: time.Now(),
		cancelled:     make(chan struct{}),
	}
}

// choice is the single choice of a chunk.
type choice struct {
	Index  int     `json:"index"`
	Text   string  `json:"text,omitempty"`
	Delta  *delta  `json:"delta,omitempty"`
	Finish *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content,omitempty"`
}

// chunk is the data of a stream event.
type chunk struct {
	ID      string         `json:"id"`
	Choices []choice       `json:"choices"`
	Usage   map[string]any `json:"usage,omitempty"`
}

// appendWord appends an event that carries one word.
func (s *stream) appendWord(text string) {
	c := choice{
		Text: text,
	}
	if s.chat {
		c = choice{
			Delta: &delta{
				Content: text,
			},
		}
	}
	s.append(chunk{
		Choices: []choice{c},
	}, false)
}

// finish appends the final chunk with the token usage, and the end marker.
func (s *stream) finish(prompt, cached, generated int) {
	reason := "stop"
	c := choice{
		Finish: &reason,
	}
	if s.chat {
		c.Delta = &delta{}
	}
	s.append(chunk{
		Choices: []choice{c},
		Usage: map[string]any{
			"prompt_tokens":     prompt,
			"completion_tokens": generated,
			"prompt_tokens_details": map[string]int{
				"cached_tokens": cached,
			},
		},
	}, true)
}

func (s *stream) append(c chunk, last bool) {
	c.ID = "cmpl-" + s.id
	data, err := json.Marshal(c)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, string(data))
	if last {
		s.events = append(s.events, "[DONE]")
		s.ended = true
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// eventsFrom returns the events from offset on, whether the stream has ended, and
// a channel that is closed when more events are appended.
func (s *stream) eventsFrom(offset int) ([]string, bool, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.events[min(offset, len(s.events)):], s.ended, s.changed
}

// addReaders adds n to the number of readers.
func (s *stream) addReaders(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers += n
	s.orphanedSince = time.Now()
}

// abandoned reports whether the stream was cancelled or has had no reader for
// longer than orphanTimeout.
func (s *stream) abandoned() bool {
	select {
	case <-s.cancelled:
		return true
	default:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readers == 0 && time.Since(s.orphanedSince) > orphanTimeout
}

func (e *Engine) findStream(r *http.Request) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[r.PathValue("id")]
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	out := e.findStream(r)
	if out == nil {
		http.Error(w, "no such stream", http.StatusGone)
		return
	}
	last, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if err != nil {
		last = -1
	}
	e.sendEvents(w, r, out, last+1)
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	if out := e.findStream(r); out != nil {
		out.cancelOnce.Do(func() { close(out.cancelled) })
		e.cancelled.Add(1)
	}
	w.WriteHeader(http.StatusNoContent)
}

// sendEvents writes the events of out from offset on until the stream ends, and
// injects faults.
func (e *Engine) sendEvents(w http.ResponseWriter, r *http.Request, out *stream, offset int) {
	out.addReaders(1)
	defer out.addReaders(-1)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", out.id)
	if e.Faults.Inject(WrongRequestID) {
		w.Header().Set("X-Request-Id", "another")
	}
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	for {
		events, ended, more := out.eventsFrom(offset)
		for _, data := range events {
			if !e.sendEvent(w, r, offset, data) {
				return
			}
			offset++
		}
		if err := flush.Flush(); err != nil || ended {
			return
		}
		select {
		case <-more:
		case <-out.cancelled:
			closeConnection(w)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// sendEvent writes one event and reports whether the connection stays usable.
func (e *Engine) sendEvent(w http.ResponseWriter, r *http.Request, offset int, data string) bool {
	middle := offset > 0
	switch {
	case middle && e.Faults.Inject(Truncate):
		closeConnection(w)
		return false
	case middle && e.Faults.Inject(Stall):
		<-r.Context().Done()
		return false
	case middle && e.Faults.Inject(Skip):
		return true
	}
	_, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", offset, data)
	if e.Faults.Inject(Duplicate) {
		_, err = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", offset, data)
	}
	return err == nil
}
