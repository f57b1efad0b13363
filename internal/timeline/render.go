package timeline

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"strings"
)

//go:embed page.html
var pageSource string

var page = template.Must(template.New("timeline").Parse(pageSource))

// WriteText writes one line per entry. Control characters in entries are
// escaped, so an entry never spans several lines.
func WriteText(w io.Writer, entries []Entry) error {
	for _, e := range entries {
		if _, err := fmt.Fprintln(w, formatEntry(e)); err != nil {
			return err
		}
	}
	return nil
}

func formatEntry(e Entry) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v %s %s", e.Clock, escapeText(string(e.Recorder)), escapeText(e.Kind))
	if e.Config != 0 {
		fmt.Fprintf(&b, " config=%v", e.Config)
	}
	for _, field := range [...]struct{ name, value string }{
		{"move", string(e.Move)}, {"host", string(e.Host)}, {"call", e.Call}, {"detail", e.Detail},
	} {
		if field.value != "" {
			fmt.Fprintf(&b, " %s=%q", field.name, field.value)
		}
	}
	return b.String()
}

// escapeText escapes s as a Go string literal, without the enclosing quotes.
func escapeText(s string) string {
	quoted := fmt.Sprintf("%q", s)
	return quoted[1 : len(quoted)-1]
}

// WriteJSON writes the entries as one indented JSON array.
func WriteJSON(w io.Writer, entries []Entry) error {
	if entries == nil {
		entries = []Entry{}
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(entries)
}

// WriteHTML writes one HTML page that loads no external resources.
func WriteHTML(w io.Writer, entries []Entry) error {
	return page.Execute(w, entries)
}
