package mesh

// HTTP headers between callers, nodes and backend servers.
const (
	// HeaderRequestID carries the identity that the caller gave to a request.
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
	// HeaderDepth is the number of calls above this one in a chain of nested
	// calls.
	HeaderDepth = "Chicory-Depth"
	// HeaderCrashes counts the backend server crashes during which the request
	// was in flight.
	HeaderCrashes = "Chicory-Crashes"
	// HeaderLoad carries the instance's load as "slots/in use/queued".
	HeaderLoad = "Chicory-Load"
	// HeaderInstance names the instance that a forwarded call is for.
	HeaderInstance = "Chicory-Instance"
	// HeaderVersion names the backend server version that answered.
	HeaderVersion = "Chicory-Version"
)
