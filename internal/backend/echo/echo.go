// Package echo defines the answer of the development backend server. It allows a
// caller to check that the answer is complete and belongs to its own request.
package echo

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Answer is the response body of a call that was run.
type Answer struct {
	Instance mesh.InstanceID     `json:"instance"`
	Version  mesh.BackendVersion `json:"version"`
	// Digest is the Digest of the request that was run.
	Digest string `json:"digest"`
}

// Digest returns the SHA-256 of a request in hex. The path includes the query.
// Each part is preceded by its length, so that different requests never give the
// same input to the hash.
func Digest(method, path, requestID, body []byte) string {
	h := sha256.New()
	for _, part := range [...][]byte{method, path, requestID, body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Check decodes an answer. It returns an error if the answer is incomplete or its
// digest is not want.
func Check(body []byte, want string) (Answer, error) {
	var a Answer
	if err := json.Unmarshal(body, &a); err != nil {
		return a, fmt.Errorf("answer of %d bytes is malformed: %w", len(body), err)
	}
	if a.Digest != want {
		return a, fmt.Errorf("answer is for the request with digest %s, want %s", a.Digest, want)
	}
	return a, nil
}
