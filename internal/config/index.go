package config

// ResolvedRoute is a route with its class and service.
type ResolvedRoute struct {
	Route   Route
	Class   Class
	Service Service
}

// Index matches calls to routes. It is immutable.
type Index struct {
	byPrefix map[string][]ResolvedRoute
}

// NewIndex builds the index of a valid snapshot.
func NewIndex(s *Snapshot) *Index {
	return &Index{}
}

// Match returns the route of a call. The path has no query. An empty service
// stands for a call that names none. Among the routes whose method and service
// fit, the longest path prefix wins, then a route with a method over one
// without. Match returns false if no route fits, or if the call names no
// service and routes of several services fit equally well. It does not
// allocate.
func (x *Index) Match(service, method, path []byte) (*ResolvedRoute, bool) {
	return nil, false
}
