// Package httplog adapts logging for the HTTP servers of all programs.
package httplog

// Quiet is a fasthttp.Logger that drops the library's lines about single
// connections: peers close connections all the time, and counters tell how
// often.
type Quiet struct{}

// Printf implements fasthttp.Logger.
func (Quiet) Printf(string, ...any) {}
