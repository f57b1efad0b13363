package moves

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// Key prefixes in the platform's table.
const (
	movePrefix       = "moves/"
	leasePrefix      = "leases/move-"
	activeMovePrefix = "moving/"
)

// Errors of this package.
var (
	// Errors is the namespace of the errors of this package.
	Errors = errorx.NewNamespace("moves")
	// ErrRefused means that the operator's request conflicts with the current
	// state of the move or service.
	ErrRefused = Errors.NewType("refused")
	// ErrInvalid means that a request or a row is malformed.
	ErrInvalid = Errors.NewType("invalid")
	// ErrUnavailable means that the result of the request is unknown, because the
	// platform did not answer or other writes kept conflicting. The request may
	// have taken effect and can be sent again.
	ErrUnavailable = Errors.NewType("unavailable", errorx.Temporary())
)

// Lease is the row leases/move-<id>. Its holder drives the move.
type Lease struct {
	Holder      mesh.HostID      `json:"holder"`
	Incarnation mesh.Incarnation `json:"incarnation"`
	// Fence is the fencing token. It starts at 1 and grows by one whenever the
	// lease is acquired.
	Fence uint64 `json:"fence"`
	// Expiry is the end of the lease by the holder's clock and is only shown to
	// operators. Another node acquires the lease once the row has been unchanged
	// for leaseDuration by that node's own clock.
	Expiry mesh.Time `json:"expiry"`
}

// activeMove is the row moving/<service>, which names the service's last move. It
// prevents two concurrent moves of one service.
type activeMove struct {
	Move  mesh.MoveID `json:"move"`
	Ended bool        `json:"ended"`
}

// encode returns the JSON value of a row. Encoding the row types cannot fail.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// decodeMove decodes a row moves/<id>.
func decodeMove(row *platform.Row) (MoveState, error) {
	var s MoveState
	if err := json.Unmarshal(row.Value, &s); err != nil {
		return s, ErrInvalid.Wrap(err, "decode move row %s", row.Key)
	}
	if movePrefix+string(s.ID) != row.Key || !validState(&s) {
		return s, ErrInvalid.New("row %s has fields out of range or the ID of another move", row.Key)
	}
	return s, nil
}

// decodeLease decodes a row leases/move-<id>.
func decodeLease(row *platform.Row) (mesh.MoveID, Lease, error) {
	var l Lease
	id, ok := strings.CutPrefix(row.Key, leasePrefix)
	if !ok {
		return "", l, ErrInvalid.New("row %s is not the lease of a move", row.Key)
	}
	if err := json.Unmarshal(row.Value, &l); err != nil {
		return "", l, ErrInvalid.Wrap(err, "decode lease row %s", row.Key)
	}
	return mesh.MoveID(id), l, nil
}

// findRow returns the row with a key, or nil if there is none.
func findRow(rows []platform.Row, key string) *platform.Row {
	for i := range rows {
		if rows[i].Key == key {
			return &rows[i]
		}
	}
	return nil
}

// transactionID returns a unique transaction ID for request n of this
// incarnation of the node.
func (r *Reducer) transactionID(n uint64) string {
	return "move/" + string(r.cfg.Host) + "/" + strconv.FormatInt(int64(r.cfg.Incarnation), 10) +
		"/" + strconv.FormatUint(n, 10)
}
