// Package core is the reducer of a node: a pure state machine that takes
// events and returns effects.
//
// It does no I/O, reads no clock and starts no goroutine. Time and random
// seeds arrive in events, so the same sequence of events gives the same
// sequence of effects and a recorded session can be replayed.
package core
