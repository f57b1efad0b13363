// Package runtime runs a node's reducer in a process: it turns HTTP requests,
// control messages, platform results and timer ticks into events, and executes
// the effects of each step.
//
// A mutex serialises the steps. The goroutine that serves a request runs the
// step for it and executes the effects on that request; effects on other
// requests are sent to the goroutines that serve those.
package runtime
