// Package memstore implements the platform's table and object store in memory. The
// development server serves it over HTTP, and tests of reducers use it
// directly.
package memstore

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// Limits of one request.
const (
	// MaxKeyBytes is the longest key, prefix or transaction ID, in bytes.
	MaxKeyBytes = 512
	// MaxValueBytes is the largest value of a row, in bytes.
	MaxValueBytes = 1 << 20
	// MaxObjectBytes is the largest object, in bytes.
	MaxObjectBytes = 4 << 20
	// MaxItems is the largest number of checks, puts, deletes, keys or
	// prefixes in one request.
	MaxItems = 1000
)

// row is the state of a row. It is kept after the row is deleted, so that a row
// which is written again never reuses a revision.
type row struct {
	value    []byte
	revision platform.Revision
	writer   string
	exists   bool
}

// Store holds rows and objects. It is not safe for concurrent use.
type Store struct {
	rows    map[string]*row
	objects map[string][]byte
}

// New returns an empty store.
func New() *Store {
	return &Store{rows: map[string]*row{}, objects: map[string][]byte{}}
}

// Execute executes one operation. It keeps no reference to the request's slices.
func (s *Store) Execute(req *platform.Request) platform.Result {
	res := platform.Result{ID: req.ID, Op: req.Op, Status: platform.OK}
	if reason := invalidReason(req); reason != "" {
		res.Status, res.Err = platform.Invalid, reason
		return res
	}
	switch req.Op {
	case platform.OpCommit:
		res.Status, res.Rows = s.commit(&req.Txn)
	case platform.OpRead:
		res.Rows = s.read(req.Keys, req.Prefixes)
	case platform.OpPutObject:
		s.objects[req.Hash] = slices.Clone(req.Object)
	case platform.OpGetObject:
		object, ok := s.objects[req.Hash]
		if !ok {
			res.Status = platform.NotFound
		}
		res.Object = object
	}
	return res
}

// invalidReason returns why a request is invalid, or an empty string if it is valid.
func invalidReason(req *platform.Request) string {
	switch req.Op {
	case platform.OpCommit:
		return invalidTxnReason(&req.Txn)
	case platform.OpRead:
		if len(req.Keys)+len(req.Prefixes) > MaxItems {
			return fmt.Sprintf("read of %d keys and prefixes, the limit is %d", len(req.Keys)+len(req.Prefixes), MaxItems)
		}
		return invalidKeysReason(append(slices.Clone(req.Keys), req.Prefixes...))
	case platform.OpPutObject:
		return invalidObjectReason(req)
	case platform.OpGetObject:
		return ""
	default:
		return fmt.Sprintf("operation %d is not known", req.Op)
	}
}

func invalidTxnReason(txn *platform.Txn) string {
	if txn.ID == "" || len(txn.ID) > MaxKeyBytes {
		return fmt.Sprintf("transaction ID has %d bytes, want 1 to %d", len(txn.ID), MaxKeyBytes)
	}
	if n := len(txn.Checks) + len(txn.Puts) + len(txn.Deletes); n > MaxItems {
		return fmt.Sprintf("transaction of %d checks, puts and deletes, the limit is %d", n, MaxItems)
	}
	written := slices.Clone(txn.Deletes)
	for _, put := range txn.Puts {
		if len(put.Value) > MaxValueBytes {
			return fmt.Sprintf("value of %q has %d bytes, the limit is %d", put.Key, len(put.Value), MaxValueBytes)
		}
		written = append(written, put.Key)
	}
	keys := slices.Clone(written)
	for _, check := range txn.Checks {
		keys = append(keys, check.Key)
	}
	slices.Sort(written)
	if len(slices.Compact(written)) != len(txn.Puts)+len(txn.Deletes) {
		return "transaction writes a row twice"
	}
	return invalidKeysReason(keys)
}

func invalidKeysReason(keys []string) string {
	for _, key := range keys {
		if key == "" || len(key) > MaxKeyBytes {
			return fmt.Sprintf("key has %d bytes, want 1 to %d", len(key), MaxKeyBytes)
		}
	}
	return ""
}

func invalidObjectReason(req *platform.Request) string {
	if len(req.Object) > MaxObjectBytes {
		return fmt.Sprintf("object has %d bytes, the limit is %d", len(req.Object), MaxObjectBytes)
	}
	sum := sha256.Sum256(req.Object)
	if got := hex.EncodeToString(sum[:]); got != req.Hash {
		return fmt.Sprintf("object hash is %s, not %s", got, req.Hash)
	}
	return ""
}

// commit executes a valid transaction. On Conflict it returns the current rows of
// the failed checks.
func (s *Store) commit(txn *platform.Txn) (platform.Status, []platform.Row) {
	var failedKeys []string
	for _, check := range txn.Checks {
		if s.currentRevision(check.Key) != check.Revision {
			failedKeys = append(failedKeys, check.Key)
		}
	}
	if len(failedKeys) > 0 {
		return platform.Conflict, s.read(failedKeys, nil)
	}
	var written []string
	for _, put := range txn.Puts {
		r := s.rowForWrite(put.Key, txn.ID)
		r.value, r.exists = slices.Clone(put.Value), true
		written = append(written, put.Key)
	}
	for _, key := range txn.Deletes {
		r := s.rowForWrite(key, txn.ID)
		r.value, r.exists = nil, false
	}
	return platform.OK, s.read(written, nil)
}

// rowForWrite returns the row to be written, with its revision advanced and its
// writer set. It creates the row if there is none yet.
func (s *Store) rowForWrite(key, writer string) *row {
	r := s.rows[key]
	if r == nil {
		r = &row{}
		s.rows[key] = r
	}
	r.revision++
	r.writer = writer
	return r
}

// currentRevision returns the revision of a row, or 0 if the row does not exist.
func (s *Store) currentRevision(key string) platform.Revision {
	if r := s.rows[key]; r != nil && r.exists {
		return r.revision
	}
	return 0
}

// read returns the selected rows that exist, sorted by key and without duplicates.
func (s *Store) read(keys, prefixes []string) []platform.Row {
	selected := slices.Clone(keys)
	for _, prefix := range prefixes {
		for key := range s.rows {
			if strings.HasPrefix(key, prefix) {
				selected = append(selected, key)
			}
		}
	}
	slices.Sort(selected)
	var out []platform.Row
	for _, key := range slices.Compact(selected) {
		if r := s.rows[key]; r != nil && r.exists {
			out = append(out, platform.Row{Key: key, Value: slices.Clone(r.value), Revision: r.revision, Writer: r.writer})
		}
	}
	return out
}
