// Package moves shifts the traffic of a service from one backend server
// version to another by a deadline, or withdraws the new version.
//
// It is a pure reducer: time, random draws and platform results are arguments,
// platform operations and messages to peers are effects. Three parts share one
// Reducer on every node:
//
//   - the follower applies move states in order of their step and gives routing
//     the version to use for each call;
//   - the evidence counts call results per version, route and class and sends
//     them up the tree to the top node of the failure domain, which exchanges
//     them with the top nodes of the other domains;
//   - the driver, one reader of the platform at a time, raises the share in the
//     row moves/<id> under the lease leases/move-<id>.
//
// Every top node judges all evidence it receives and may stop the new version
// in its domain without the platform. Only the driver raises a share.
package moves
