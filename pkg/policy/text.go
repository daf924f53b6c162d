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

// Problem is a mistake in the text of a policy document or a settings file.
type Problem struct {
	// Policy is the name of the policy; empty for the text as a whole.
	Policy string `json:"policy"`
	// Line is the line number in the text, from 1; 0 if unknown.
	Line int `json:"line"`
	// Remedy says what is wrong and how to correct it.
	Remedy string `json:"remedy"`
}

// Error returns the problem as a single line.
func (p Problem) Error() string {
	return fmt.Sprintf("line %d: policy %q: %s", p.Line, p.Policy, p.Remedy)
}

// source is the TOML representation of a policy. The decoder puts the name of the
// type into its error messages, which operators see: renaming it changes them.
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

// sources is the TOML representation of a policy document.
type sources struct {
	Policy []source `toml:"policy"`
}

var policyKeys = []string{"name", "cover", "serve", "rank", "target", "within", "floor", "weight", "limit"}

// Decode parses a document. Invalid policies are left out, since there is no earlier
// document from which they could be kept.
func Decode(version int64, change, author, text string) (Document, []Problem) {
	return Document{}.WithText(version, change, author, text)
}

// WithText returns the document that follows d when text replaces its policies. For
// an invalid policy, the policy of that name in d stays in effect. The problems say
// which policies are invalid and why.
func (d Document) WithText(version int64, change, author, text string) (Document, []Problem) {
	sections, problems := splitPolicies(text)
	next := Document{
		Version:  version,
		Change:   change,
		Author:   author,
		texts:    map[string]string{},
		rejected: map[string]string{},
	}
	for _, c := range sections {
		p, ownProblems := parsePolicy(c)
		if len(ownProblems) == 0 && next.texts[p.Name] != "" {
			ownProblems = []Problem{
				{
					Policy: p.Name,
					Line:   c.line,
					Remedy: "the name is taken: rename one of the two policies",
				},
			}
			problems = append(problems, ownProblems...)
			continue
		}
		if len(ownProblems) > 0 {
			problems = append(problems, ownProblems...)
			name := c.name()
			next.rejected[name] = ownProblems[0].Remedy
			previous, ok := d.Find(name)
			if !ok {
				continue
			}
			p = previous
			c.text = d.texts[name]
		}
		next.policies = append(next.policies, p)
		next.texts[p.Name] = c.text
	}
	return next, problems
}

// Text returns the source text of all effective policies. Decode returns the same
// policies for it.
func (d Document) Text() string {
	var b strings.Builder
	for _, p := range d.policies {
		b.WriteString(strings.TrimSpace(d.texts[p.Name]))
		b.WriteString("\n\n")
	}
	return b.String()
}

// Compare returns the sorted differences between d and next, one line for each
// policy that is added, changed or removed.
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

// section is the part of a document's text that defines one policy.
type section struct {
	text string
	// line is the number of its first line in the document.
	line int
}

// policyHeader is the TOML table header that starts each policy.
const policyHeader = "[[policy]]"

// splitPolicies splits text at the policy headers, so that a syntax error in one
// policy does not affect the others.
func splitPolicies(text string) ([]section, []Problem) {
	var sections []section
	var problems []Problem
	for i, line := range strings.SplitAfter(text, "\n") {
		word := strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(word, policyHeader):
			sections = append(sections, section{
				text: line,
				line: i + 1,
			})
		case len(sections) > 0:
			sections[len(sections)-1].text += line
		case word != "" && !strings.HasPrefix(word, "#"):
			problems = append(problems, Problem{
				Line:   i + 1,
				Remedy: "start each policy with " + policyHeader,
			})
		}
	}
	return sections, problems
}

// name returns the name of the policy without parsing the section, so that it is
// known even if the section has syntax errors.
func (c section) name() string {
	for _, line := range strings.Split(c.text, "\n") {
		key, value, ok := strings.Cut(line, "=")
		if ok && strings.TrimSpace(key) == "name" {
			return strings.Trim(strings.TrimSpace(value), `"'`)
		}
	}
	return ""
}

// lineOf returns the number of the document's line that sets key, or of the first
// line of the section.
func (c section) lineOf(key string) int {
	for i, line := range strings.Split(c.text, "\n") {
		k, _, ok := strings.Cut(line, "=")
		if ok && strings.TrimSpace(k) == key {
			return c.line + i
		}
	}
	return c.line
}

// parsePolicy returns the policy that c defines, or the problems of c.
func parsePolicy(c section) (Policy, []Problem) {
	var src sources
	dec := toml.NewDecoder(strings.NewReader(c.text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&src); err != nil {
		return Policy{}, c.syntaxProblems(err)
	}
	if len(src.Policy) != 1 {
		return Policy{}, []Problem{c.problem("name", "write one policy under each "+policyHeader)}
	}
	return c.validate(src.Policy[0])
}

// syntaxProblems converts an error of the TOML decoder to problems whose lines refer
// to the whole document.
func (c section) syntaxProblems(err error) []Problem {
	out := DecodeProblems(err, policyKeys)
	for i := range out {
		out[i].Policy = c.name()
		out[i].Line = c.line + max(out[i].Line, 1) - 1
	}
	return out
}

// DecodeProblems converts an error of the TOML decoder to problems with line numbers. For an
// unknown key, the problem suggests the most similar one of the known keys.
func DecodeProblems(err error, known []string) []Problem {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var out []Problem
		for i := range strict.Errors {
			row, _ := strict.Errors[i].Position()
			key := strict.Errors[i].Key()
			leaf := key[len(key)-1]
			out = append(out, Problem{
				Line:   row,
				Remedy: fmt.Sprintf("unknown key %q: did you mean %q?", leaf, Nearest(leaf, known)),
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

// problem returns a problem at the line that sets key.
func (c section) problem(key, remedy string) Problem {
	return Problem{
		Policy: c.name(),
		Line:   c.lineOf(key),
		Remedy: remedy,
	}
}

// validate converts src to a policy and returns all its problems at once.
func (c section) validate(src source) (Policy, []Problem) {
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
	target, err := parseDuration(src.Target)
	add(err == nil && target >= 0, "target", "write the target as a duration such as \"900ms\"")
	rank, ok := parseRank(src.Rank)
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
		Percentile: orDefault(src.Within, 95),
		Floor:      src.Floor,
		Weight:     orDefault(src.Weight, 1),
		Limit:      src.Limit,
	}, out
}

func parseDuration(s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	return time.ParseDuration(s)
}

func orDefault(v, fallback float64) float64 {
	if v == 0 {
		return fallback
	}
	return v
}

func parseRank(s string) (Rank, bool) {
	switch s {
	case "urgent":
		return Urgent, true
	case "normal", "":
		return Normal, true
	}
	return Normal, false
}

// Nearest returns the known word with the smallest edit distance to word.
func Nearest(word string, known []string) string {
	best, least := "", 1<<30
	for _, k := range known {
		if d := levenshtein.ComputeDistance(word, k); d < least {
			best, least = k, d
		}
	}
	return best
}
