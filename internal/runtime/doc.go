// Package runtime is the process of a node around its reducer: it turns HTTP
// requests, control messages, platform results and time into events, and
// executes the effects of each step.
//
// A mutex serialises the steps. A request's own goroutine runs the step and
// executes the effects on that request; effects on other requests are handed to
// the goroutines that wait for them.
package runtime
