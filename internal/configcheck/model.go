// Package configcheck checks a configuration before operators send it, and describes how
// it differs from the version in force. It works on a model that is independent of the
// format of the file, in which each value knows its place.
package configcheck

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/jsonpos"
)

// Position is a place in the file.
type Position = jsonpos.Position

// Decoder decodes a file. The findings are about its form. The configuration is never
// nil; it lacks what could not be decoded.
type Decoder func(text []byte) (*Configuration, []Finding)

// Field is a value of the file. At is zero if the file lacks the value.
type Field[T any] struct {
	Value T
	At    Position
	// Malformed is set if the file holds something else than a T. The decoder has reported
	// it, and Value is the zero value.
	Malformed bool
}

// Given reports whether the file holds the value.
func (f Field[T]) Given() bool { return !f.At.IsZero() }

// missing reports whether a value that must be given is zero and hasn't been reported yet.
func missing(f Field[string]) bool { return f.Value == "" && !f.Malformed }

// Kinds of entries, as they are named in findings.
const (
	KindRoute   = "route"
	KindService = "service"
	KindTenant  = "tenant"
	KindLimits  = "client limits"
)

// Entry identifies an entry of the configuration.
type Entry struct {
	Kind   string
	Name   Field[string]
	Number int // position in the list of all entries, starting at 1
	At     Position
}

// String returns the kind and the name, or the number of an entry that has no name.
func (e *Entry) String() string {
	switch {
	case e.Kind == KindLimits:
		return e.Kind
	case e.Name.Value == "":
		return fmt.Sprintf("%s without a name (entry %d)", e.Kind, e.Number)
	default:
		return fmt.Sprintf("%s %q", e.Kind, e.Name.Value)
	}
}

// Configuration is one configuration version.
type Configuration struct {
	Version  Field[uint64]
	Routes   []Route
	Services []Service
	Tenants  []Tenant
	Limits   []Limits // more than one is a mistake
}

// Route states where requests for a host and path prefix are sent.
type Route struct {
	Entry
	Host, Prefix           Field[string]
	NonIdempotent          Field[bool]
	Timeout, TargetLatency Field[time.Duration]
	Rank                   Field[int]
	Attempts               Field[int]
	Public                 Field[bool]
	// Destinations has one element with weight 1 if Split is not set.
	Destinations []Destination
	// Split is set if the file gives the destinations with weights.
	Split bool
}

// Destination is one destination of a route.
type Destination struct {
	Service Field[string]
	Weight  Field[int]
	At      Position
}

// Service is one set of interchangeable instances.
type Service struct {
	Entry
	MaxConnections  Field[int]
	HealthPath      Field[string]
	WarmupTime      Field[time.Duration]
	WarmupPerSecond Field[float64]
}

// Tenant is a customer with keys and a quota.
type Tenant struct {
	Entry
	Keys          []Key
	Rank          Field[int]
	RatePerSecond Field[float64]
	Burst         Field[float64]
}

// Key is a key of a tenant. The model holds no keys in clear, so that none can reach the
// output.
type Key struct {
	Hash      [sha256.Size]byte
	Empty     bool
	At        Position
	Malformed bool // the decoder has reported that it is not a text
}

// NewKey returns the model of a key.
func NewKey(text string, at Position) Key {
	return Key{Hash: sha256.Sum256([]byte(text)), Empty: text == "", At: at}
}

// Limits bound what a client may send.
type Limits struct {
	Entry
	HeaderBytes, BodyBytes     Field[int]
	HeaderTimeout, IdleTimeout Field[time.Duration]
}
