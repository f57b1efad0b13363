// Package connpool keeps pools of HTTP/1.1 connections and probes their health.
//
// A call uses one connection exclusively and sends its request at most once.
// The error tells whether any byte of the request may have reached the peer.
// Idle connections are probed. A connection is closed and replaced if it does not
// answer a probe in time, or if a call on it takes much longer than earlier calls of
// the same route. fasthttp's HostClient does neither and hides whether a request was
// written, so the package uses only fasthttp's message codec.
package connpool
