package config

import (
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a hash that depends on the order in which an operator wrote
// the resources.
func TestEncodingDoesNotDependOnOrder(t *testing.T) {
	is := is.New(t)
	a := acceptSampleConfig(t)
	s := parseSampleConfig(t)
	slices.Reverse(s.Routes)
	slices.Reverse(s.Classes)
	reordered, err := Accept(s)
	is.NoErr(err)
	is.Equal(string(a.Encoded), string(reordered.Encoded))
	is.Equal(a.Hash, reordered.Hash)
}

// Guards against a change of the canonical form, which would make nodes of two
// releases disagree on the hash of the same snapshot.
func TestEncodingIsStable(t *testing.T) {
	is := is.New(t)
	a := acceptSampleConfig(t)
	is.True(strings.HasPrefix(string(a.Encoded), `{"failure_domains":[{"name":"azrou"},{"name":"boulemane"}`))
	is.Equal(a.Hash, Hash("a24ea5f2d6b8dd743ad305ab75444750d803c192f5dfa1eff367e6c6878f81cd"))
}

// Guards against input that is accepted in a form other than the canonical
// one, or with a hash other than the announced one.
func TestAcceptEncodedRejectsNonCanonicalForms(t *testing.T) {
	is := is.New(t)
	a := acceptSampleConfig(t)
	text := string(a.Encoded)
	_, err := AcceptEncoded([]byte(text), HashOf([]byte("other")))
	is.True(err != nil)
	for _, variant := range []string{
		text + " ", text + text, " " + text,
		strings.Replace(text, `"name"`, `"Name"`, 1),
		strings.Replace(text, `"critical"`, `"urgent"`, 1),
		strings.Replace(text, `{"name":"azrou"},`, "", 1) + "x",
		"null", "", "[]",
	} {
		_, err := AcceptEncoded([]byte(variant), HashOf([]byte(variant)))
		is.True(err != nil)
	}
}

// Guards against a delta that omits a change, keeps a removed resource or
// yields a snapshot other than its target (guarantee G3).
func TestAppliedDeltaYieldsTheTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, err := Accept(drawSnapshot(t))
		if err != nil {
			t.Fatal(err)
		}
		target, err := Accept(drawSnapshot(t))
		if err != nil {
			t.Fatal(err)
		}
		encoded, err := EncodeDelta(NewDelta(base, target))
		if err != nil {
			t.Fatal(err)
		}
		delta, err := DecodeDelta(encoded)
		if err != nil {
			t.Fatal(err)
		}
		baseEncoded := string(base.Encoded)
		got, err := base.ApplyDelta(delta)
		if err != nil {
			t.Fatal(err)
		}
		if string(got.Encoded) != string(target.Encoded) || HashOf([]byte(baseEncoded)) != base.Hash {
			t.Fatalf("delta yields %s, want %s", got.Encoded, target.Encoded)
		}
	})
}

// Guards against a delta being applied to the wrong base, and against accepting
// a result that is not the target or in which a route refers to a missing class
// or service (guarantee G2).
func TestApplyDeltaRefusesMismatches(t *testing.T) {
	is := is.New(t)
	base := acceptSampleConfig(t)
	s := parseSampleConfig(t)
	s.Services[0].KeepReadySeconds++
	target, err := Accept(s)
	is.NoErr(err)
	delta := NewDelta(base, target)
	is.Equal(len(delta.Changed.Services), 1)
	is.Equal(len(delta.Changed.Routes), 0)

	_, err = target.ApplyDelta(delta)
	is.True(err != nil)
	delta.Changed.Services[0].KeepReadySeconds++
	_, err = base.ApplyDelta(delta)
	is.True(err != nil)
	dangling := *delta
	dangling.Removed.Services = []string{"depot"}
	_, err = base.ApplyDelta(&dangling)
	is.True(err != nil)
}

// Guards against a diff that omits a change, so that an operator would apply it
// without having seen it.
func TestDiffNamesEveryField(t *testing.T) {
	is := is.New(t)
	from, to := parseSampleConfig(t), parseSampleConfig(t)
	to.Classes[0].DeadlineMillis = 900
	to.Routes = to.Routes[1:]
	to.FailureDomains = append(to.FailureDomains, FailureDomain{"fes"})
	is.Equal(Diff(from, to), []Change{
		{Added, "failure domain fes", nil},
		{Changed, "class warnings", []FieldChange{{"deadline_ms", "800", "900"}}},
		{Removed, "route survey", []FieldChange{
			{"method", "GET", ""}, {"path_prefix", "/roofs", ""}, {"service", "roof-works", ""}, {"class", "warnings", ""}}},
	})
	is.Equal(len(Diff(from, from)), 0)
}

// Guards against a crash on malformed input and against accepting input that
// differs from the encoding of its decoded form.
func FuzzDecode(f *testing.F) {
	f.Add(acceptSampleConfig(f).Encoded)
	f.Add([]byte(`{"classes":[{"name":"a","priority":"bulk"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Decode(data)
		if err != nil {
			return
		}
		if reencoded, err := Encode(s); err != nil || string(reencoded) != string(data) {
			t.Fatalf("re-encoding gives %s, %v", reencoded, err)
		}
		Validate(s)
	})
}

// Guards against a crash on a malformed delta and against a delta that yields a
// snapshot other than its target.
func FuzzDecodeDelta(f *testing.F) {
	base := acceptSampleConfig(f)
	s := parseSampleConfig(f)
	s.Routes = s.Routes[1:]
	s.Services[0].KeepReadySeconds = 1
	target, err := Accept(s)
	if err != nil {
		f.Fatal(err)
	}
	encoded, err := EncodeDelta(NewDelta(base, target))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := DecodeDelta(data)
		if err != nil {
			return
		}
		if got, err := base.ApplyDelta(d); err == nil && got.Hash != d.Target {
			t.Fatalf("hash is %s, want %s", got.Hash, d.Target)
		}
	})
}
