// Package wire defines the JSON messages that the platform's client and the
// development server exchange over HTTP.
//
//	POST /v1/commit          Commit    200 Rows, 409 Rows of the failed checks
//	POST /v1/read            Read      200 Rows
//	PUT  /v1/objects/<hash>  content   204
//	GET  /v1/objects/<hash>            200 content, 404
//	GET  /admin/counters               200 Counters
//	GET  /admin/faults                 200 Faults
//	PUT  /admin/faults       Faults    204
//
// A malformed request is answered with status 400 and an oversized one with 413, both
// with an Error as the body. A server that is unavailable answers with status 503.
package wire

import "github.com/chicoryscale/chicoryscale/internal/platform"

// Paths of the HTTP interface.
const (
	CommitPath   = "/v1/commit"
	ReadPath     = "/v1/read"
	ObjectPrefix = "/v1/objects/"
	CountersPath = "/admin/counters"
	FaultsPath   = "/admin/faults"
)

// MaxRequestBytes is the largest request body that a server accepts, in bytes.
const MaxRequestBytes = 8 << 20

// Check is a precondition of a Commit: the row must have this revision, or must not
// exist if the revision is 0.
type Check struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Put is a write of one row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Commit is one transaction.
type Commit struct {
	ID      string   `json:"id"`
	Checks  []Check  `json:"checks"`
	Puts    []Put    `json:"puts"`
	Deletes []string `json:"deletes"`
}

// Read selects rows by key and by prefix of the key.
type Read struct {
	Keys     []string `json:"keys"`
	Prefixes []string `json:"prefixes"`
}

// Row is one row of the table.
type Row struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Writer   string `json:"writer"`
}

// Rows is the response to a Commit or a Read.
type Rows struct {
	Rows []Row `json:"rows"`
}

// Error explains a refused request.
type Error struct {
	Error string `json:"error"`
}

// Faults are the faults that the development server injects.
type Faults struct {
	// Unavailable makes every request fail with 503 without taking effect.
	Unavailable bool `json:"unavailable"`
	// DelayMillis is the time before a request takes effect, in milliseconds.
	DelayMillis uint32 `json:"delay_ms"`
	// LoseResponses is the number of writes that take effect and whose
	// connections are then closed without a response.
	LoseResponses uint32 `json:"lose_responses"`
}

// Rate holds the counts of one kind of operation.
type Rate struct {
	Total uint64 `json:"total"`
	// Peak is the largest number of operations in one second of the server's clock.
	Peak uint64 `json:"peak_per_s"`
	// LastSecond is the number of operations in the last full second.
	LastSecond uint64 `json:"last_s"`
}

// Counters holds the counts of operations that reached the server, including those
// that it refused because of an injected fault. A transaction counts as one write.
type Counters struct {
	Reads         Rate   `json:"reads"`
	Writes        Rate   `json:"writes"`
	Conflicts     uint64 `json:"conflicts"`
	Refused       uint64 `json:"refused"`
	LostResponses uint64 `json:"lost_responses"`
}

// CommitOf returns the wire form of a transaction.
func CommitOf(txn *platform.Txn) Commit {
	c := Commit{ID: txn.ID, Deletes: txn.Deletes}
	for _, check := range txn.Checks {
		c.Checks = append(c.Checks, Check{check.Key, uint64(check.Revision)})
	}
	for _, put := range txn.Puts {
		c.Puts = append(c.Puts, Put(put))
	}
	return c
}

// Txn returns the transaction that c encodes.
func (c *Commit) Txn() platform.Txn {
	txn := platform.Txn{ID: c.ID, Deletes: c.Deletes}
	for _, check := range c.Checks {
		txn.Checks = append(txn.Checks, platform.Check{Key: check.Key, Revision: platform.Revision(check.Revision)})
	}
	for _, put := range c.Puts {
		txn.Puts = append(txn.Puts, platform.Put(put))
	}
	return txn
}

// RowsOf returns the wire form of rows.
func RowsOf(rows []platform.Row) Rows {
	out := Rows{Rows: make([]Row, len(rows))}
	for i, row := range rows {
		out.Rows[i] = Row{row.Key, row.Value, uint64(row.Revision), row.Writer}
	}
	return out
}

// PlatformRows returns the rows that r encodes.
func (r *Rows) PlatformRows() []platform.Row {
	rows := make([]platform.Row, len(r.Rows))
	for i, row := range r.Rows {
		rows[i] = platform.Row{Key: row.Key, Value: row.Value, Revision: platform.Revision(row.Revision), Writer: row.Writer}
	}
	return rows
}
