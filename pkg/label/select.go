package label

import (
	"fmt"
	"slices"
	"strings"
)

// maxSelector is the longest selector, in bytes, that Parse takes.
const maxSelector = 4096

// operator is the test that a term makes.
type operator uint8

const (
	// opPresent holds where the key is present.
	opPresent operator = iota
	// opAbsent holds where the key is absent.
	opAbsent
	// opIn holds where the key has one of the values.
	opIn
	// opNotIn holds where the key is absent or has none of the values.
	opNotIn
)

// Selector is a list of terms that must all hold. The zero value matches every set.
type Selector struct {
	// terms must all hold.
	terms []term
	// text is the selector as it was written.
	text string
}

type term struct {
	op     operator
	key    string
	values []string
}

// SyntaxError tells where a selector can't be read and how to write it.
type SyntaxError struct {
	// Text is the selector.
	Text string
	// Offset is the byte of Text at which reading stopped.
	Offset int
	// Remedy says what to write.
	Remedy string
}

// Error returns the place and the remedy.
func (e SyntaxError) Error() string {
	return fmt.Sprintf("selector %q at byte %d: %s", e.Text, e.Offset, e.Remedy)
}

// Is returns the selector of sets in which key has value.
func Is(key, value string) Selector {
	return Selector{
		terms: []term{
			{
				op:     opIn,
				key:    key,
				values: []string{value},
			},
		},
		text: key + "=" + value,
	}
}

// Parse reads a selector. The empty selector matches every set.
func Parse(text string) (Selector, error) {
	if len(text) > maxSelector {
		return Selector{}, SyntaxError{
			Text:   text[:32] + "…",
			Offset: maxSelector,
			Remedy: fmt.Sprintf("write at most %d bytes", maxSelector),
		}
	}
	p := parser{
		text: text,
	}
	terms, err := p.terms()
	if err != nil {
		return Selector{}, err
	}
	return Selector{
		terms: terms,
		text:  text,
	}, nil
}

// Matches tells whether every term holds for s.
func (sel Selector) Matches(s Set) bool {
	for _, t := range sel.terms {
		if !t.holds(s) {
			return false
		}
	}
	return true
}

// String returns the selector as it was written.
func (sel Selector) String() string { return sel.text }

func (t term) holds(s Set) bool {
	value, ok := s.Get(t.key)
	switch t.op {
	case opPresent:
		return ok
	case opAbsent:
		return !ok
	case opIn:
		return ok && slices.Contains(t.values, value)
	default:
		return !ok || !slices.Contains(t.values, value)
	}
}

// parser reads a selector from left to right.
type parser struct {
	text string
	at   int
}

func (p *parser) terms() ([]term, error) {
	p.space()
	if p.at == len(p.text) {
		return nil, nil
	}
	var terms []term
	for {
		t, err := p.term()
		if err != nil {
			return nil, err
		}
		terms = append(terms, t)
		p.space()
		if p.at == len(p.text) {
			return terms, nil
		}
		if !p.take(",") {
			return nil, p.fail("put a comma between two terms")
		}
		p.space()
	}
}

func (p *parser) term() (term, error) {
	if p.take("!") {
		key, err := p.word("a key after !")
		return term{
			op:  opAbsent,
			key: key,
		}, err
	}
	key, err := p.word("a key such as team")
	if err != nil {
		return term{}, err
	}
	p.space()
	switch {
	case p.take("!="):
		return p.single(opNotIn, key)
	case p.take("=="), p.take("="):
		return p.single(opIn, key)
	case p.takeWord("notin"):
		return p.list(opNotIn, key)
	case p.takeWord("in"):
		return p.list(opIn, key)
	}
	return term{
		op:  opPresent,
		key: key,
	}, nil
}

func (p *parser) single(op operator, key string) (term, error) {
	p.space()
	value, err := p.word("a value after " + key)
	return term{
		op:     op,
		key:    key,
		values: []string{value},
	}, err
}

func (p *parser) list(op operator, key string) (term, error) {
	p.space()
	if !p.take("(") {
		return term{}, p.fail("write the values as (a,b)")
	}
	t := term{
		op:  op,
		key: key,
	}
	for {
		p.space()
		value, err := p.word("a value in the list")
		if err != nil {
			return term{}, err
		}
		t.values = append(t.values, value)
		p.space()
		if p.take(")") {
			return t, nil
		}
		if !p.take(",") {
			return term{}, p.fail("close the list with )")
		}
	}
}

func (p *parser) word(want string) (string, error) {
	start := p.at
	for p.at < len(p.text) && isWord(p.text[p.at]) {
		p.at++
	}
	if p.at == start {
		return "", p.fail("write " + want + " of letters, digits, and . _ - /")
	}
	return p.text[start:p.at], nil
}

func (p *parser) space() {
	for p.at < len(p.text) && (p.text[p.at] == ' ' || p.text[p.at] == '\t') {
		p.at++
	}
}

func (p *parser) take(s string) bool {
	if strings.HasPrefix(p.text[p.at:], s) {
		p.at += len(s)
		return true
	}
	return false
}

// takeWord takes s only where it is not the start of a longer word.
func (p *parser) takeWord(s string) bool {
	end := p.at + len(s)
	if end < len(p.text) && isWord(p.text[end]) {
		return false
	}
	return p.take(s)
}

func (p *parser) fail(remedy string) error {
	return SyntaxError{
		Text:   p.text,
		Offset: p.at,
		Remedy: remedy,
	}
}

func isWord(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	}
	return b == '.' || b == '_' || b == '-' || b == '/'
}
