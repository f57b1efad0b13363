package timeline

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a ring that grows without bound and against entries that are out
// of order after the ring has wrapped around.
func TestRingKeepsLatest(t *testing.T) {
	is := is.New(t)
	r := NewRing(3)
	for i := range 5 {
		r.Add(Entry{Clock: 1, Call: string(rune('a' + i))})
	}
	var calls string
	for _, e := range r.Entries() {
		calls += e.Call
	}
	is.Equal(calls, "cde")
	is.Equal(r.Dropped(), uint64(2))
}

// Guards against a merged order that depends on the order in which the hosts
// answered, or that swaps entries of one host.
func TestMergeOrder(t *testing.T) {
	is := is.New(t)
	a := []Entry{{Clock: 1, Recorder: "a", Kind: "1"}, {Clock: 3, Recorder: "a", Kind: "2"}, {Clock: 3, Recorder: "a", Kind: "3"}}
	b := []Entry{{Clock: 2, Recorder: "b"}, {Clock: 3, Recorder: "b"}}
	ab, ba := Merge(a, b), Merge(b, a)
	is.Equal(ab, ba)
	is.Equal(ab, []Entry{a[0], b[0], a[1], a[2], b[1]})
}

// Guards against a host filter that hides the entries that the host recorded or
// those that other hosts recorded about it.
func TestFilter(t *testing.T) {
	is := is.New(t)
	entries := []Entry{
		{Recorder: "a", Config: 1, Move: "m"}, {Recorder: "b", Host: "a", Call: "c"}, {Recorder: "b", Config: 2},
	}
	is.Equal(Filter{Host: "a"}.Apply(entries), entries[:2])
	is.Equal(Filter{Config: 2}.Apply(entries), entries[2:])
	is.Equal(Filter{Move: "m"}.Apply(entries), entries[:1])
	is.Equal(Filter{Call: "c"}.Apply(entries), entries[1:2])
	is.Equal(Filter{}.Apply(entries), entries)
}

// Guards against an event whose text breaks the page, the JSON or the line
// structure, and against a page that loads external resources.
func TestRender(t *testing.T) {
	is := is.New(t)
	entries := []Entry{{Clock: 1 << 16, Recorder: "a", Kind: "x", Detail: "<script>\n\"", Config: 7}}
	var text, page, data bytes.Buffer
	is.NoErr(WriteText(&text, entries))
	is.Equal(text.String(), "1970-01-01T00:00:00.001Z+0 a x config=v7 detail=\"<script>\\n\\\"\"\n")
	is.NoErr(WriteHTML(&page, entries))
	is.True(!strings.Contains(page.String(), "<script"))
	is.True(!strings.Contains(page.String(), "http"))
	is.True(strings.Contains(page.String(), "<td>v7</td>"))
	is.NoErr(WriteJSON(&data, entries))
	var decoded []Entry
	is.NoErr(json.Unmarshal(data.Bytes(), &decoded))
	is.Equal(decoded, entries)
}
