package connpool

import "github.com/joomcode/errorx"

// Errors of a call. Each carries the properties Step and Peer.
var (
	errorsNamespace = errorx.NewNamespace("connpool")
	// ErrNotSent means that no byte of the request was written.
	ErrNotSent = errorsNamespace.NewType("not_sent")
	// ErrLost means that bytes of the request may have been written and no complete
	// response was read.
	ErrLost = errorsNamespace.NewType("lost")
)

// Properties of an error.
var (
	// PropertyStep names the step of the call that failed.
	PropertyStep = errorx.RegisterPrintableProperty("step")
	// PropertyPeer is the address of the peer.
	PropertyPeer = errorx.RegisterPrintableProperty("peer")
)

// Step names a step of a call.
type Step string

// Steps of a call.
const (
	StepAcquire Step = "acquire"
	StepDial    Step = "dial"
	StepEncode  Step = "encode"
	StepWrite   Step = "write"
	StepRead    Step = "read"
)

func notSent(step Step, peer string, cause error) error {
	return ErrNotSent.Wrap(cause, "request not sent").WithProperty(PropertyStep, step).WithProperty(PropertyPeer, peer)
}

func lost(step Step, peer string, cause error) error {
	return ErrLost.Wrap(cause, "no complete response received").WithProperty(PropertyStep, step).WithProperty(PropertyPeer, peer)
}

// IsNotSent reports whether err says that no byte of the request was written.
func IsNotSent(err error) bool { return errorx.IsOfType(err, ErrNotSent) }
