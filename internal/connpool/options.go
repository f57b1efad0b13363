package connpool

import (
	"sync/atomic"
	"time"
)

// Options configure a pool.
type Options struct {
	// MaxConns limits the connections of one pool, in use, idle or being opened.
	MaxConns int
	// WarmConns is the number of idle connections that the pool opens ahead of calls.
	WarmConns int
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// ProbePath is the path of the probe. Any complete response is a success.
	ProbePath string
	// ProbeInterval is the idle time after which a connection is probed.
	ProbeInterval time.Duration
	// ProbeTimeout bounds the time until a probe is answered.
	ProbeTimeout time.Duration
	// SilenceFloor is a lower bound on the time after which the connection of an
	// unanswered call counts as silent, even if the estimate of its route is lower.
	SilenceFloor time.Duration
	// IdleTimeout is the time after which a pool without calls is closed, and after
	// which a surplus connection without calls is closed.
	IdleTimeout time.Duration
	// MaxAnswerBytes limits the body of a response.
	MaxAnswerBytes int
}

// DefaultOptions returns options for connections between hosts of one
// deployment.
func DefaultOptions() Options {
	return Options{
		MaxConns:       110,
		WarmConns:      2,
		DialTimeout:    500 * time.Millisecond,
		ProbePath:      "/probe",
		ProbeInterval:  2 * time.Second,
		ProbeTimeout:   500 * time.Millisecond,
		SilenceFloor:   500 * time.Millisecond,
		IdleTimeout:    time.Minute,
		MaxAnswerBytes: 8 << 20,
	}
}

// Counters count the events of the pools of a Set.
type Counters struct {
	Opened       atomic.Int64 // connections opened
	OpenFailed   atomic.Int64 // connections that could not be opened
	Probes       atomic.Int64 // probes sent
	ProbesFailed atomic.Int64 // probes without a response in time, or on a closed connection
	Silent       atomic.Int64 // calls without a response by the bound of their estimate or their deadline
	Stale        atomic.Int64 // idle connections that a call found closed or with unread bytes
}
