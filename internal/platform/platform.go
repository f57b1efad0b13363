// Package platform defines the operations on the platform's transactional table and
// object store as the reducers see them. Package platform/client calls the real
// services over HTTP, and package platform/standin simulates them in development.
package platform

// Row is one row of the table.
type Row struct {
	Key      string
	Value    []byte
	Revision Revision
	// Writer is the ID of the transaction that last wrote the row. If the response
	// to a transaction is lost, comparing Writer with the transaction's ID shows
	// whether it took effect.
	Writer string
}

// Check is a precondition of a transaction: the row must have this revision.
type Check struct {
	Key      string
	Revision Revision
}

// Put is a write of one row.
type Put struct {
	Key   string
	Value []byte
}

// Txn is one transaction. It takes effect as a whole if all checks hold, otherwise
// not at all.
type Txn struct {
	ID      string
	Checks  []Check
	Puts    []Put
	Deletes []string
}

// Op names an operation on the platform.
type Op uint8

// Operations on the platform.
const (
	OpCommit Op = iota + 1
	OpRead
	OpPutObject
	OpGetObject
)

// Request is an operation on the platform, produced by a reducer as an effect.
type Request struct {
	// ID matches the result with its request within one sub-reducer.
	ID uint64
	Op Op
	// Txn is set for OpCommit.
	Txn Txn
	// Keys and Prefixes select rows for OpRead.
	Keys     []string
	Prefixes []string
	// Hash names the object for OpPutObject and OpGetObject: SHA-256 in hex.
	Hash string
	// Object is the content for OpPutObject.
	Object []byte
}

// Status is the outcome of an operation.
type Status uint8

// Outcomes of an operation.
const (
	// OK means that the operation took effect.
	OK Status = iota + 1
	// Conflict means that a check of the transaction failed; nothing was written.
	Conflict
	// NotFound means that the object does not exist.
	NotFound
	// Unknown means that no usable response came: a write may or may not have taken
	// effect.
	Unknown
	// Invalid means that the platform refused a malformed or oversized request.
	Invalid
)

// Result is the result of a Request, delivered to the reducer as an event.
type Result struct {
	ID     uint64
	Op     Op
	Status Status
	// Rows holds the rows read, or after a commit the rows written or, on
	// Conflict, the current rows of the failed checks. Rows that do not exist
	// are absent.
	Rows   []Row
	Object []byte
	// Err describes a Status of Unknown or Invalid, for logs.
	Err string
}
