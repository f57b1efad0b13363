// Package movesim runs seeded moves in virtual time: the reducers of
// internal/moves on several nodes, a small fake of the platform's table, a
// network between the nodes and calls to two versions of a service. It is used
// by movesbench and by tests.
package movesim
