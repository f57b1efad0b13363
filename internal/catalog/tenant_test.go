package catalog

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Guards against a key that still belongs to a tenant after a version that removed or
// moved it, and against a snapshot from which a key could be logged.
func TestKeysBelongToOneTenantOfTheirVersion(t *testing.T) {
	is := is.New(t)
	base, err := Build(1, []Route{route("a", "/x/", "s")}, []Service{{Name: "s"}}, ClientLimits{})
	is.NoErr(err)
	is.True(!base.RequiresKey(&base.Routes[0])) // without tenants no request needs a key
	first := base.WithTenants([]Tenant{{Name: "one"}, {Name: "two"}}, [][]string{{"k1", "k2"}, {"k3"}})
	second := base.WithTenants([]Tenant{{Name: "one"}, {Name: "two"}}, [][]string{nil, {"k3", "k2"}})
	is.True(first.RequiresKey(&first.Routes[0]))
	is.Equal(first.TenantOf("k2").Name, mesh.Tenant("one"))
	is.Equal(second.TenantOf("k2").Name, mesh.Tenant("two"))
	is.Equal(second.TenantOf("k1"), nil)
	is.Equal(second.TenantOf(""), nil)
	is.Equal(base.TenantOf("k1"), nil)
	for _, text := range []string{fmt.Sprintf("%+v", *first), fmt.Sprintf("%#v", first.Tenants)} {
		is.True(!strings.Contains(text, "k1"))
	}
}
