package moves

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// Keys of the platform's table.
const (
	movePrefix   = "moves/"
	leasePrefix  = "leases/move-"
	activePrefix = "moving/"
)

// Errors of this package.
var (
	// Errors is the namespace of the errors of this package.
	Errors = errorx.NewNamespace("moves")
	// ErrRefused means that the operator's order contradicts the present state.
	ErrRefused = Errors.NewType("refused")
	// ErrInvalid means that an order or a row is malformed.
	ErrInvalid = Errors.NewType("invalid")
	// ErrUnavailable means that the platform gave no answer; the order may have
	// taken effect and can be sent again.
	ErrUnavailable = Errors.NewType("unavailable", errorx.Temporary())
)

// Lease is the row leases/move-<id>. Its holder drives the move.
type Lease struct {
	Holder      mesh.HostID      `json:"holder"`
	Incarnation mesh.Incarnation `json:"incarnation"`
	// Fence numbers the holders, starting at 1.
	Fence uint64 `json:"fence"`
	// Expiry is the end of the lease by the holder's clock, for operators. Other
	// nodes take the lease after the row was unchanged for its whole duration by
	// their own clock.
	Expiry mesh.Time `json:"expiry"`
}

// active is the row moving/<service>. It prevents two moves of one service at
// the same time.
type active struct {
	Move  mesh.MoveID `json:"move"`
	Ended bool        `json:"ended"`
}

// encode returns the value of a row. The row types always encode.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// decodeMove reads a row moves/<id>.
func decodeMove(row *platform.Row) (MoveState, error) {
	var s MoveState
	if err := json.Unmarshal(row.Value, &s); err != nil {
		return s, ErrInvalid.Wrap(err, "row %s", row.Key)
	}
	if movePrefix+string(s.ID) != row.Key || !valid(&s) {
		return s, ErrInvalid.New("row %s has values out of range", row.Key)
	}
	return s, nil
}

// decodeLease reads a row leases/move-<id>.
func decodeLease(row *platform.Row) (mesh.MoveID, Lease, error) {
	var l Lease
	id, ok := strings.CutPrefix(row.Key, leasePrefix)
	if !ok {
		return "", l, ErrInvalid.New("row %s is not the lease of a move", row.Key)
	}
	if err := json.Unmarshal(row.Value, &l); err != nil {
		return "", l, ErrInvalid.Wrap(err, "row %s", row.Key)
	}
	return mesh.MoveID(id), l, nil
}

// rowOf returns the row with a key or nil.
func rowOf(rows []platform.Row, key string) *platform.Row {
	for i := range rows {
		if rows[i].Key == key {
			return &rows[i]
		}
	}
	return nil
}

// transactionID returns an identity that no other transaction has.
func (r *Reducer) transactionID(n uint64) string {
	return "move/" + string(r.cfg.Host) + "/" + strconv.FormatInt(int64(r.cfg.Incarnation), 10) +
		"/" + strconv.FormatUint(n, 10)
}
