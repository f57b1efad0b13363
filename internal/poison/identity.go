package poison

import (
	"github.com/cespare/xxhash/v2"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Request is the identity of a request. It covers what decides the work of its run, because a
// crash says nothing about a request that differs in any of it. Other headers than Host are
// left out: some change with each send, and a request that comes again must be recognised.
type Request struct {
	Hash    mesh.RequestHash
	Service mesh.Service // of the backend servers that run the request
	Caller  mesh.Service // at which the request originated, empty if callers are not told apart
	Tenant  mesh.Tenant  // empty for a request without a tenant
}

// HashRequest hashes what a client sends: the Host header, the method, the request target
// with its query, and the body.
func HashRequest(host, method, target, body []byte) mesh.RequestHash {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...][]byte{host, method, target} {
		_, _ = d.Write(part) // never fails
		_, _ = d.Write(partEnd[:])
	}
	_, _ = d.Write(body)
	return mesh.RequestHash(d.Sum64())
}

// Fingerprint returns the key of the request in the table.
func (r Request) Fingerprint() mesh.Fingerprint {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(r.Hash))
	for _, part := range [...]string{string(r.Service), string(r.Caller), string(r.Tenant)} {
		_, _ = d.WriteString(part)
		_, _ = d.Write(partEnd[:])
	}
	return mesh.Fingerprint(d.Sum64())
}

// partEnd separates the parts of a hash. No part but the body contains a zero byte.
var partEnd = [1]byte{0}
