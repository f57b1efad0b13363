package client

import "github.com/joomcode/errorx"

// Errors of the client. Each carries the properties Step and Peer.
var (
	Errors = errorx.NewNamespace("platform")
	// Unanswered means that no usable answer came. A write may or may not have
	// taken effect.
	Unanswered = Errors.NewType("unanswered", errorx.Temporary())
	// Refused means that the platform refused a malformed or oversized request.
	Refused = Errors.NewType("refused")
)

// Properties of the client's errors.
var (
	// Step is the operation that failed, such as "commit".
	Step = errorx.RegisterPrintableProperty("step")
	// Peer is the address of the platform.
	Peer = errorx.RegisterPrintableProperty("peer")
)
