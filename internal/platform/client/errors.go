package client

import "github.com/joomcode/errorx"

// Errors of the client. Each carries the properties Operation and Peer.
var (
	Errors = errorx.NewNamespace("platform")
	// Unanswered means that no usable response came. A write may or may not have
	// taken effect.
	Unanswered = Errors.NewType("unanswered", errorx.Temporary())
	// Refused means that the platform refused a malformed or oversized request.
	Refused = Errors.NewType("refused")
)

// Properties of the client's errors.
var (
	// Operation is the name of the operation that failed, such as "commit".
	Operation = errorx.RegisterPrintableProperty("step")
	// Peer is the address of the table or object store that was called.
	Peer = errorx.RegisterPrintableProperty("peer")
)
