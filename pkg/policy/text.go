package policy

import (
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/agnivade/levenshtein"
	"github.com/pelletier/go-toml/v2"

	"github.com/baobabtally/baobabtally/pkg/label"
)

// Problem is one mistake in the text of policies.
type Problem struct {
	// Policy is the name of the policy, or empty for the text as a whole.
	Policy string `json:"policy"`
	// Line is the line of the text, from 1; 0 where it is not known.
	Line int `json:"line"`
	// Remedy says what is wrong and what to write.
	Remedy string `json:"remedy"`
}

// Error returns the problem on one line.
func (p Problem) Error() string {
	return fmt.Sprintf("line %d: policy %q: %s", p.Line, p.Policy, p.Remedy)
}

// source is a policy as operators write it.
type source struct {
	Name   string  `toml:"name"`
	Cover  string  `toml:"cover"`
	Serve  string  `toml:"serve"`
	Rank   string  `toml:"rank"`
	Target string  `toml:"target"`
	Within float64 `toml:"within"`
	Floor  float64 `toml:"floor"`
	Weight float64 `toml:"weight"`
	Limit  float64 `toml:"limit"`
}

// sources is a text of policies.
type sources struct {
	Policy []source `toml:"policy"`
}

var sourceKeys = []string{"name", "cover", "serve", "rank", "target", "within", "floor", "weight", "limit"}

// Decode reads a document from its text without an earlier one to fall back on.
func Decode(version int64, change, author, text string) (Document, []Problem) {
	return Document{}.WithText(version, change, author, text)
}

// WithText returns the document that follows d when text replaces its
// policies. A policy that can't be read keeps its last good source; the
// problems say which ones and why.
func (d Document) WithText(version int64, change, author, text string) (Document, []Problem) {
	chunks, problems := split(text)
	next := Document{
		Version: version,
		Change:  change,
		Author:  author,
		texts:   map[string]string{},
		faults:  map[string]string{},
	}
	for _, c := range chunks {
		p, found := parse(c)
		if len(found) == 0 && next.texts[p.Name] != "" {
			found = []Problem{
				{
					Policy: p.Name,
					Line:   c.line,
					Remedy: "the name is taken: rename one of the two policies",
				},
			}
			problems = append(problems, found...)
			continue
		}
		if len(found) > 0 {
			problems = append(problems, found...)
			name := c.name()
			next.faults[name] = found[0].Remedy
			last, ok := d.Find(name)
			if !ok {
				continue
			}
			p = last
			c.text = d.texts[name]
		}
		next.policies = append(next.policies, p)
		next.texts[p.Name] = c.text
	}
	return next, problems
}

// Text returns the source of all policies in force, from which Decode gives
// the same policies again.
func (d Document) Text() string {
	var b strings.Builder
	for _, p := range d.policies {
		b.WriteString(strings.TrimSpace(d.texts[p.Name]))
		b.WriteString("\n\n")
	}
	return b.String()
}

// Compare returns what a change from d to next alters, a line each.
func (d Document) Compare(next Document) []string {
	var out []string
	for _, p := range next.policies {
		switch _, ok := d.Find(p.Name); {
		case !ok:
			out = append(out, "add "+p.Name)
		case strings.TrimSpace(d.texts[p.Name]) != strings.TrimSpace(next.texts[p.Name]):
			out = append(out, "change "+p.Name)
		}
	}
	for _, p := range d.policies {
		if _, ok := next.Find(p.Name); !ok {
			out = append(out, "remove "+p.Name)
		}
	}
	sort.Strings(out)
	return out
}

// chunk is the text of one policy.
type chunk struct {
	text string
	line int
}

const header = "[[policy]]"

// split cuts text at the headers, so that one unreadable policy stays alone.
func split(text string) ([]chunk, []Problem) {
	var chunks []chunk
	var problems []Problem
	for i, line := range strings.SplitAfter(text, "\n") {
		word := strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(word, header):
			chunks = append(chunks, chunk{
				text: line,
				line: i + 1,
			})
		case len(chunks) > 0:
			chunks[len(chunks)-1].text += line
		case word != "" && !strings.HasPrefix(word, "#"):
			problems = append(problems, Problem{
				Line:   i + 1,
				Remedy: "start each policy with " + header,
			})
		}
	}
	return chunks, problems
}

