// Package jsonpos parses JSON into a tree whose values know their line and column.
package jsonpos

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"
)

// Position is a place in a text. Line and column start at 1, and the column counts
// characters. The zero value stands for no place.
type Position struct {
	Line   int
	Column int
}

// IsZero reports whether the position stands for no place.
func (p Position) IsZero() bool { return p.Line == 0 }

// Kind is the kind of a JSON value.
type Kind int

// Kinds of JSON values.
const (
	Null Kind = iota
	Bool
	Number
	String
	Array
	Object
)

// Value is a JSON value.
type Value struct {
	Kind Kind
	At   Position
	// Text is the content of a string or the literal of a number.
	Text     string
	Bool     bool
	Elements []*Value // of an array
	Members  []Member // of an object, in the order of the text
}

// Member is a member of an object.
type Member struct {
	Name  string
	At    Position // of the name
	Value *Value
}

// SyntaxError is the error of a text that is not valid JSON. It doesn't quote the text,
// which may hold secrets.
type SyntaxError struct {
	At        Position
	Truncated bool // the text ends within a value
}

// Error implements error.
func (e *SyntaxError) Error() string {
	reason := "unexpected character"
	if e.Truncated {
		reason = "unexpected end of the text"
	}
	return fmt.Sprintf("%d:%d: malformed JSON: %s", e.At.Line, e.At.Column, reason)
}

// Parse parses a text that consists of one JSON value. It accepts what json.Unmarshal
// accepts. The error is of type *SyntaxError.
func Parse(text []byte) (*Value, error) {
	var whole json.RawMessage
	if err := json.Unmarshal(text, &whole); err != nil {
		return nil, syntaxError(text, err)
	}
	p := parser{text: text, decoder: json.NewDecoder(bytes.NewReader(text)), cursor: Position{1, 1}}
	p.decoder.UseNumber()
	value, err := p.value()
	if err != nil {
		return nil, syntaxError(text, err)
	}
	return value, nil
}

func syntaxError(text []byte, err error) error {
	// Without an offset, the text ended too early.
	offset, truncated := len(text), true
	if syntax, ok := errors.AsType[*json.SyntaxError](err); ok {
		truncated = strings.HasPrefix(syntax.Error(), "unexpected end")
		if !truncated {
			offset = int(syntax.Offset) - 1 // the offset includes the invalid byte
		}
	}
	p := parser{text: text, cursor: Position{1, 1}}
	p.advance(min(max(offset, 0), len(text)))
	return &SyntaxError{At: p.cursor, Truncated: truncated}
}

// parser reads a text that is known to be valid. The cursor only moves forward, so that
// positions cost time in proportion to the text.
type parser struct {
	text    []byte
	decoder *json.Decoder
	offset  int // of the cursor
	cursor  Position
}

func (p *parser) advance(offset int) {
	for ; p.offset < offset; p.offset++ {
		switch b := p.text[p.offset]; {
		case b == '\n':
			p.cursor = Position{p.cursor.Line + 1, 1}
		case utf8.RuneStart(b):
			p.cursor.Column++
		}
	}
}

// next returns the next token and the position of its first character.
func (p *parser) next() (json.Token, Position, error) {
	start := int(p.decoder.InputOffset())
	for start < len(p.text) && strings.IndexByte(" \t\r\n,:", p.text[start]) >= 0 {
		start++
	}
	p.advance(start)
	token, err := p.decoder.Token()
	return token, p.cursor, err
}

func (p *parser) value() (*Value, error) {
	token, at, err := p.next()
	if err != nil {
		return nil, err
	}
	v := &Value{At: at}
	switch t := token.(type) {
	case bool:
		v.Kind, v.Bool = Bool, t
	case json.Number:
		v.Kind, v.Text = Number, t.String()
	case string:
		v.Kind, v.Text = String, t
	case json.Delim:
		if t == '[' {
			v.Kind = Array
			err = p.elements(v)
		} else {
			v.Kind = Object
			err = p.members(v)
		}
	}
	return v, err
}

func (p *parser) elements(v *Value) error {
	for p.decoder.More() {
		element, err := p.value()
		if err != nil {
			return err
		}
		v.Elements = append(v.Elements, element)
	}
	_, _, err := p.next() // the closing bracket
	return err
}

func (p *parser) members(v *Value) error {
	for p.decoder.More() {
		token, at, err := p.next()
		if err != nil {
			return err
		}
		value, err := p.value()
		if err != nil {
			return err
		}
		name, _ := token.(string) // names of valid JSON are strings
		v.Members = append(v.Members, Member{Name: name, At: at, Value: value})
	}
	_, _, err := p.next() // the closing brace
	return err
}
