package mesh

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against an outcome, reason or priority that is written in a form that
// cannot be read back. Another node would then take "not run" for an unknown
// result.
func TestWireNamesRoundTrip(t *testing.T) {
	is := is.New(t)
	for o := Answered; o <= MayHaveRun; o++ {
		got, err := ParseOutcome(o.String())
		is.NoErr(err)
		is.Equal(got, o)
	}
	for r := ReasonNone; r < reasonCount; r++ {
		got, err := ParseReason(r.String())
		is.NoErr(err)
		is.Equal(got, r)
	}
	for p := Bulk; p < Priorities; p++ {
		got, err := ParsePriority(p.String())
		is.NoErr(err)
		is.Equal(got, p)
	}
	_, err := ParseOutcome("maybe")
	is.True(err != nil)
	_, err = ParseReason("other")
	is.True(err != nil)
}
