package tomldoc

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// sample has seven faults for TestAllFaultsAreReportedTogether.
const sample = `name = "a"
count = 70
ratio = 2
extra = 1

[limits]
wait_ms = "soon"
typo = true

[[hosts]]
id = "h1"
[[hosts]]
id = 2
addresses = ["x", 3]
`

// Guards against a decoder that stops at the first fault or that reports a fault
// without its line.
func TestAllFaultsAreReportedTogether(t *testing.T) {
	is := is.New(t)
	doc, err := Parse("s.toml", []byte(sample))
	is.NoErr(err)
	root := doc.Root()
	is.Equal(root.String("name", ""), "a")
	is.Equal(root.Int("count", 5, 1, 60), int64(5))
	is.Equal(root.Float("ratio", 0, 0, 2), 2.0)
	root.Require("zone")
	is.Equal(root.Table("limits").Int("wait_ms", 9, 0, 10), int64(9))
	for _, host := range root.Tables("hosts") {
		host.String("id", "")
		host.Strings("addresses")
	}
	want := Faults{
		{"s.toml", 1, "zone", "is missing"},
		{"s.toml", 2, "count", "is 70, want 1 to 60"},
		{"s.toml", 4, "extra", "is not a known key"},
		{"s.toml", 7, "limits.wait_ms", "is a string, want an integer"},
		{"s.toml", 8, "limits.typo", "is not a known key"},
		{"s.toml", 13, "hosts[1].id", "is an integer, want a string"},
		{"s.toml", 14, "hosts[1].addresses", "item 1 is an integer, want a string"},
	}
	is.Equal(doc.Finish(), want)
	is.Equal(want[1].String(), "s.toml:2: count: is 70, want 1 to 60")
}

// Guards against a fault of an absent key being reported without a line.
func TestAddFaultUsesTheInnermostKnownLine(t *testing.T) {
	is := is.New(t)
	doc, err := Parse("s.toml", []byte(sample))
	is.NoErr(err)
	doc.AddFault("hosts[1].zone", "is missing")
	is.Equal(doc.faults[0].Line, 12)
	doc.AddFault("hosts[1].id", "is bad")
	is.Equal(doc.faults[1].Line, 13)
}

// Guards against accepting syntax errors and duplicate keys, and against
// reporting them without their line.
func TestSyntaxErrorsCarryTheLine(t *testing.T) {
	for _, text := range []string{"a = 1\nb = \n", "a = 1\na = 2\n", "[t]\n[t]\n"} {
		is := is.New(t)
		_, err := Parse("s.toml", []byte(text))
		faults, ok := err.(Faults)
		is.True(ok)
		is.Equal(len(faults), 1)
		is.Equal(faults[0].Line, 2)
	}
}

// Guards against a small document that takes memory proportional to the square of
// its nesting depth.
func TestDeepNestingIsRefused(t *testing.T) {
	const levels = 50_000
	for _, text := range []string{
		"a = " + strings.Repeat("[", levels) + strings.Repeat("]", levels),
		"a = " + strings.Repeat("{a=", levels) + "1" + strings.Repeat("}", levels),
		strings.Repeat("a.", levels) + "a = 1",
		"[" + strings.Repeat("a.", levels) + "a]\n",
		strings.Repeat("[[a]]\n", 3) + "[[" + strings.Repeat("a.", maxDepth) + "a]]\n",
	} {
		is := is.New(t)
		_, err := Parse("s.toml", []byte(text))
		faults, ok := err.(Faults)
		is.True(ok)
		is.True(strings.Contains(faults[0].Reason, "nested more than"))
	}
}

// Guards against a crash on malformed input.
func FuzzParse(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte("a = [{b.c = 1}, {d = [[1]]}]\n[x.y]\n[[x.z]]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := Parse("f.toml", data)
		if err != nil {
			return
		}
		for name := range doc.root.values {
			doc.root.Tables(name)
			doc.root.Float(name, 0, 0, 1)
		}
		doc.Finish()
	})
}
