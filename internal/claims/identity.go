package claims

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Bounds on the age of an identity. They make the result independent of the
// callers' clocks; the clocks of nodes must agree within MaxClockSkew.
const (
	// RetentionWindow is the time for which the record of an identity is kept.
	// Claims of older identities are answered as duplicates.
	RetentionWindow = 10 * time.Minute
	// MaxFuture is how far the creation time of an identity may be ahead of the
	// primary's clock.
	MaxFuture = time.Second
	// MaxClockSkew is the largest difference between the clocks of two nodes.
	MaxClockSkew = time.Second
)

// maxIdentityLength bounds the header value, in bytes, before it is parsed.
const maxIdentityLength = 128

// Namespace groups the errors of this package.
var Namespace = errorx.NewNamespace("claims")

// ErrIdentity is the error for a malformed request identity.
var ErrIdentity = Namespace.NewType("bad_identity")

// Identity identifies a request across the resends by its caller. It consists
// of the failure domain that keeps the record of the request and a UUIDv7,
// which contains the time at which the identity was created.
type Identity struct {
	Home mesh.FailureDomain
	UUID uuid.UUID
}

// ParseIdentity reads "<failure domain>.<UUIDv7>". Errors are of type
// ErrIdentity.
func ParseIdentity(s string) (Identity, error) {
	if len(s) > maxIdentityLength {
		return Identity{}, ErrIdentity.New("request identity has %d bytes, more than %d", len(s), maxIdentityLength)
	}
	dot := strings.LastIndexByte(s, '.')
	if dot <= 0 {
		return Identity{}, ErrIdentity.New("request identity %q has no failure domain before the last dot", s)
	}
	id, err := uuid.Parse(s[dot+1:])
	if err != nil {
		return Identity{}, ErrIdentity.Wrap(err, "request identity %q does not end in a valid UUID", s)
	}
	if id.Version() != 7 {
		return Identity{}, ErrIdentity.New("request identity %q has a UUID of version %d, want 7", s, id.Version())
	}
	return Identity{Home: mesh.FailureDomain(s[:dot]), UUID: id}, nil
}

// Created returns the creation time in the UUID, in whole milliseconds.
func (id Identity) Created() mesh.Time {
	var ms int64
	for _, b := range id.UUID[:6] {
		ms = ms<<8 | int64(b)
	}
	return mesh.Time(ms * int64(time.Millisecond))
}

// Shard returns the claim shard of the identity within its home domain.
func (id Identity) Shard() int { return int(xxhash.Sum64(id.UUID[:]) % ShardCount) }

// String returns the form that ParseIdentity reads.
func (id Identity) String() string { return string(id.Home) + "." + id.UUID.String() }
