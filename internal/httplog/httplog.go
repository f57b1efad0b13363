// Package httplog adapts the logging of the HTTP servers of all programs.
package httplog

// Quiet is a fasthttp.Logger that drops the library's lines about individual
// connections: peers close connections all the time, and counters record how often.
type Quiet struct{}

// Printf implements fasthttp.Logger.
func (Quiet) Printf(string, ...any) {}
