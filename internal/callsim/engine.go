// Package callsim is a discrete-event model of the call path of one
// deployment in virtual time. It runs the reducers (deterministic state machines
// without I/O) of packages routing, admission and retry against simulated backend
// servers and networks, to compare routing policies. It is not part of the shipped
// programs.
package callsim

import (
	"container/heap"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// engine runs events in the order of their virtual times. Events of the same
// time run in the order in which they were scheduled.
type engine struct {
	now      mesh.Time
	queue    eventQueue
	sequence uint64
}

type event struct {
	at       mesh.Time
	sequence uint64
	run      func()
}

func (e *engine) after(d time.Duration, run func()) {
	e.sequence++
	heap.Push(&e.queue, event{at: e.now.Add(d), sequence: e.sequence, run: run})
}

// runUntil runs all events before end.
func (e *engine) runUntil(end mesh.Time) {
	for len(e.queue) > 0 && e.queue[0].at < end {
		next := heap.Pop(&e.queue).(event)
		e.now = next.at
		next.run()
	}
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
