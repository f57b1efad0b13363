// Package httplog provides the logger of the fasthttp servers of all programs.
package httplog

// Quiet is a fasthttp.Logger that discards the library's log lines about single
// connections. Peers close connections all the time, and counters record how
// often.
type Quiet struct{}

// Printf implements fasthttp.Logger.
func (Quiet) Printf(string, ...any) {}