// name finds the policy's name even where the rest can't be read.
func (c chunk) name() string {
	for _, line := range strings.Split(c.text, "\n") {
		key, value, ok := strings.Cut(line, "=")
		if ok && strings.TrimSpace(key) == "name" {
			return strings.Trim(strings.TrimSpace(value), `"'`)
		}
	}
	return ""
}

// lineOf returns the line of the text at which key is set.
func (c chunk) lineOf(key string) int {
	for i, line := range strings.Split(c.text, "\n") {
		k, _, ok := strings.Cut(line, "=")
		if ok && strings.TrimSpace(k) == key {
			return c.line + i
		}
	}
	return c.line
}

func parse(c chunk) (Policy, []Problem) {
	var src sources
	dec := toml.NewDecoder(strings.NewReader(c.text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&src); err != nil {
		return Policy{}, c.syntax(err)
	}
	if len(src.Policy) != 1 {
		return Policy{}, []Problem{c.problem("name", "write one policy under each "+header)}
	}
	return c.check(src.Policy[0])
}

// syntax turns a decoder's error into problems with the text's own lines.
func (c chunk) syntax(err error) []Problem {
	out := Syntax(err, sourceKeys)
	for i := range out {
		out[i].Policy = c.name()
		out[i].Line = c.line + max(out[i].Line, 1) - 1
	}
	return out
}

// Syntax turns an error of the TOML decoder into problems, each with its line.
// An unknown key is told with the nearest of those that are known.
func Syntax(err error, known []string) []Problem {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var out []Problem
		for i := range strict.Errors {
			row, _ := strict.Errors[i].Position()
			key := strict.Errors[i].Key()
			last := key[len(key)-1]
			out = append(out, Problem{
				Line:   row,
				Remedy: fmt.Sprintf("unknown key %q: did you mean %q?", last, Nearest(last, known)),
			})
		}
		return out
	}
	line := 0
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ = decode.Position()
	}
	return []Problem{
		{
			Line:   line,
			Remedy: strings.TrimPrefix(err.Error(), "toml: ") + ": write it as TOML",
		},
	}
}

func (c chunk) problem(key, remedy string) Problem {
	return Problem{
		Policy: c.name(),
		Line:   c.lineOf(key),
		Remedy: remedy,
	}
}

// check returns the policy of src and all its problems at once.
func (c chunk) check(src source) (Policy, []Problem) {
	var out []Problem
	add := func(ok bool, key, remedy string) {
		if !ok {
			out = append(out, c.problem(key, remedy))
		}
	}
	cover, err := label.Parse(src.Cover)
	add(err == nil, "cover", fmt.Sprint(err))
	serve, err := label.Parse(src.Serve)
	add(err == nil, "serve", fmt.Sprint(err))
	target, err := duration(src.Target)
	add(err == nil && target >= 0, "target", "write the target as a duration such as \"900ms\"")
	rank, ok := rankOf(src.Rank)
	add(ok, "rank", "write rank = \"urgent\" or \"normal\"")
	add(src.Name != "", "name", "give the policy a name")
	add(src.Floor >= 0 && src.Floor <= 0.9, "floor", "write a floor from 0 to 0.9")
	add(src.Weight >= 0, "weight", "write a weight above 0")
	add(src.Limit >= 0, "limit", "write a limit in tokens a second, or 0 for none")
	add(src.Within >= 0 && src.Within < 100, "within", "write the percentile as 95 for 95 in 100")
	return Policy{
		Name:       src.Name,
		Cover:      cover,
		Endpoints:  serve,
		Rank:       rank,
		Target:     target,
		Percentile: orElse(src.Within, 95),
		Floor:      src.Floor,
		Weight:     orElse(src.Weight, 1),
		Limit:      src.Limit,
	}, out
}

func duration(s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	return time.ParseDuration(s)
}

func orElse(v, fallback float64) float64 {
	if v == 0 {
		return fallback
	}
	return v
}

func rankOf(s string) (Rank, bool) {
	switch s {
	case "urgent":
		return Urgent, true
	case "normal", "":
		return Normal, true
	}
	return Normal, false
}

// Nearest returns the known word that is closest to word.
func Nearest(word string, known []string) string {
	best, least := "", 1<<30
	for _, k := range known {
		if d := levenshtein.ComputeDistance(word, k); d < least {
			best, least = k, d
		}
	}
	return best
}
