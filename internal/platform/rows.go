package platform

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Keys of the table's rows.
const (
	// HeadKey is the key of the row that identifies the accepted configuration.
	HeadKey = "head"

	historyPrefix   = "history/"
	operationPrefix = "operations/"
)

// HistoryKey returns the key of the history row of v.
func HistoryKey(v mesh.ConfigVersion) string {
	return historyPrefix + strconv.FormatUint(uint64(v), 10)
}

// OperationKey returns the key of the row that records the result of an
// operator's operation.
func OperationKey(operation string) string { return operationPrefix + operation }

// Head is the value of the row HeadKey: the accepted configuration.
type Head struct {
	Version mesh.ConfigVersion `json:"version"`
	// Hash names the snapshot in the object store.
	Hash string `json:"hash"`
	// Writer is the operation ID that advanced the head.
	Writer string `json:"writer"`
}

// History is the value of a history row. It is written once and never changed.
type History struct {
	Version mesh.ConfigVersion `json:"version"`
	Hash    string             `json:"hash"`
	// Writer is the operation ID that created the version.
	Writer string `json:"writer"`
	// Time is the time of acceptance by the clock of the node that wrote it.
	Time     mesh.Time `json:"time_ns"`
	Operator string    `json:"operator"`
	Note     string    `json:"note"`
}

// Operation is the value of an operation row. It identifies the row that an
// operator's operation created, so that an operation which is sent again finds its
// earlier result.
type Operation struct {
	// Key is the key of the row created.
	Key string `json:"key"`
	// Version is the configuration version created, or zero.
	Version mesh.ConfigVersion `json:"version,omitempty"`
	// Hash is the SHA-256 in hex of the operation's content.
	Hash string `json:"hash"`
}

// EncodeRow returns the JSON form of a row value.
func EncodeRow[T Head | History | Operation](value T) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		// The types hold only strings and integers, which always encode.
		panic(err)
	}
	return encoded
}

// DecodeRow decodes a row value. The error names the row's key.
func DecodeRow[T Head | History | Operation](row Row) (T, error) {
	var value T
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return value, fmt.Errorf("decode row %q: %w", row.Key, err)
	}
	return value, nil
}
