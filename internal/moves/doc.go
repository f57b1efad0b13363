// Package moves shifts the traffic of a service from one backend server
// version to another by a deadline, or withdraws the new version.
//
// It is a pure reducer: time, random draws and platform results are arguments,
// platform operations and messages to peers are effects. Three parts share one
// Reducer on every node:
//
//   - the follower applies move states in order of their step and tells routing
//     which version to use for each call;
//   - the evidence collector counts call results per version, route and class
//     and sends the counts up the distribution tree to the root node of the
//     failure domain, which exchanges them with the root nodes of the other
//     domains;
//   - the driver, the node that holds the lease leases/move-<id>, raises the new
//     version's share of calls in the platform row moves/<id>. Only root nodes
//     that read the platform can hold the lease.
//
// Every root node evaluates all evidence that it receives and can stop the new
// version in its domain without the platform. Only the driver raises a share.
package moves
