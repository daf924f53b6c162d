package stand

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// output is one stream of an engine, kept so that it can be resumed.
type output struct {
	id   string
	chat bool
	mu   sync.Mutex
	// events is the data of all events so far.
	events []string
	ended  bool
	// changed is closed and replaced at each new event.
	changed chan struct{}
	// readers counts connections, and alone is since when there is none.
	readers int
	alone   time.Time
	// gone is closed when the stream is cancelled.
	gone   chan struct{}
	cancel sync.Once
}

func newOutput(id string, chat bool) *output {
	return &output{
		id:      id,
		chat:    chat,
		changed: make(chan struct{}),
		alone:   time.Now(),
		gone:    make(chan struct{}),
	}
}

// choice is the only choice of an event.
type choice struct {
	Index  int     `json:"index"`
	Text   string  `json:"text,omitempty"`
	Delta  *delta  `json:"delta,omitempty"`
	Finish *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content,omitempty"`
}

// body is the data of an event.
type body struct {
	ID      string         `json:"id"`
	Choices []choice       `json:"choices"`
	Usage   map[string]any `json:"usage,omitempty"`
}

// add appends an event with one word.
func (o *output) add(text string) {
	c := choice{
		Text: text,
	}
	if o.chat {
		c = choice{
			Delta: &delta{
				Content: text,
			},
		}
	}
	o.append(body{
		Choices: []choice{c},
	}, false)
}

// end appends the last events.
func (o *output) end(prompt, cached, generated int) {
	stop := "stop"
	c := choice{
		Finish: &stop,
	}
	if o.chat {
		c.Delta = &delta{}
	}
	o.append(body{
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

func (o *output) append(b body, last bool) {
	b.ID = "cmpl-" + o.id
	data, err := json.Marshal(b)
	if err != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.events = append(o.events, string(data))
	if last {
		o.events = append(o.events, "[DONE]")
		o.ended = true
	}
	close(o.changed)
	o.changed = make(chan struct{})
}

// from returns the events from offset on, whether they are all, and what
// signals more.
func (o *output) from(offset int) ([]string, bool, chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.events[min(offset, len(o.events)):], o.ended, o.changed
}

// read counts a connection that reads, or that ended.
func (o *output) read(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.readers += n
	o.alone = time.Now()
}

// abandoned tells whether nobody wants the stream any more.
func (o *output) abandoned() bool {
	select {
	case <-o.gone:
		return true
	default:
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.readers == 0 && time.Since(o.alone) > orphanLimit
}

func (e *Engine) find(r *http.Request) *output {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[r.PathValue("id")]
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	out := e.find(r)
	if out == nil {
		http.Error(w, "no such stream", http.StatusGone)
		return
	}
	last, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if err != nil {
		last = -1
	}
	e.send(w, r, out, last+1)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	if out := e.find(r); out != nil {
		out.cancel.Do(func() { close(out.gone) })
		e.cancelled.Add(1)
	}
	w.WriteHeader(http.StatusNoContent)
}

// send writes out from offset on, with the faults that were asked for.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, out *output, offset int) {
	out.read(1)
	defer out.read(-1)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", out.id)
	if e.Faults.Take(Cross) {
		w.Header().Set("X-Request-Id", "another")
	}
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	for {
		events, ended, more := out.from(offset)
		for _, data := range events {
			if !e.sendOne(w, r, offset, data) {
				return
			}
			offset++
		}
		if err := flush.Flush(); err != nil || ended {
			return
		}
		select {
		case <-more:
		case <-out.gone:
			hangUp(w)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// sendOne writes one event, or returns false where the connection ends.
func (e *Engine) sendOne(w http.ResponseWriter, r *http.Request, offset int, data string) bool {
	middle := offset > 0
	switch {
	case middle && e.Faults.Take(Cut):
		hangUp(w)
		return false
	case middle && e.Faults.Take(Mute):
		<-r.Context().Done()
		return false
	case middle && e.Faults.Take(Skip):
		return true
	}
	_, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", offset, data)
	if e.Faults.Take(Double) {
		_, err = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", offset, data)
	}
	return err == nil
}
