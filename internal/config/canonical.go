package config

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// MaxEncodedBytes is the largest canonical encoding that is accepted, in bytes.
const MaxEncodedBytes = 4 << 20

// Hash is the SHA-256 of a canonical encoding in lower-case hex.
type Hash string

// HashOf returns the hash of a canonical encoding.
func HashOf(encoded []byte) Hash {
	sum := sha256.Sum256(encoded)
	return Hash(hex.EncodeToString(sum[:]))
}

// classDoc is the encoded form of a Class. It holds the name of the priority
// instead of its number.
type classDoc struct {
	Class
	Priority string `json:"priority"`
}

// snapshotDoc is the encoded form of a Snapshot.
type snapshotDoc struct {
	FailureDomains []FailureDomain `json:"failure_domains,omitempty"`
	Services       []Service       `json:"services,omitempty"`
	Classes        []classDoc      `json:"classes,omitempty"`
	Routes         []Route         `json:"routes,omitempty"`
}

// newSnapshotDoc returns the encoded form of s.
func newSnapshotDoc(s *Snapshot) snapshotDoc {
	doc := snapshotDoc{FailureDomains: s.FailureDomains, Services: s.Services, Routes: s.Routes}
	for _, c := range s.Classes {
		doc.Classes = append(doc.Classes, classDoc{Class: c, Priority: c.Priority.String()})
	}
	return doc
}

func (doc *snapshotDoc) toSnapshot() (*Snapshot, error) {
	s := &Snapshot{FailureDomains: doc.FailureDomains, Services: doc.Services, Routes: doc.Routes}
	for _, c := range doc.Classes {
		priority, err := mesh.ParsePriority(c.Priority)
		if err != nil {
			return nil, fmt.Errorf("class %q: %w", c.Name, err)
		}
		c.Class.Priority = priority
		s.Classes = append(s.Classes, c.Class)
	}
	return s, nil
}

// Encode returns the canonical encoding of s: JSON with the resources of each
// kind sorted by name. Equal snapshots have equal encodings.
func Encode(s *Snapshot) ([]byte, error) {
	encoded, err := json.Marshal(newSnapshotDoc(s.sorted()))
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return encoded, nil
}

// Decode reads a canonical encoding. It rejects unknown fields, input of more
// than MaxEncodedBytes and any form that Encode would not produce. It does not
// validate the values of the snapshot.
func Decode(encoded []byte) (*Snapshot, error) {
	if len(encoded) > MaxEncodedBytes {
		return nil, fmt.Errorf("snapshot has %d bytes, the limit is %d", len(encoded), MaxEncodedBytes)
	}
	var doc snapshotDoc
	if err := decodeStrict(encoded, &doc); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	s, err := doc.toSnapshot()
	if err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	reencoded, err := Encode(s)
	if err != nil {
		return nil, err
	}
	if !bytes.Equal(reencoded, encoded) {
		return nil, fmt.Errorf("decode snapshot: encoding is not in canonical form")
	}
	return s, nil
}

// decodeStrict decodes data into v. It rejects unknown fields and any data after
// the first JSON value.
func decodeStrict(data []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return fmt.Errorf("unexpected data after the JSON value")
	}
	return nil
}

// sorted returns a copy of s with the resources of each kind sorted by name.
func (s *Snapshot) sorted() *Snapshot {
	return &Snapshot{
		FailureDomains: sortedByName(s.FailureDomains, failureDomainName),
		Services:       sortedByName(s.Services, serviceName),
		Classes:        sortedByName(s.Classes, className),
		Routes:         sortedByName(s.Routes, routeName),
	}
}

// sortedByName returns a copy of items in the order of their names, or nil if
// there are none.
func sortedByName[T any](items []T, name func(T) string) []T {
	if len(items) == 0 {
		return nil
	}
	out := slices.Clone(items)
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return out
}

func failureDomainName(d FailureDomain) string { return string(d.Name) }
func serviceName(s Service) string             { return string(s.Name) }
func className(c Class) string                 { return string(c.Name) }
func routeName(r Route) string                 { return string(r.Name) }
