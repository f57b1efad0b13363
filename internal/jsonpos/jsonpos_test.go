package jsonpos

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Guards against positions that count bytes instead of characters, that point behind the
// value, or that restart on a wrong line.
func TestPositions(t *testing.T) {
	is := is.New(t)
	v, err := Parse([]byte("{\n \"é\": [1,  \"x\"],\r\n \"b\": {\"c\": null}}"))
	is.NoErr(err)
	is.Equal(v.At, Position{1, 1})
	is.Equal(v.Members[0].At, Position{2, 2})
	is.Equal(v.Members[0].Value.At, Position{2, 7})
	is.Equal(v.Members[0].Value.Elements[1].At, Position{2, 12})
	is.Equal(v.Members[1].Value.Members[0].Value.At, Position{3, 13})
	is.Equal(v.Members[0].Value.Elements[0].Text, "1")
}

// Guards against a syntax error that is reported at another place than its own.
func TestSyntaxErrors(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]SyntaxError{
		"":              {Position{1, 1}, true},
		"{\"a\":\n1":    {Position{2, 2}, true},
		"{\n \"a\" 1}":  {Position{2, 6}, false},
		"[1,\n2,]":      {Position{2, 3}, false},
		"{}\n x":        {Position{2, 2}, false},
		"\ufeff{}":      {Position{1, 1}, false},
		"{\"a\": tru }": {Position{1, 10}, false},
	} {
		_, err := Parse([]byte(text))
		syntax, ok := errors.AsType[*SyntaxError](err)
		is.True(ok)
		is.Equal(*syntax, want)
	}
}

// FuzzParse checks that Parse accepts exactly what json.Unmarshal accepts.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"a":[1,-2.5e3,"x",true,null,{}],"é":"\ud800"}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if v, err := Parse(text); json.Valid(text) != (err == nil) || (err == nil && v.At.IsZero()) {
			t.Fatalf("valid JSON: %t, error: %v", json.Valid(text), err)
		}
	})
}
