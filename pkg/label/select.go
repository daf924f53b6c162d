package label

import (
	"fmt"
	"slices"
	"strings"
)

// maxSelectorBytes is the maximum length of a selector that Parse accepts.
const maxSelectorBytes = 4096

// operator is the comparison that a term makes.
type operator uint8

const (
	// opPresent matches sets that contain the key.
	opPresent operator = iota
	// opAbsent matches sets that don't contain the key.
	opAbsent
	// opIn matches sets in which the key has one of the values.
	opIn
	// opNotIn matches sets that don't contain the key or in which it has none of the
	// values.
	opNotIn
)

// Selector matches label sets by a list of terms. The zero value matches every set.
type Selector struct {
	// terms must all match.
	terms []term
	// text is the source text of the selector.
	text string
}

type term struct {
	op     operator
	key    string
	values []string
}

// SyntaxError describes a selector that can't be parsed.
type SyntaxError struct {
	// Text is the source text of the selector.
	Text string
	// Offset is the byte offset in Text at which parsing failed.
	Offset int
	// Remedy says how to correct the selector.
	Remedy string
}

// Error returns the selector, the offset and the remedy.
func (e SyntaxError) Error() string {
	return fmt.Sprintf("selector %q at byte %d: %s", e.Text, e.Offset, e.Remedy)
}

// Is returns a selector that matches sets in which key has value. Unlike with
// Parse, value may be any text.
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

// Parse parses a selector. The empty selector matches every set.
func Parse(text string) (Selector, error) {
	if len(text) > maxSelectorBytes {
		return Selector{}, SyntaxError{
			Text:   text[:32] + "…",
			Offset: maxSelectorBytes,
			Remedy: fmt.Sprintf("write at most %d bytes", maxSelectorBytes),
		}
	}
	p := parser{
		text: text,
	}
	terms, err := p.parseTerms()
	if err != nil {
		return Selector{}, err
	}
	return Selector{
		terms: terms,
		text:  text,
	}, nil
}

// Matches reports whether every term matches s.
func (sel Selector) Matches(s Set) bool {
	for _, t := range sel.terms {
		if !t.matches(s) {
			return false
		}
	}
	return true
}

// String returns the source text of the selector.
func (sel Selector) String() string { return sel.text }

func (t term) matches(s Set) bool {
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

// parser is a recursive descent parser for selectors.
type parser struct {
	text string
	// pos is the byte offset of the next unread byte in text.
	pos int
}

func (p *parser) parseTerms() ([]term, error) {
	p.skipSpace()
	if p.pos == len(p.text) {
		return nil, nil
	}
	var terms []term
	for {
		t, err := p.parseTerm()
		if err != nil {
			return nil, err
		}
		terms = append(terms, t)
		p.skipSpace()
		if p.pos == len(p.text) {
			return terms, nil
		}
		if !p.accept(",") {
			return nil, p.syntaxError("put a comma between two terms")
		}
		p.skipSpace()
	}
}

func (p *parser) parseTerm() (term, error) {
	if p.accept("!") {
		key, err := p.parseIdentifier("a key after !")
		return term{
			op:  opAbsent,
			key: key,
		}, err
	}
	key, err := p.parseIdentifier("a key such as team")
	if err != nil {
		return term{}, err
	}
	p.skipSpace()
	switch {
	case p.accept("!="):
		return p.parseValue(opNotIn, key)
	case p.accept("=="), p.accept("="):
		return p.parseValue(opIn, key)
	case p.acceptKeyword("notin"):
		return p.parseValueList(opNotIn, key)
	case p.acceptKeyword("in"):
		return p.parseValueList(opIn, key)
	}
	return term{
		op:  opPresent,
		key: key,
	}, nil
}

func (p *parser) parseValue(op operator, key string) (term, error) {
	p.skipSpace()
	value, err := p.parseIdentifier("a value after " + key)
	return term{
		op:     op,
		key:    key,
		values: []string{value},
	}, err
}

func (p *parser) parseValueList(op operator, key string) (term, error) {
	p.skipSpace()
	if !p.accept("(") {
		return term{}, p.syntaxError("write the values as (a,b)")
	}
	t := term{
		op:  op,
		key: key,
	}
	for {
		p.skipSpace()
		value, err := p.parseIdentifier("a value in the list")
		if err != nil {
			return term{}, err
		}
		t.values = append(t.values, value)
		p.skipSpace()
		if p.accept(")") {
			return t, nil
		}
		if !p.accept(",") {
			return term{}, p.syntaxError("close the list with )")
		}
	}
}

// parseIdentifier parses a key or a value; expected describes it for the error.
func (p *parser) parseIdentifier(expected string) (string, error) {
	start := p.pos
	for p.pos < len(p.text) && isIdentifierByte(p.text[p.pos]) {
		p.pos++
	}
	if p.pos == start {
		return "", p.syntaxError("write " + expected + " of letters, digits, and . _ - /")
	}
	return p.text[start:p.pos], nil
}

func (p *parser) skipSpace() {
	for p.pos < len(p.text) && (p.text[p.pos] == ' ' || p.text[p.pos] == '\t') {
		p.pos++
	}
}

// accept consumes s if the remaining text starts with it.
func (p *parser) accept(s string) bool {
	if strings.HasPrefix(p.text[p.pos:], s) {
		p.pos += len(s)
		return true
	}
	return false
}

// acceptKeyword consumes s unless it is only the start of a longer identifier.
func (p *parser) acceptKeyword(s string) bool {
	end := p.pos + len(s)
	if end < len(p.text) && isIdentifierByte(p.text[end]) {
		return false
	}
	return p.accept(s)
}

func (p *parser) syntaxError(remedy string) error {
	return SyntaxError{
		Text:   p.text,
		Offset: p.pos,
		Remedy: remedy,
	}
}

func isIdentifierByte(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	}
	return b == '.' || b == '_' || b == '-' || b == '/'
}
