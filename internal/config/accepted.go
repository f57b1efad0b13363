package config

import "fmt"

// Accepted is a snapshot that has passed validation, together with its
// encoding, hash and route index. It is immutable, so readers may share it
// through one pointer.
type Accepted struct {
	Snapshot *Snapshot
	// Hash identifies the snapshot. The snapshot is stored under it in the object
	// store.
	Hash Hash
	// Encoded is the canonical encoding of Snapshot.
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
// It returns an error if the hash differs, if the encoding is not in canonical
// form, or if the snapshot is invalid.
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

// ApplyDelta applies d to the snapshot of a and accepts the result. It returns
// an error if a is not the base of d, if the result is invalid, or if its hash
// differs from the target of d. The caller then fetches the full snapshot.
func (a *Accepted) ApplyDelta(d *Delta) (*Accepted, error) {
	if a.Hash != d.Base {
		return nil, fmt.Errorf("apply delta: base is %s, current snapshot is %s", d.Base, a.Hash)
	}
	next, err := Accept(d.applyTo(a.Snapshot))
	if err != nil {
		return nil, err
	}
	if next.Hash != d.Target {
		return nil, fmt.Errorf("apply delta: result has hash %s, want %s", next.Hash, d.Target)
	}
	return next, nil
}
