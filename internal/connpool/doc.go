// Package connpool keeps pools of HTTP/1.1 connections whose health is probed.
//
// A call uses one connection exclusively and sends its request at most once.
// The result tells whether any byte of the request may have reached the peer.
// Idle connections are probed, and a connection that does not answer a probe in
// time, or whose call outlives its estimate, is closed and replaced. fasthttp's
// HostClient does neither and hides whether a request was written, so the
// package uses only fasthttp's message codec.
package connpool
