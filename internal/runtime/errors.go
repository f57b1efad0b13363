package runtime

import "github.com/joomcode/errorx"

// Errors of the runtime. They carry the properties PropertyStep and
// PropertyPeer where these are known.
var (
	errorsNamespace = errorx.NewNamespace("runtime")
	// ErrListen means that an address could not be bound.
	ErrListen = errorsNamespace.NewType("listen")
	// ErrBadInput means that a peer sent a malformed or oversized message.
	ErrBadInput = errorsNamespace.NewType("bad_input")
	// ErrTimeout means that no response came in time, or that a connection was
	// not attempted because of the backoff after a failure.
	ErrTimeout = errorsNamespace.NewType("timeout")
	// ErrSend means that a control message could not be sent.
	ErrSend = errorsNamespace.NewType("send")
	// ErrInternal means that a panic ended the request and was recovered.
	ErrInternal = errorsNamespace.NewType("internal")
)

// Properties of an error.
var (
	// PropertyStep names the operation that failed, such as "dial".
	PropertyStep = errorx.RegisterPrintableProperty("step")
	// PropertyPeer is the address of the peer.
	PropertyPeer = errorx.RegisterPrintableProperty("peer")
)

// wrapError wraps cause in an error of the given type with both properties.
func wrapError(kind *errorx.Type, step, peer string, cause error) error {
	return kind.Wrap(cause, "%s", step).WithProperty(PropertyStep, step).WithProperty(PropertyPeer, peer)
}
