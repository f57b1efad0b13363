package config

import "fmt"

// Accepted is a snapshot that has passed validation, with everything that is
// derived from it. It is immutable, so readers may share it through one
// pointer.
type Accepted struct {
	Snapshot *Snapshot
	// Hash names the snapshot in the object store.
	Hash Hash
	// Encoded is the canonical encoding.
	Encoded []byte
	// Index matches calls to routes.
	Index *Index
}

// Accept validates s and derives its encoding, hash and index. The error is of
// type Faults and lists every fault.
func Accept(s *Snapshot) (*Accepted, error) {
	if err := Validate(s).AsError(); err != nil {
		return nil, err
	}
	sorted := s.sorted()
	encoded, err := Encode(sorted)
	if err != nil {
		return nil, err
	}
	if len(encoded) > MaxEncodedBytes {
		return nil, Faults{{Reason: fmt.Sprintf("encoding has %d bytes, the limit is %d", len(encoded), MaxEncodedBytes)}}
	}
	return &Accepted{Snapshot: sorted, Hash: HashOf(encoded), Encoded: encoded, Index: NewIndex(sorted)}, nil
}

// AcceptEncoded decodes and accepts a canonical encoding whose hash is want.
// It fails on a different hash, on a form that is not canonical, and on an
// invalid snapshot.
func AcceptEncoded(encoded []byte, want Hash) (*Accepted, error) {
	if got := HashOf(encoded); got != want {
		return nil, fmt.Errorf("snapshot hash is %s, want %s", got, want)
	}
	s, err := Decode(encoded)
	if err != nil {
		return nil, err
	}
	return Accept(s)
}

// ApplyDelta applies d to a's snapshot and accepts the result. It fails if a
// is not the delta's base or if the result has another hash than the delta's
// target; the caller then fetches the full snapshot.
func (a *Accepted) ApplyDelta(d *Delta) (*Accepted, error) {
	if a.Hash != d.Base {
		return nil, fmt.Errorf("delta is against %s, the snapshot held is %s", d.Base, a.Hash)
	}
	next, err := Accept(d.applyTo(a.Snapshot))
	if err != nil {
		return nil, err
	}
	if next.Hash != d.Target {
		return nil, fmt.Errorf("delta gives %s, want %s", next.Hash, d.Target)
	}
	return next, nil
}
