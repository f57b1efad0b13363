package mesh

// HTTP headers between callers, nodes and backend servers.
const (
	// HeaderRequestID carries the caller's identity of a request.
	HeaderRequestID = "Chicory-Request-Id"
	// HeaderService names the service that a caller addresses. It is optional:
	// without it the route is matched by method and path alone.
	HeaderService = "Chicory-Service"
	// HeaderDeadline carries the remaining time of a call in milliseconds.
	HeaderDeadline = "Chicory-Deadline-Ms"
	// HeaderOutcome carries the outcome of a call.
	HeaderOutcome = "Chicory-Outcome"
	// HeaderReason carries the reason of a refusal.
	HeaderReason = "Chicory-Reason"
	// HeaderAttempt numbers the attempts of a call, starting at 1.
	HeaderAttempt = "Chicory-Attempt"
	// HeaderDepth counts the calls above this one.
	HeaderDepth = "Chicory-Depth"
	// HeaderCrashes counts the crashes in which the request was in flight.
	HeaderCrashes = "Chicory-Crashes"
	// HeaderLoad carries the gate's load as "slots/in use/queued".
	HeaderLoad = "Chicory-Load"
	// HeaderInstance names the instance that a forwarded call is for.
	HeaderInstance = "Chicory-Instance"
	// HeaderVersion names the backend server version that answered.
	HeaderVersion = "Chicory-Version"
)
