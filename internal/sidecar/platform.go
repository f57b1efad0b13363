package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/chicoryscale/chicoryscale/internal/catalog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
	"github.com/chicoryscale/chicoryscale/internal/proxy"
	"github.com/chicoryscale/chicoryscale/internal/rollout"
)

var (
	namespace = errorx.NewNamespace("sidecar")
	// ErrHistoryLost means that the store no longer keeps all of the requested changes.
	ErrHistoryLost = namespace.NewType("history_lost")
	// ErrConflict means that a row did not have the expected revision; nothing
	// was written.
	ErrConflict = namespace.NewType("conflict")
	// ErrStore means that the store did not answer or that its answer was not usable.
	// A write may have taken effect nevertheless.
	ErrStore = namespace.NewType("store")
)

// Table identifies a table of the store.
type Table uint8

// Tables.
const (
	// TableOperator holds the rows that operators write: the configuration, orders of
	// roll-outs and evacuations.
	TableOperator Table = iota
	// TableShared holds the rows that nodes write for each other: members and the
	// state of roll-outs.
	TableShared
	// TableStatus holds the rows that nodes write for operators to read.
	TableStatus
)

// Change is a row that was written or, if Deleted is set, removed.
type Change struct {
	platform.Row
	Deleted bool
}

// Write is a row to be put into a table or, if Delete is set, removed from it.
type Write struct {
	Table Table
	platform.Put
	Delete bool
}

// Store is the platform's transactional table store. One counter provides the
// revisions of the rows of all tables. If the store goes back to an older state, the era
// of its revisions rises.
type Store interface {
	// Rows returns all rows of a table and the revision up to which they include all
	// changes.
	Rows(ctx context.Context, t Table) ([]platform.Row, platform.Revision, error)
	// Changes returns the changes after a revision and the revision up to which they
	// include all changes. If there are none, it waits for the given time. It fails with
	// ErrHistoryLost if the store no longer keeps some of the changes, or if it is in
	// another era than the revision.
	Changes(ctx context.Context, t Table, after platform.Revision, wait time.Duration) ([]Change, platform.Revision, error)
	// Commit writes all rows if the checked row of TableShared has the expected
	// revision, whose version is zero if the row must not exist. It returns the new
	// revision. If it fails with ErrConflict, it returns the current row, whose version is
	// zero if the row doesn't exist, or no row if the expected revision is of an earlier
	// era.
	Commit(ctx context.Context, check platform.Check, writes []Write) (platform.Revision, platform.Row, error)
}

// OperatorRow is the decoded content of a row of TableOperator. One field is set, or
// none if the node has no use for the row.
type OperatorRow struct {
	Configuration *catalog.Snapshot
	Order         *rollout.Order
}

// Headers holds the names of the platform's request and response headers.
type Headers struct {
	// Identity identifies one attempt of a client. Answers carry the same value.
	Identity string
	// DeadlineMillis is the time for which the sender waits, in milliseconds.
	DeadlineMillis string
	// Signature is set by an instance on its own answers. It distinguishes them from
	// answers of anything else that listens at the instance's address.
	Signature string
	// Expected is the name of the instance that is to run the request.
	Expected string
	// NotRun is set on an answer by which an instance refuses a request without
	// having run it.
	NotRun string
	// Caller is the service of the host at which the request entered the mesh.
	Caller string
	// RetryAfter is the time after which a client may retry, in seconds.
	RetryAfter string
	// Instance is the name of the instance that answers a health check.
	Instance string
	// Key holds the key of a tenant. It is removed from requests before they are
	// forwarded.
	Key string
	// Tenant is the tenant that holds the request's key, as stated to the instance.
	Tenant string
	// WarmUpLeft is the time in milliseconds, in a health answer, for which the instance
	// will still be cold.
	WarmUpLeft string
}

// ControlCall is a call to the node by the instance on its host: a heartbeat (Report)
// or the announcement that the instance is about to exit (Leave). Exactly one field is
// set.
type ControlCall struct {
	Report *proxy.InstanceReported
	Leave  *proxy.InstanceLeft
}

// Platform is the node's interface to the platform: its store, its header names and
// its encodings.
type Platform interface {
	Store
	Headers() *Headers
	// ReadyPath returns the path of the platform's readiness check of the node.
	ReadyPath() string
	// DecodeOperatorRow decodes a row of TableOperator.
	DecodeOperatorRow(row platform.Row) (OperatorRow, error)
	// EvacuatedDomain returns the failure domain whose evacuation a row of TableOperator
	// asks for, or whose evacuation a row of TableStatus is about. It reports false for all
	// other rows.
	EvacuatedDomain(key string) (mesh.FailureDomain, bool)
	// EncodeEvacuationStatus returns the row of TableStatus that shows operators the hosts
	// that don't comply with an evacuation yet.
	EncodeEvacuationStatus(domain mesh.FailureDomain, pending []mesh.HostID) (platform.Put, error)
	// EncodeStatus returns the row of TableStatus that shows operators the state of a
	// roll-out.
	EncodeStatus(row rollout.Row) (platform.Put, error)
	// DecodeControl decodes a call of the instance on this host.
	DecodeControl(method, target string, body []byte) (ControlCall, error)
}

// notRunStatuses are the statuses by which the node promises that a request has not
// run and never will.
var notRunStatuses = [...]int{
	http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
}
