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

// acceptedVersionKey is the context key of the configuration version that was the
// last accepted one when a request was sent.
type acceptedVersionKey struct{}

type secretAsTeam struct{}

// Find uses the secret as the team's name.
func (secretAsTeam) Find(secret string) (filter.Caller, bool) {
	return filter.Caller{
		Team:   secret,
		Labels: label.Of("org", "mill"),
	}, secret != ""
}

type discardMeter struct{}

// Outcome counts nothing.
func (discardMeter) Outcome(chain.Request, chain.Result, string) {}

// responseRecorder collects a response.
type responseRecorder struct {
	begun  int
	ended  bool
	text   string
	data   string
	resume chain.Resume
}

// Begin counts the response heads.
func (g *responseRecorder) Begin(chain.Head) error {
	g.begun++
	return nil
}

// Write appends a chunk to the response.
func (g *responseRecorder) Write(c chain.Chunk) error {
	g.text += c.Text
	g.data += string(c.Data)
	g.ended = c.End
	if c.Next.Active() {
		g.resume = c.Next
	}
	return nil
}

// chat sends a prompt to instance i and checks the response.
func (sim *simulation) chat(i, prompt int, team string) {
	s := sim.slots[i%instances].live.Load()
	if s == nil {
		return
	}
	sim.mu.Lock()
	ctx := context.WithValue(s.ctx, acceptedVersionKey{}, sim.accepted)
	sim.mu.Unlock()
	handler := s.core.Handler
	r := chain.Request{
		ID:         sim.newID(),
		Kind:       chain.Chat,
		Secret:     team,
		Model:      "small",
		Prompt:     promptOf(prompt),
		Tokens:     len(promptOf(prompt)) / 4,
		Output:     responseLength,
		Idempotent: true,
		Arrived:    time.Now(),
	}
	sim.calls.Go(func() {
		g := &responseRecorder{}
		_, err := handler.Handle(ctx, r, g)
		if ctx.Err() != nil {
			sim.count("chat cut by a kill")
			sim.resume(r, g)
			return
		}
		sim.checkChat(r, g, err)
	})
}

// resume resumes a stream through another instance after its own was killed.
func (sim *simulation) resume(r chain.Request, g *responseRecorder) {
	if !g.resume.Active() || g.ended {
		return
	}
	for _, other := range sim.slots {
		s := other.live.Load()
		if s == nil {
			continue
		}
		r.ID = sim.newID()
		r.Resume = g.resume
		more := &responseRecorder{}
		_, err := s.core.Handler.Handle(s.ctx, r, more)
		if err != nil || s.ctx.Err() != nil {
			sim.count("resume refused " + fmt.Sprint(err, s.ctx.Err()))
			return
		}
		g.text += more.text
		g.ended = more.ended
		sim.count("stream resumed through another instance")
		sim.checkChat(r, g, nil)
		return
	}
}

func (sim *simulation) checkChat(r chain.Request, g *responseRecorder, err error) {
	want := expectedText(string(r.Prompt), 0, responseLength)
	switch {
	case err == nil && (!g.ended || g.text != want):
		sim.report("order: %s got %q, ended %t, of %q", r.ID, g.text, g.ended, want)
	case err == nil:
		sim.count("chat answered")
	default:
		sim.checkRefusal(r, err)
	}
}

// checkRefusal checks that a request that was refused as not run did not run.
func (sim *simulation) checkRefusal(r chain.Request, err error) {
	f := fault.From(err)
	sim.count("refused " + f.Kind.String() + " " + f.Run.String())
	if f.Kind == fault.Internal {
		sim.report("internal fault: %v", err)
	}
	if f.Run != fault.NotRun {
		return
	}
	for _, n := range sim.endpoints {
		if n.ranRequest(r.ID) {
			sim.report("truth: %s was refused as not run (%v) and ran at %s", r.ID, err, n.name)
		}
	}
}

// charge sends a charge, with retries through other instances.
func (sim *simulation) charge(first int, key string, tries int) {
	sim.calls.Go(func() {
		for n := range tries {
			s := sim.slots[(first+n)%instances].live.Load()
			if s == nil {
				continue
			}
			r := chain.Request{
				ID:      sim.newID(),
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
			g := &responseRecorder{}
			_, err := s.core.Handler.Handle(s.ctx, r, g)
			if s.ctx.Err() != nil {
				sim.count("charge cut by a kill")
			} else if sim.checkCharge(r, g, err) || key == "" {
				return
			}
			time.Sleep(200 * time.Millisecond)
		}
	})
}

// checkCharge checks the response to a charge and reports whether it succeeded.
func (sim *simulation) checkCharge(r chain.Request, g *responseRecorder, err error) bool {
	if err != nil {
		if r.Key == "" {
			sim.checkRefusal(r, err)
		} else {
			sim.count("charge refused " + fault.From(err).Kind.String())
		}
		return false
	}
	if want := string(r.Body); g.data != want {
		sim.report("match: charge %s got the response to %q", want, g.data)
	}
	sim.count("charge answered")
	return true
}

// apply applies a configuration change through instance i.
func (sim *simulation) apply(i, base int, id string) {
	s := sim.slots[i%instances].live.Load()
	if s == nil {
		return
	}
	sim.calls.Go(func() {
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
		sim.count("apply " + res.GetState())
		sim.mu.Lock()
		defer sim.mu.Unlock()
		switch res.GetState() {
		case "accepted":
			if by, ok := sim.versions[res.GetVersion()]; ok && by != id {
				sim.violations = append(sim.violations, fmt.Sprintf("norevert: version %d accepted for %s and for %s", res.GetVersion(), by, id))
			}
			sim.versions[res.GetVersion()] = id
			sim.accepted = max(sim.accepted, res.GetVersion())
		case "refused":
			if sim.table.hasChange(id) {
				sim.violations = append(sim.violations, "truth: change "+id+" was refused and made")
			}
		}
	})
}
