package proof

import (
	"context"
	"fmt"
	"time"

	"github.com/baobabtally/baobabtally/internal/filter"
	"github.com/baobabtally/baobabtally/internal/rpcapi"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/label"
)

// floorKey carries the accepted version when a call was made.
type floorKey struct{}

type directory struct{}

// Find takes the secret as the team's name.
func (directory) Find(secret string) (filter.Caller, bool) {
	return filter.Caller{
		Team:   secret,
		Labels: label.Of("org", "mill"),
	}, secret != ""
}

type meter struct{}

// Outcome counts nothing.
func (meter) Outcome(chain.Request, chain.Result, string) {}

// gather keeps an answer and checks that it is written as it should be.
type gather struct {
	begun  int
	ended  bool
	text   string
	data   string
	resume chain.Resume
}

// Begin counts the begin.
func (g *gather) Begin(chain.Head) error {
	g.begun++
	return nil
}

// Write appends the chunk.
func (g *gather) Write(c chain.Chunk) error {
	g.text += c.Text
	g.data += string(c.Data)
	g.ended = c.End
	if c.Next.Active() {
		g.resume = c.Next
	}
	return nil
}

// chat has instance i answer a prompt, and checks the answer.
func (w *world) chat(i, prompt int, team string) {
	s := w.slots[i%instances].live.Load()
	if s == nil {
		return
	}
	w.mu.Lock()
	ctx := context.WithValue(s.ctx, floorKey{}, w.accepted)
	w.mu.Unlock()
	handler := s.core.Handler
	r := chain.Request{
		ID:         w.newID(),
		Kind:       chain.Chat,
		Secret:     team,
		Model:      "small",
		Prompt:     promptOf(prompt),
		Tokens:     len(promptOf(prompt)) / 4,
		Output:     answerLength,
		Idempotent: true,
		Arrived:    time.Now(),
	}
	w.calls.Go(func() {
		g := &gather{}
		_, err := handler.Handle(ctx, r, g)
		if ctx.Err() != nil {
			w.count("chat cut by a kill")
			w.resume(r, g)
			return
		}
		w.judgeChat(r, g, err)
	})
}

// resume goes on with a stream through another instance after a kill.
func (w *world) resume(r chain.Request, g *gather) {
	if !g.resume.Active() || g.ended {
		return
	}
	for _, other := range w.slots {
		s := other.live.Load()
		if s == nil {
			continue
		}
		r.ID = w.newID()
		r.Resume = g.resume
		more := &gather{}
		_, err := s.core.Handler.Handle(s.ctx, r, more)
		if err != nil || s.ctx.Err() != nil {
			w.count("resume refused " + fmt.Sprint(err, s.ctx.Err()))
			return
		}
		g.text += more.text
		g.ended = more.ended
		w.count("stream resumed through another instance")
		w.judgeChat(r, g, nil)
		return
	}
}

func (w *world) judgeChat(r chain.Request, g *gather, err error) {
	want := textOf(string(r.Prompt), 0, answerLength)
	switch {
	case err == nil && (!g.ended || g.text != want):
		w.breach("order: %s got %q, ended %t, of %q", r.ID, g.text, g.ended, want)
	case err == nil:
		w.count("chat answered")
	default:
		w.refused(r, err)
	}
}

// refused checks that a refusal that says "not run" is true.
func (w *world) refused(r chain.Request, err error) {
	f := fault.From(err)
	w.count("refused " + f.Kind.String() + " " + f.Run.String())
	if f.Kind == fault.Internal {
		w.breach("internal fault: %v", err)
	}
	if f.Run != fault.NotRun {
		return
	}
	for _, n := range w.nodes {
		if n.ranRequest(r.ID) {
			w.breach("truth: %s was refused as not run (%v) and ran at %s", r.ID, err, n.name)
		}
	}
}

// charge has a caller post a charge, with retries through other instances.
func (w *world) charge(first int, key string, tries int) {
	w.calls.Go(func() {
		for n := range tries {
			s := w.slots[(first+n)%instances].live.Load()
			if s == nil {
				continue
			}
			r := chain.Request{
				ID:      w.newID(),
				Kind:    chain.Service,
				Secret:  "loom",
				Model:   "billing",
				Method:  "POST",
				Path:    "/charge",
				Body:    []byte(key),
				Key:     key,
				Arrived: time.Now(),
			}
			if key == "" {
				r.Body = []byte(r.ID)
			}
			g := &gather{}
			_, err := s.core.Handler.Handle(s.ctx, r, g)
			if s.ctx.Err() != nil {
				w.count("charge cut by a kill")
			} else if w.judgeCharge(r, g, err) || key == "" {
				return
			}
			time.Sleep(200 * time.Millisecond)
		}
	})
}

// judgeCharge returns whether the caller has its answer.
func (w *world) judgeCharge(r chain.Request, g *gather, err error) bool {
	if err != nil {
		if r.Key == "" {
			w.refused(r, err)
		} else {
			w.count("charge refused " + fault.From(err).Kind.String())
		}
		return false
	}
	if want := string(r.Body); g.data != want {
		w.breach("match: charge %s got the answer to %q", want, g.data)
	}
	w.count("charge answered")
	return true
}

// apply makes a change through instance i.
func (w *world) apply(i, base int, id string) {
	s := w.slots[i%instances].live.Load()
	if s == nil {
		return
	}
	w.calls.Go(func() {
		version := s.core.Loop.View().Config.Document().Version
		res, err := s.core.Admin.Apply(s.ctx, &rpcapi.Change{
			Change: id,
			Author: "ops",
			Text:   policyText(base),
			Base:   version,
		})
		if err != nil || s.ctx.Err() != nil {
			return
		}
		w.count("apply " + res.GetState())
		w.mu.Lock()
		defer w.mu.Unlock()
		switch res.GetState() {
		case "accepted":
			if by, ok := w.versions[res.GetVersion()]; ok && by != id {
				w.breaches = append(w.breaches, fmt.Sprintf("norevert: version %d accepted for %s and for %s", res.GetVersion(), by, id))
			}
			w.versions[res.GetVersion()] = id
			w.accepted = max(w.accepted, res.GetVersion())
		case "refused":
			if w.table.made(id) {
				w.breaches = append(w.breaches, "truth: change "+id+" was refused and made")
			}
		}
	})
}
