// Package movesim simulates moves in virtual time from a seed: the reducers of
// internal/moves on several nodes, a fake of the platform's table, the network
// between the nodes and the calls to two versions of a service. It is used by
// movesbench and by tests.
package movesim
