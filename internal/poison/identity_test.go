package poison

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Guards against requests that share their crashes although a run of one says nothing about
// the other.
func TestFingerprintDiffersInEachPart(t *testing.T) {
	is := is.New(t)
	hash := func(host, method, target, body string) mesh.RequestHash {
		return HashRequest([]byte(host), []byte(method), []byte(target), []byte(body))
	}
	base := hash("a.example", "GET", "/x", "body")
	seen := make(map[mesh.Fingerprint]bool)
	for _, r := range []Request{
		{Hash: base},
		{Hash: hash("b.example", "GET", "/x", "body")},
		{Hash: hash("a.example", "POST", "/x", "body")},
		{Hash: hash("a.example", "GET", "/x?y", "body")},
		{Hash: hash("a.example", "GET", "/x", "")},
		{Hash: hash("a.exampleGET", "", "/x", "body")},
		{Hash: base, Service: "s"},
		{Hash: base, Caller: "s"},
		{Hash: base, Tenant: "s"},
	} {
		seen[r.Fingerprint()] = true
	}
	is.Equal(len(seen), 9)
	is.Equal(Request{Hash: base, Service: "s"}.Fingerprint(), Request{Hash: hash("a.example", "GET", "/x", "body"), Service: "s"}.Fingerprint())
	is.Equal(testing.AllocsPerRun(100, func() { Request{Hash: base, Service: "s", Caller: "c"}.Fingerprint() }), 0.0)
}
