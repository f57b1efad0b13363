package workcost

import (
	"math/bits"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Request holds what is known of a request before it runs.
type Request struct {
	Route  mesh.Route
	Tenant mesh.Tenant
	Method string
	// Path is the path without the query.
	Path      string
	BodyBytes int
}

// Feature is a property of a request on which its work may depend.
type Feature uint8

// Features of a request.
const (
	TenantName Feature = iota
	Method
	// PathPattern is the path without the segments that contain a digit, which are
	// mostly identifiers.
	PathPattern
	WholePath
	// BodySize is the size of the body, in powers of two.
	BodySize
	features
)

var featureNames = [features]string{"tenant", "method", "path_pattern", "path", "body_size"}

// String returns the name of the feature in logs and metrics.
func (f Feature) String() string { return featureNames[f] }

// keys holds a hash of the value of each feature, never zero.
type keys [features]uint64

func (r *Request) keys() keys {
	return keys{
		TenantName:  xxhash.Sum64String(string(r.Tenant)) | 1,
		Method:      xxhash.Sum64String(r.Method) | 1,
		PathPattern: patternHash(r.Path) | 1,
		WholePath:   xxhash.Sum64String(r.Path) | 1,
		BodySize:    uint64(bits.Len(uint(max(r.BodyBytes, 0))))<<1 | 1,
	}
}

// patternHash hashes a path without the segments that contain a digit.
func patternHash(path string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for segment := range strings.SplitSeq(path, "/") {
		if strings.ContainsAny(segment, "0123456789") {
			segment = ""
		}
		_, _ = d.WriteString(segment) // never fails
		_, _ = d.WriteString("/")
	}
	return d.Sum64()
}
